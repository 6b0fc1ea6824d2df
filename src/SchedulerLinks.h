#pragma once

/** \file
 * SchedulerLinks: a gateway's links to schedulers, and the members and configuration received over them.
 *
 * The link to the scheduler on the gateway's own VM is always kept open; this scheduler sends the member
 * list and the configuration. Links to other schedulers are opened when a request is routed there. A VM whose
 * link broke is avoided for a short time, which reacts to a dead VM long before the platform's list does.
 */

#include "ConfigFold.h"
#include "FrameLink.h"
#include "Members.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace fescue {

/** Destination of a request. */
struct SchedulerRoute {
    VmId vm_; ///< Empty for the local scheduler while the members are unknown.
    std::string address_;
    bool isForced_ = false; ///< The requested VM is unreachable; this one should take over.
};

/** Manages the links and the latest view of the cluster. Thread-safe. */
class SchedulerLinks {
public:
    struct Handlers {
        std::function<void(Frame)> onFrame_;
        std::function<void(const std::string& address)> onLost_; ///< A link broke or could not be opened.
    };

    SchedulerLinks(std::string ownAddress, Handlers handlers);
    ~SchedulerLinks();

    /** Sends a frame over the link to `address`, which is opened if necessary. */
    void send(const std::string& address, const Frame& frame);
    /** Reopens a lost link to the local scheduler and probes whether that scheduler still responds. Call
     * periodically. */
    void tick();

    /** Route for a shard's requests; `std::nullopt` when no VM of its zone is reachable.
     *
     * `movedTo` is the VM that another VM redirected the request to, or empty. The route is forced only
     * when that VM is unreachable. */
    std::optional<SchedulerRoute> routeTo(const ShardKey& shard, const VmId& movedTo) const;
    /** Whether the scheduler at `address` can still answer: the local one unless it is unresponsive, or a
     * reachable member. */
    bool isUsable(const std::string& address) const;
    /** Route for calls that belong to no shard. */
    SchedulerRoute anyRoute() const;

    std::shared_ptr<const Config> config() const;
    bool isReady() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
