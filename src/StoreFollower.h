#pragma once

/** \file
 * StoreFollower: follows the configuration, the targets and the records of other VMs in the platform's store.
 *
 * The configuration rarely changes, so reads long-poll for its next record. Targets report continuously, so
 * their topic is polled at intervals instead. Each read has a timeout, since a connection can stall without
 * being closed. If the store no longer retains the next records, the newest record of each key is read again.
 */

#include "PeerList.h"
#include "RouteHistory.h"
#include "ServingConfig.h"
#include "StoreHealth.h"
#include "TargetList.h"

#include <functional>
#include <memory>

namespace fescue::platform {
class StoreClient;
struct KeyedRecord;
struct StorePartition;
}

namespace fescue {

/** Poll intervals and timeouts of reads. */
struct FollowIntervals {
    Milliseconds configPollWait_ { 2000 }; ///< Long-poll wait for the next configuration.
    Milliseconds minPollInterval_ { 120 }; ///< Between long-poll reads when changes come in quick succession.
    Milliseconds targetInterval_ { 600 }; ///< Poll interval of the targets' reports.
    Milliseconds peerPollWait_ { 5000 }; ///< Long-poll wait for the next change of a VM entry.
    Milliseconds minLapse_ { 2400 }; ///< Shortest outage in which entries of live targets lapse.
    Milliseconds timeout_ { 500 }; ///< For an answer, in addition to the long-poll wait.
};

/** Follows the store. Not thread-safe; to be used on the thread of the event loop only. */
class StoreFollower {
public:
    struct Callbacks {
        std::function<void(const ServingConfig&)> onConfig_; ///< Called for each newer version.
        std::function<void(const TargetList&)> onTargets_; ///< Called when the usable targets have changed.
        std::function<void(const std::map<VmId, PeerEntry>&)> onPeers_;
        /** Called with changed records of crashes, or with all that exist if `isComplete`. */
        std::function<void(const std::vector<platform::KeyedRecord>&, bool isComplete)> onCrashRecords_;
    };

    /** Precondition: `store` and `health` outlive the follower. */
    StoreFollower(platform::StoreClient& store, StoreHealth& health, const FollowIntervals& intervals,
        Callbacks callbacks);
    ~StoreFollower();

    /** Starts the reads that are due; to be called at regular intervals. */
    void tick(MonotonicTime now);
    /** Reads the targets and the configuration at once. `done` is called once, with whether reads of both
     * that started after this call reached the end. */
    void refresh(std::function<void(bool isRead)> done);
    /** Marks all state as stale and reads it again, after the VM was suspended. */
    void resync();
    /** Returns the time since the configuration was last known to be current; nothing if it never was. */
    std::optional<Milliseconds> configAge(MonotonicTime now) const;
    const TargetList& targets() const;
    const RouteHistory& routes() const;
    /** The partition with the records that entry VMs write for each other. Pure. */
    static platform::StorePartition vmPartition();
    /** Writes this VM's own entry, after the first read of the others' if that comes soon; retried until the
     * store has applied it. */
    void announce(const PeerEntry& own);
    /** Removes the own entry; retried in the same way. */
    void withdraw();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
