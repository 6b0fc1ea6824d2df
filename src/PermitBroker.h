#pragma once

/** \file
 * PermitBroker: gets permits for targets that have named a rate, and gives them out to other VMs; see
 * `RatePermits`.
 */

#include "PeerExchange.h"
#include "RatePermits.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace fescue {

/** Access to what this VM knows of the rates of targets. */
struct RateBeliefs {
    /** Takes in what another VM has observed. */
    std::function<void(const TargetStart&, const RateObservation&)> record_;
    /** The last observation; null if the target never named a rate. */
    std::function<const RateObservation*(const TargetStart&)> last_;
};

/** Asks for and gives out permits. Confined to the thread of the event loop. */
class PermitBroker {
public:
    using OnReply = std::function<void(const PermitReply&)>;

    /** Precondition: `io` and `exchange` outlive this object, and `exchange` serves no call after it. */
    PermitBroker(asio::io_context& io, PeerExchange& exchange, RateBeliefs beliefs);
    ~PermitBroker();

    /** Asks for permits for a target of a zone. `done` is called once, after this returns. */
    void request(const TargetStart& start, const ZoneId& zone, std::uint32_t wanted, OnReply done);
    /** Tells the VM that gives out the target's permits what this VM has observed. */
    void publish(const TargetStart& start, const ZoneId& zone);
    /** Ends requests without a reply. To be called periodically. */
    void tick(MonotonicTime now);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
