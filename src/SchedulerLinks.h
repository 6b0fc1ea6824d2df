#pragma once

/** \file
 * SchedulerLinks: a gateway's links to the schedulers, and what they told it.
 *
 * The scheduler on the gateway's own VM is always linked, and tells members and configuration; the others
 * are linked when a request goes there. A VM whose
 * link broke is passed over for a moment, which finds a dead VM long before the platform's list does.
 */

#include "ConfigFold.h"
#include "FrameLink.h"
#include "Members.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace fescue {

/** Where a request can go. */
struct SchedulerRoute {
    VmId vm_; ///< Empty for the own scheduler while the members are not known.
    std::string address_;
    bool isForced_ = false; ///< The VM that was named is out of reach; this one should take over.
};

/** Keeps links and views. All functions are safe from any thread. */
class SchedulerLinks {
public:
    struct Handlers {
        std::function<void(Frame)> onFrame_;
        std::function<void(const std::string& address)> onLost_; ///< A link broke or could not be opened.
    };

    SchedulerLinks(std::string ownAddress, Handlers handlers);
    ~SchedulerLinks();

    /** Sends a frame over the link to `address`, opening it first if need be. */
    void send(const std::string& address, const Frame& frame);
    /** Opens the link to the own scheduler again when it is gone, and notices when that one answers nothing
     * any more; to be called at a steady pace. */
    void tick();

    /** Where a shard's requests go; nothing when no VM of its zone is in reach.
     *
     * `movedTo` is the VM that another one named for the request, or empty. The route is forced only when
     * that VM is out of reach. */
    std::optional<SchedulerRoute> routeTo(const ShardKey& shard, const VmId& movedTo) const;
    /** Whether a scheduler at `address` may still be waited for: our own unless it is silent, or a member in
     * reach. */
    bool isUsable(const std::string& address) const;
    /** Where calls go that belong to no shard. */
    SchedulerRoute anyRoute() const;

    std::shared_ptr<const Config> config() const;
    bool isReady() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
