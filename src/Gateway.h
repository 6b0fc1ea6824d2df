#pragma once

/** \file
 * Gateway: the process that callers talk to. It keeps nothing but open requests.
 *
 *     HTTP -> ParseHttp -> the program's home (SchedulerLinks) -> frames -> HTTP
 *
 * When a home is lost before its answer has begun, the same call goes to the home's successor: by its
 * program and number it is recognized there, so a caller need not notice. Once a stream has begun it is
 * ended with a visible error instead, and a repeat of the call gets the whole answer.
 */

#include "Types.h"

#include <memory>
#include <string>

namespace fescue {

/** Settings of a gateway process, checked by its `main`. */
struct GatewayOptions {
    VmId vm_;
    ZoneId zone_;
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    std::string scheduler_; ///< `host:port` of the scheduler on the same VM.
    std::size_t threads_ = 4;
    std::uint64_t seed_ = 0;
    ByteCount maxBody_ { 8 * 1024 * 1024 };
    Milliseconds homeTimeout_ { 15000 }; ///< How long a request looks for its program's home.
    Milliseconds drainGrace_ { 30000 };
};

/** A running gateway; ends at once when it is destroyed. Safe from any thread. */
class Gateway {
public:
    /** Starts. Throws `std::system_error` when the address cannot be bound. */
    explicit Gateway(const GatewayOptions& options);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    std::uint16_t port() const;
    /** Says that it is not ready, serves on until the balancer must have noticed, and waits for open
     * requests; at most `drainGrace_`. */
    void drain();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
