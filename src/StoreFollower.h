#pragma once

/** \file
 * StoreFollower: keeps the configuration, the targets and the other VMs as the platform's store has them.
 *
 * The configuration changes seldom, so a read waits for its next record. Targets report all the time, so
 * their topic is read at intervals instead. Each read is bounded, since connections can go silent without an
 * end. When the store no longer has the records that come next, the newest record of each key is read anew.
 */

#include "PeerList.h"
#include "ServingConfig.h"
#include "StoreHealth.h"
#include "TargetList.h"

#include <functional>
#include <memory>

namespace fescue::platform {
class StoreClient;
}

namespace fescue {

/** How often the store is read. */
struct FollowIntervals {
    Milliseconds configWait_ { 2000 }; ///< Longest wait for the next configuration.
    Milliseconds configGap_ { 120 }; ///< Least time between two reads, when changes come in quick succession.
    Milliseconds targets_ { 600 }; ///< Between two reads of the targets' reports.
    Milliseconds peersWait_ { 5000 }; ///< Longest wait for the next change among the VMs.
    Milliseconds timeout_ { 500 }; ///< For an answer, beyond a wait.
};

/** Follows the store. Belongs to the thread of the event loop. */
class StoreFollower {
public:
    struct Callbacks {
        std::function<void(const ServingConfig&)> onConfig_; ///< Of each newer version.
        std::function<void(const TargetList&)> onTargets_; ///< When usable targets have changed.
        std::function<void(const std::map<VmId, PeerEntry>&)> onPeers_;
    };

    /** Precondition: `store` and `health` outlive the follower. */
    StoreFollower(platform::StoreClient& store, StoreHealth& health, const FollowIntervals& intervals,
        Callbacks callbacks);
    ~StoreFollower();

    /** Starts the reads that are due; to be called at a steady pace. */
    void tick(MonotonicTime now);
    /** Takes all that is known as old and reads it anew: after the VM stood still. */
    void readAnew();
    /** Time since the configuration was last known to be the newest; nothing before the first one. */
    std::optional<Milliseconds> configAge(MonotonicTime now) const;
    const TargetList& targets() const;
    /** Writes this VM's own entry, or removes it; repeated until the store has taken it. */
    void announce(const PeerEntry& own);
    void withdraw();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
