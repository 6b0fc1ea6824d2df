#pragma once

/** \file
 * CrashTracker: records which requests were running when targets crashed, and exchanges the records with the
 * other entry VMs through the platform's store.
 *
 *     connection ended --> CrashWatch --> Quarantine --> store --> Quarantine of the other VMs
 *
 * Without the store, records are kept and written once it is back. A complete answer clears a request on all
 * VMs, and shows that it is innocent of crashes some time before and after: content that many callers request
 * runs at each target that ends.
 */

#include "CrashWatch.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace fescue::platform {
class StoreClient;
struct KeyedRecord;
}

namespace fescue {

/** Tracks crashes. Not thread-safe; to be used on the thread of the event loop only. */
class CrashTracker {
public:
    /** When the oldest connection to a target that is still open was established; nothing if none is open.
     * Called at most once for each target and step. */
    using ConnectedSince = std::function<std::optional<MonotonicTime>(const TargetId&)>;

    /** Precondition: `quarantine` and `store` outlive the tracker. */
    CrashTracker(Quarantine& quarantine, platform::StoreClient& store, const WriterId& writer);
    ~CrashTracker();

    /** Watches a target whose connection ended while it ran a request. */
    void onConnectionEnded(const EndedConnection& ended);
    /** Records that another request with the content was running when a target ended. */
    void onConcurrentRuns(ContentDigest digest);
    /** Whether a request with this content is to run although it is quarantined; see ContentTrials.h. */
    bool takeTrial(ContentDigest digest);
    /** Gives back a trial that was not sent to a target. */
    void returnTrial(ContentDigest digest);
    /** Clears a request after a complete and successful answer. */
    void onCompleted(ContentDigest digest);
    /** Applies changed records of the store, or all of its records if `isComplete`. */
    void applyRecords(const std::vector<platform::KeyedRecord>& records, bool isComplete);
    /** Judges ended connections and writes records; to be called at regular intervals. */
    void tick(const TargetList& targets, const ConnectedSince& connectedSince, MonotonicTime now);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
