#pragma once

/** \file
 * PeerExchange: HTTP between entry VMs: the list of peers, calls to them, and the server for their calls.
 */

#include "FrontServer.h"
#include "OutboundPool.h"
#include "PeerList.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace fescue {

/** Calls peers and serves their calls. Confined to the thread of the event loop. */
class PeerExchange {
public:
    using Handler = std::function<void(const FrontRequest&, std::shared_ptr<FrontReply>)>;

    /** Binds `address` (`ip:port`) for peers unless it is empty, as `FrontServer` does. */
    PeerExchange(asio::io_context& io, const VmId& own, const std::string& address);
    ~PeerExchange();

    PeerList& peers();
    /** Replaces the known VMs. Those that have gone leave nothing behind. */
    void setPeers(const std::map<VmId, PeerEntry>& peers);
    /** Serves the calls of peers to a path. Precondition: the handler outlives this object's use of it. */
    void serve(const std::string& path, Handler handler);
    /** Calls a peer. Returns null if its address is not valid; no callback follows then. */
    std::shared_ptr<OutboundCall> post(
        const PeerEntry& peer, const char* path, std::string body, OutboundCallbacks callbacks);
    /** Sets what the VM holds for calls of peers. */
    void setLimits(const FrontLimits& limits);
    /** To be called periodically. */
    void tick(MonotonicTime now);
    /** See `FrontServer`. */
    void leaveAddress();
    /** Whether peers have not read replies to the end. */
    bool hasUnsentBytes() const;
    /** What the kernel holds for connections from and to peers; reads each socket. */
    SocketBytes socketBytes() const;
    /** Why the address for peers is not bound yet; nothing once it is, or if there is none. */
    const std::optional<ListenWait>& listenWait() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Answers a call of a peer. */
void answerPeer(FrontReply& reply, int status, const std::string& body, std::vector<HttpHeader> headers = {});

/** Refuses a call of a peer whose message is malformed, and logs that. */
void refuseMalformed(FrontReply& reply, const FrontRequest& request);

} // namespace fescue
