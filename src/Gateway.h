#pragma once

/** \file
 * Gateway: accepts callers' HTTP requests and forwards them to schedulers. Its only state is the open
 * requests.
 *
 *     HTTP -> ParseHttp -> the program's home (SchedulerLinks) -> frames -> HTTP
 *
 * The home of a program is the scheduler that owns the program's shard. When the home becomes unreachable
 * before the response has started, the gateway sends the same call to the next owner of the shard, which
 * recognizes the call by its program and number, so that the failover is invisible to the caller. A stream
 * that has started is ended with an error event instead; the caller gets the whole response when it retries
 * the call.
 */

#include "Types.h"

#include <memory>
#include <string>

namespace fescue {

/** Settings of a gateway process. `main` has validated them. */
struct GatewayOptions {
    VmId vm_;
    ZoneId zone_;
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    std::string scheduler_; ///< `host:port` of the scheduler on the same VM.
    std::size_t threads_ = 4;
    std::uint64_t seed_ = 0;
    ByteCount maxBody_ { 8 * 1024 * 1024 };
    Milliseconds homeTimeout_ { 15000 }; ///< How long a request waits for a reachable home of its program.
    Milliseconds drainGrace_ { 30000 };
};

/** A running gateway. The destructor stops it without a drain. Thread-safe. */
class Gateway {
public:
    /** Starts to serve. Throws `std::system_error` when the address cannot be bound. */
    explicit Gateway(const GatewayOptions& options);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    std::uint16_t port() const;
    /** Reports not ready, accepts requests until the load balancer must have noticed, and then waits for open
     * requests. Takes at most `drainGrace_`. */
    void drain();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
