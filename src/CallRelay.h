#pragma once

/** \file
 * CallRelay: sends requests to targets through other VMs, and takes such requests from them.
 *
 * One hop only: a request that came from a peer goes to a target or back.
 */

#include "PeerExchange.h"
#include "RelayPeers.h"
#include "RelayedCall.h"

#include <functional>
#include <memory>
#include <set>

namespace fescue {

/** A request that was given to a peer. */
struct RelayedExchange {
    VmId peer_;
    std::shared_ptr<OutboundCall> exchange_;
};

/** Relays calls. Confined to the thread of the event loop. */
class CallRelay {
public:
    /** Precondition: the arguments outlive this object. */
    CallRelay(PeerExchange& exchange, const ZoneId& zone, Random& random);

    /** Gives a call to a peer that is not in `tried`, and adds it there. Nothing if there is none; no
     * callback follows then. */
    std::optional<RelayedExchange> send(const ForwardedCall& call, std::uint32_t possibleRuns,
        std::set<VmId>& tried, OutboundCallbacks callbacks);
    /** Records whether a peer answered. */
    void recordAnswer(const VmId& peer, bool isAnswered);
    /** Records that a peer cannot relay now. */
    void recordUnavailable(const VmId& peer);
    /** Ends a relayed exchange. */
    void release(const VmId& peer);

    /** Serves calls of peers. The handler gets a call with its reply, and of its service only the id. */
    void serve(std::function<void(ForwardedCall)> handler);

private:
    PeerExchange& exchange_;
    ZoneId zone_;
    Random& random_;
    RelayPeers relays_;
};

/** Tells a peer that this VM cannot relay its call now. Precondition: the call came from a peer. */
void refuseRelay(const ForwardedCall& call, const char* reason);

} // namespace fescue
