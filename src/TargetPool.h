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
 *     dispatchEnded(pool, dispatch.id_, DispatchEnd::Answered, now);
 */

#include "Manifest.h"
#include "ProgramId.h"
#include "Shard.h"

#include <deque>
#include <map>
#include <set>

namespace fescue {

/** Number of one call in the pool, unique in this process. */
using DispatchId = Quantity<struct DispatchIdTag, std::uint64_t>;

/** A call that wants a target. */
struct QueuedCall {
    DispatchId id_;
    WorkspaceId workspace_;
    ProgramId program_; ///< Empty for a call outside of any program.
    ModelId model_; ///< Empty for a service call.
    ServiceId service_; ///< Empty for a model call.
    TokenCount contextTokens_; ///< Tokens of the program's transcript that some engine may hold.
    TokenCount newTokens_; ///< Most tokens of prompt that no engine can hold.
    TokenCount maxTokens_;
    MonotonicTime arrived_;
    std::set<TargetId> avoid_; ///< Targets that failed this call already.
};

/** A call that goes to a target now. */
struct Dispatch {
    DispatchId id_;
    Target target_;
};

/** A target as this VM sees it. */
struct TargetState {
    Target target_;
    std::uint32_t inFlight_ = 0;
    std::uint32_t window_ = 8;
    MonotonicTime notBefore_; ///< No new work until then, after failures.
    std::uint32_t failures_ = 0; ///< In a row.
};

/** All targets and waiting calls of a VM. */
struct TargetPool {
    ZoneId zone_;
    std::map<TargetId, TargetState> targets_;
    std::deque<QueuedCall> queue_;
    std::map<DispatchId, TargetId> running_;
    std::map<ProgramId, TargetId> lastTarget_; ///< Where a program's prefix was computed last.
    std::size_t queueLimit_ = 1024;
};

/** How a dispatch ended. */
enum class DispatchEnd {
    Answered,
    Refused, ///< The target said that it is full or leaving; the call did not run.
    Unreachable, ///< The call did not leave this process.
    Failed, ///< The target broke off or gave an error of its own.
    Cancelled,
};

/** Takes the targets of a manifest; calls in flight at targets that are gone still end normally. */
void setTargets(TargetPool& pool, const Manifest& manifest);

/** Lets a call wait for a target. Errors: `Overloaded` when the queue is full, `NoTarget` when no target
 * that is not leaving serves it; both are true "not-run" refusals and say when to come back. */
tl::expected<void, Problem> enqueueCall(TargetPool& pool, QueuedCall call, MonotonicTime now, Random& random);

/** Takes waiting calls off the queue for as long as a target has room. */
std::vector<Dispatch> nextDispatches(TargetPool& pool, MonotonicTime now, Random& random);

/** Takes the end of a dispatch. Unknown ids are ignored. */
void dispatchEnded(TargetPool& pool, DispatchId id, DispatchEnd end, MonotonicTime now);

/** Takes a waiting call off the queue. Returns false when it is not waiting. */
bool removeQueued(TargetPool& pool, DispatchId id);

/** Forgets what is known of a program that has ended. */
void forgetProgram(TargetPool& pool, const ProgramId& program);

} // namespace fescue
