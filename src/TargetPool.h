#pragma once

/** \file
 * TargetPool: decides when and where calls run, without I/O.
 *
 * Engines admit requests in order of arrival and know no priorities, so calls wait in this process: each
 * target has a window of calls in flight, and calls beyond the windows are queued. The functions take the
 * pool, an event and the current time, and return the dispatches to carry out. The pool of a VM has one lock,
 * which the caller holds.
 *
 *     enqueueCall(pool, call, now, random);
 *     for (const Dispatch& dispatch : nextDispatches(pool, now, random)) { ... send it ... }
 *     recordOutput(pool, dispatch.id_, now);
 *     completeDispatch(pool, dispatch.id_, { DispatchOutcome::Answered, usage... }, now, random);
 *
 * Each stage has a file of its own: AdmissionWindow, FairQueue, TargetLoad, Placement, RetryBudget,
 * Quarantine. docs/POLICY.md describes the effect of each.
 */

#include "AdmissionWindow.h"
#include "FairQueue.h"
#include "Manifest.h"
#include "Placement.h"
#include "Quarantine.h"
#include "RateGate.h"
#include "RetryBudget.h"
#include "SharedTargets.h"
#include "TargetLoad.h"

#include <map>
#include <vector>

namespace fescue {

/** A call to send to a target now. */
struct Dispatch {
    DispatchId id_;
    Target target_;
};

/** This VM's state of a target. */
struct TargetState {
    Target target_;
    std::uint32_t inFlight_ = 0;
    AdmissionWindow window_;
    TargetLoad load_;
    OtherVmLoad otherVmLoad_; ///< Used if the targets are shared with other VMs.
    RateGate gate_; ///< Open unless the target has named a rate.
    MonotonicTime backoffUntil_; ///< No new calls before this time.
    /** From `failuresBeforeBackoff_` on, only one call at a time probes the target. */
    std::uint32_t consecutiveFailures_ = 0;
    MonotonicTime lastOutput_; ///< When any call last received output.
};

/** A call in flight at a target. */
struct RunningDispatch {
    QueuedCall call_;
    TargetId target_;
    MonotonicTime sentAt_;
    Milliseconds expectedFirstToken_ { 0 }; ///< Time to the first token, as estimated when the call was sent.
    std::optional<MonotonicTime> firstOutputAt_;
};

/** This VM's state of another zone; a network partition makes all of its targets unreachable at once. */
struct ZoneState {
    MonotonicTime backoffUntil_;
    std::uint32_t consecutiveFailures_ = 0;
};

/** A program's prefix that a target has cached, as far as this VM knows. */
struct CachedPrefix {
    TokenCount tokens_;
    MonotonicTime usedAt_;
    Epoch epoch_; ///< Of the call that filled the cache.
};

/** Parameters of the stages. */
struct PoolOptions {
    WindowLimits window_;
    PlacementOptions placement_;
    SharedOptions shared_; ///< If enabled, replaces the windows and the cost of `placement_`.
    /** Calls waiting at a target, as a fraction of its batch; above it the window shrinks. */
    double maxWaitingShare_ = 0.1;
    std::size_t maxQueuedCalls_ = 1024;
    /** Dispatches that are chosen at once, each of which looks at all targets; 0 is without a limit. */
    std::size_t maxDispatchesAtOnce_ = 0;
    ByteCount maxQueuedBytes_ { 16 << 20 };
    /** First calls of programs are refused above this expected wait. */
    Milliseconds maxWaitForNewProgram_ { 4000 };
    Milliseconds maxWait_ { 60000 }; ///< All calls are refused above this expected wait.
    /** Consecutive failures; a failed connection attempt counts as all of them. */
    std::uint32_t failuresBeforeBackoff_ = 1;
    Milliseconds maxBackoff_ { 10000 };
    bool backsOffWholeZone_ = true; ///< Whether one unreachable target backs off its whole zone.
    /** A target is hung after this plus three times the expected time to first token. */
    Milliseconds hangTimeout_ { 10000 };
    Milliseconds prefixIdleTimeout_ { 600000 }; ///< Prefixes unused for this long are released.
    bool ordersByProgram_ = true; ///< If false, calls are dispatched in order of arrival.
    bool releasesStalePrefixes_ = true;
    /** Whether each lost connection counts as a crash and each answer clears its call. If false, the owner of
     * the pool maintains `quarantine_`. */
    bool tracksCrashes_ = true;
};

/** All targets and queued calls of a VM. */
struct TargetPool {
    ZoneId zone_;
    PoolOptions options_;
    std::map<TargetId, TargetState> targets_;
    FairQueue queue_;
    std::map<DispatchId, RunningDispatch> running_;
    std::map<ZoneId, ZoneState> zones_; ///< Zones with unreachable targets.
    std::map<ProgramId, std::map<TargetId, CachedPrefix>> cachedPrefixes_;
    RetryBudget retries_;
    Quarantine quarantine_;
    double answerTokens_ = 200; ///< Moving average of the tokens per answer.
};

/** How a dispatch ended. */
enum class DispatchOutcome {
    Answered,
    Refused, ///< The target is full or leaving; the call did not run.
    Unreachable, ///< No connection; the call did not leave this process.
    Failed, ///< The target answered with an error.
    ConnectionLost, ///< The connection was lost while the target ran the call.
    Hung, ///< Cancelled because the target hangs.
    Cancelled,
};

/** Outcome of a dispatch and the usage that the target reported. */
struct DispatchResult {
    DispatchOutcome outcome_ = DispatchOutcome::Answered;
    TokenCount prompt_; ///< 0 if unknown.
    TokenCount cached_;
    TokenCount completion_;
};

/** A cached prefix that will not be used any more and can be released. */
struct StalePrefix {
    ProgramId program_;
    TargetId target_;
    Epoch epoch_; ///< Fencing token of the release request.
};

/** Replaces the targets by those of a manifest; calls in flight at removed targets complete normally. */
void setTargets(TargetPool& pool, const Manifest& manifest);

/** Queues a call. Errors: `Overloaded` when the queue is full or the expected wait too long, `NoTarget` when
 * no target that accepts calls serves it, and `DeadlineExceeded`. These state "not-run" correctly for a call
 * that has not been sent before. `Quarantined` means that calls with this content have run and crashed their
 * targets. */
tl::expected<void, Problem> enqueueCall(TargetPool& pool, QueuedCall call, MonotonicTime now, Random& random);

/** Dequeues calls while a target has room, at most `maxDispatchesAtOnce_`. */
std::vector<Dispatch> nextDispatches(TargetPool& pool, MonotonicTime now, Random& random);

/** Records output of a call; the first output counts as its first token. Unknown ids are ignored. */
void recordOutput(TargetPool& pool, DispatchId id, MonotonicTime now);

/** Records the end of a dispatch. Unknown ids are ignored. */
void completeDispatch(
    TargetPool& pool, DispatchId id, const DispatchResult& result, MonotonicTime now, Random& random);

/** Sets the rate that a target has named; nothing if it has no limit. */
void setRate(TargetPool& pool, const TargetId& target, const std::optional<RequestRate>& rate);

/** Permits to ask for: the number for each target that waiting calls have chosen. Each of these targets
 * counts as asked until `addPermits`. */
std::map<TargetId, std::uint32_t> takeWantedPermits(TargetPool& pool, MonotonicTime now);

/** Takes in permits for a target; unknown targets are ignored. */
void addPermits(TargetPool& pool, const TargetId& target, std::uint32_t granted, Milliseconds retryAfter,
    const std::optional<RequestRate>& expected, MonotonicTime now);

/** Sets whether a target leaves: if so, it gets no new calls. Unknown targets are ignored. */
void setLeaving(TargetPool& pool, const TargetId& target, bool isLeaving);

/** Whether a target is listed and does not leave. Pure. */
bool acceptsCalls(const TargetPool& pool, const TargetId& target);

/** Removes and returns the queued calls that no target may run any more. */
std::vector<DispatchId> removeUnserved(TargetPool& pool);

/** Withdraws a retry from the retry budget; returns whether the call may be sent to another target. */
bool tryConsumeRetry(TargetPool& pool);

/** Calls at the targets of a model, of this VM and as reported for others, divided by the slots of all
 * targets that accept calls; 0 if nothing is known. For targets that are shared with other VMs. Pure. */
double occupancyOf(const TargetPool& pool, const ModelId& model, MonotonicTime now);

/** Records a load report. */
void recordLoadReport(TargetPool& pool, const TargetId& target, const LoadReport& report, MonotonicTime now);

/** Describes this VM's calls at a target and the target's last report with its age, for logs. Pure. */
std::string describeLoad(const TargetPool& pool, const TargetId& target, MonotonicTime now);

/** Records a cache eviction: the target no longer has the program's prefix. Events may arrive after the
 * prefix was cached again, so an event is ignored if the prefix was used recently. */
void recordEviction(TargetPool& pool, const ProgramId& program, const TargetId& target, MonotonicTime now);

/** Returns calls at hung targets, which the caller cancels and completes as `Hung`. Pure. */
std::vector<DispatchId> hungDispatches(const TargetPool& pool, MonotonicTime now);

/** Removes and returns the queued calls that targets with a named rate will not take in time, since a rate
 * may have been named, or lowered, after they were queued. */
std::vector<DispatchId> removeHopeless(TargetPool& pool, MonotonicTime now);

/** Removes and returns the queued calls whose deadline has passed. */
std::vector<DispatchId> removeExpired(TargetPool& pool, MonotonicTime now);

/** Removes and returns the prefixes to release: copies left behind when a program moved to another target,
 * and those idle for `prefixIdleTimeout_`. Also evicts programs that have been idle for as long, since they
 * may have ended on another VM. */
std::vector<StalePrefix> removeStalePrefixes(TargetPool& pool, MonotonicTime now);

/** Removes a call from the queue. Returns false if it is not queued. */
bool removeQueued(TargetPool& pool, DispatchId id);

/** Drops the state of a program that has ended. */
void forgetProgram(TargetPool& pool, const ProgramId& program);

} // namespace fescue
