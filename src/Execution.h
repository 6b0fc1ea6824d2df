#pragma once

/** \file
 * Execution: one admitted call at its way through the targets, and what the end of a transfer means for it.
 *
 * The functions are pure but for reading the execution, whose `mutex_` the caller holds where they take one.
 */

#include "ChatStream.h"
#include "Frame.h"
#include "HttpClient.h"
#include "Metrics.h"
#include "TargetPool.h"

#include <memory>
#include <mutex>

namespace fescue {

/** One call at its way through the targets. `mutex_` guards what stands below it. */
struct Execution {
    DispatchId id_;
    ExecuteCall execute_;
    std::shared_ptr<const RequestFrame> frame_;
    bool hasNoProgram_ = false;
    MonotonicTime arrived_;

    std::mutex mutex_;
    Target target_;
    Stopwatch sent_;
    TransferId transfer_;
    std::set<TargetId> triedTargets_;
    ChatStream stream_;
    std::string forwardedEvents_; ///< Events that callers have been sent, for those who attach later.
    std::vector<RequestId> requests_;
    TokenCount failedAttemptsCost_; ///< What attempts without a whole answer have cost.
    bool isCancelled_ = false;
    bool isHung_ = false; ///< Its target hangs; it was ended so that another can run it.
    std::optional<Problem> refusal_; ///< Why it may not go to a further target, if that says more.
    MonotonicTime lastOutputReport_; ///< When the pool last heard of its output; used by one thread.
    bool isCutAtReservation_ = false; ///< The engine went on beyond what was reserved.
};

using ExecutionPtr = std::shared_ptr<Execution>;

/** Whether the call goes to a model engine. */
bool isModelCall(const Execution& execution);

/** Digest of a request's content: the same for a repeat under another key or program. Never 0. */
ContentDigest digestOf(const RequestFrame& frame);

/** Whether a target said by this status that it did not take the call in. */
bool isRefusal(int status);

/** A result that carries a problem. */
ExecutionResult problemResult(ExecutionResult::Kind kind, Problem problem);

/** The result of an at-most-once call whose answer was lost. */
ExecutionResult unknownResult(const std::string& error);

/** The result of a model call whose answer is whole or was cut at its reservation. */
ExecutionResult modelResult(const Execution& execution);

/** What an attempt of a model call without a whole answer cost at most. */
TokenCount failedAttemptCost(const Execution& execution, const HttpResult& result);

/** The result of a service call that was answered. */
ExecutionResult serviceResult(const HttpResult& result);

/** What a transfer's end says about the target. */
DispatchOutcome outcomeOf(const HttpResult& result);

/** The same for a model call whose answer is not whole. */
DispatchOutcome outcomeOfModelCall(const Execution& execution, const HttpResult& result);

/** The problem of a call that no target answered. */
Problem failureProblem(const HttpResult& result, bool isNothingForwarded);

} // namespace fescue
