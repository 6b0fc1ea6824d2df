#pragma once

/** \file
 * TargetPool: which calls run where and when, without I/O.
 *
 * Engines admit requests as they arrive and know no priority, so calls wait here: each target has a window
 * of calls in flight, and a queue is kept for what does not fit. The functions take the pool, an event and
 * the time and return the dispatches to carry out; the pool of a VM has one lock, held by the caller.
 *
 *     enqueueCall(pool, call, now, random);
 *     for (const Dispatch& dispatch : nextDispatches(pool, now, random)) { ... send it ... }
 *     recordOutput(pool, dispatch.id_, now);
 *     completeDispatch(pool, dispatch.id_, { DispatchOutcome::Answered, usage... }, now, random);
 *
 * The stages stand in files of their own: AdmissionWindow, FairQueue, TargetLoad, Placement, RetryBudget,
 * Quarantine. docs/POLICY.md has what each of them brings.
 */

#include "AdmissionWindow.h"
#include "FairQueue.h"
#include "Manifest.h"
#include "Placement.h"
#include "Quarantine.h"
#include "RetryBudget.h"
#include "SharedTargets.h"
#include "TargetLoad.h"

#include <map>
#include <vector>

namespace fescue {

/** A call that goes to a target now. */
struct Dispatch {
    DispatchId id_;
    Target target_;
};

/** A target as this VM sees it. */
struct TargetState {
    Target target_;
    std::uint32_t inFlight_ = 0;
    AdmissionWindow window_;
    TargetLoad load_;
    OtherVmLoad otherVmLoad_; ///< Used when the targets are shared with other VMs.
    MonotonicTime backoffUntil_; ///< No new work until then, after failures.
    std::uint32_t failures_ = 0; ///< In a row; with any, only one call at a time tries the target.
    MonotonicTime lastOutput_; ///< When any call last showed that the target is alive.
};

/** A call at a target. */
struct RunningDispatch {
    QueuedCall call_;
    TargetId target_;
    MonotonicTime sentAt_;
    Milliseconds expectedFirstToken_ { 0 }; ///< Time to the first token, as expected when it was sent.
    std::optional<MonotonicTime> firstOutputAt_;
};

/** Another zone as this VM sees it; a cut makes all of its targets unreachable at once. */
struct ZoneState {
    MonotonicTime backoffUntil_;
    std::uint32_t failures_ = 0; ///< In a row.
};

/** Tokens of a program that a target holds, as far as this VM knows. */
struct CachedPrefix {
    TokenCount tokens_;
    MonotonicTime usedAt_;
    Epoch epoch_; ///< Of the call that left them there.
};

/** Parameters of the stages. */
struct PoolOptions {
    WindowLimits window_;
    PlacementOptions placement_;
    SharedOptions shared_; ///< When enabled, it takes the place of windows and of the placement's cost.
    double maxWaitingShare_ = 0.1; ///< Share of its batch that may wait at a target.
    std::size_t maxQueuedCalls_ = 1024;
    ByteCount maxQueuedBytes_ { 16 << 20 };
    Milliseconds maxWaitForNewProgram_ { 4000 }; ///< Programs without service are refused beyond this wait.
    Milliseconds maxWait_ { 60000 }; ///< All calls are refused beyond this wait.
    std::uint32_t failuresBeforeBackoff_
        = 1; ///< In a row; a connection that cannot be made counts as all of them.
    Milliseconds maxBackoff_ { 10000 };
    bool backsOffWholeZone_ = true; ///< Whether an unreachable target speaks for its whole zone.
    Milliseconds hangTimeout_ { 10000 }; ///< A target is hung after this and thrice the expected time.
    Milliseconds prefixIdleTimeout_ { 600000 }; ///< Prefixes unused for this long are released.
    bool ordersByProgram_ = true; ///< False: in order of arrival.
    bool releasesStalePrefixes_ = true;
};

/** All targets and waiting calls of a VM. */
struct TargetPool {
    ZoneId zone_;
    PoolOptions options_;
    std::map<TargetId, TargetState> targets_;
    FairQueue queue_;
    std::map<DispatchId, RunningDispatch> running_;
    std::map<ZoneId, ZoneState> zones_; ///< Those whose targets were unreachable.
    std::map<ProgramId, std::map<TargetId, CachedPrefix>> cachedPrefixes_;
    RetryBudget retries_;
    Quarantine quarantine_;
    double answerTokens_ = 200; ///< Moving average of an answer's length.
};

/** How a dispatch ended. */
enum class DispatchOutcome {
    Answered,
    Refused, ///< The target said that it is full or leaving; the call did not run.
    Unreachable, ///< The call did not leave this process.
    Failed, ///< The target gave an error of its own.
    ConnectionLost, ///< The target was lost while it ran the call.
    Hung, ///< It was cancelled as overdue.
    Cancelled,
};

/** How a dispatch ended and what the target reported of it. */
struct DispatchResult {
    DispatchOutcome outcome_ = DispatchOutcome::Answered;
    TokenCount prompt_; ///< 0 when it is not known.
    TokenCount cached_;
    TokenCount completion_;
};

/** Cache to be released: nobody will use it there any more. */
struct StalePrefix {
    ProgramId program_;
    TargetId target_;
    Epoch epoch_; ///< For the order to release it.
};

/** Takes the targets of a manifest; calls in flight at targets that are gone still end normally. */
void setTargets(TargetPool& pool, const Manifest& manifest);

/** Lets a call wait for a target. Errors: `Overloaded` when the queue is full or the expected wait too long,
 * `NoTarget` when no target that is not leaving serves it, `DeadlineExceeded`; these are true "not-run"
 * refusals for a call that has not been sent before. `Quarantined` says that its content has run. */
tl::expected<void, Problem> enqueueCall(TargetPool& pool, QueuedCall call, MonotonicTime now, Random& random);

/** Takes waiting calls off the queue for as long as a target has room. */
std::vector<Dispatch> nextDispatches(TargetPool& pool, MonotonicTime now, Random& random);

/** Notes that a call has shown output; the first time counts as its first token. Unknown ids are ignored. */
void recordOutput(TargetPool& pool, DispatchId id, MonotonicTime now);

/** Takes the end of a dispatch. Unknown ids are ignored. */
void completeDispatch(
    TargetPool& pool, DispatchId id, const DispatchResult& result, MonotonicTime now, Random& random);

/** Whether a call may be sent to a further target now; takes it from the retry budget. */
bool tryConsumeRetry(TargetPool& pool);

/** Calls at the targets of a model, of this VM and as reported of others, by the slots of all that take work.
 * 0 when nothing is known. For targets that are shared with other VMs. Pure. */
double occupancyOf(const TargetPool& pool, const ModelId& model, MonotonicTime now);

/** Takes a load report. */
void recordLoadReport(TargetPool& pool, const TargetId& target, const LoadReport& report, MonotonicTime now);

/** Takes a cache event: the target no longer holds the program's prefix. An event may be so late that the
 * prefix has come back since, so it is ignored for a prefix used a moment ago. */
void recordEviction(TargetPool& pool, const ProgramId& program, const TargetId& target, MonotonicTime now);

/** Calls at targets that hang; to be cancelled and ended as `Hung`. Pure. */
std::vector<DispatchId> hungDispatches(const TargetPool& pool, MonotonicTime now);

/** Takes the calls off the queue whose deadline has passed. */
std::vector<DispatchId> removeExpired(TargetPool& pool, MonotonicTime now);

/** Takes the prefixes that are to be released: copies left behind by a move, and those long unused. Forgets
 * programs that have been idle for as long, since they may have ended at another VM. */
std::vector<StalePrefix> removeStalePrefixes(TargetPool& pool, MonotonicTime now);

/** Takes a waiting call off the queue. Returns false when it is not waiting. */
bool removeQueued(TargetPool& pool, DispatchId id);

/** Forgets what is known of a program that has ended. */
void forgetProgram(TargetPool& pool, const ProgramId& program);

} // namespace fescue
