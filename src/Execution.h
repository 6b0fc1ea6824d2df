#pragma once

/** \file
 * Execution: the state of one admitted call across its attempts, and how the end of an attempt is
 * interpreted.
 *
 * The functions are pure; the caller holds `mutex_` of an execution that it passes.
 */

#include "ChatStream.h"
#include "Frame.h"
#include "HttpClient.h"
#include "Metrics.h"
#include "TargetPool.h"

#include <memory>
#include <mutex>

namespace fescue {

/** State of one admitted call. `mutex_` guards the members declared below it. */
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
    std::string forwardedEvents_; ///< Events already sent to callers, for callers that attach later.
    std::vector<RequestId> requests_;
    TokenCount failedAttemptsCost_; ///< Tokens charged for attempts without a complete answer.
    bool isCancelled_ = false;
    bool isHung_ = false; ///< The attempt was cancelled because its target hangs.
    std::optional<Problem> refusal_; ///< Why it may not be retried, if more specific than the failure.
    MonotonicTime lastOutputReport_; ///< When output was last reported to the pool; used by one thread.
    bool isCutAtReservation_ = false; ///< Cancelled because the engine generated more than was reserved.
};

using ExecutionPtr = std::shared_ptr<Execution>;

/** Whether the call goes to a model engine. */
bool isModelCall(const Execution& execution);

/** Digest of a request's body, independent of its key and program. Never 0. */
ContentDigest digestOf(const RequestFrame& frame);

/** Whether this status means that the target did not accept the call. */
bool isRefusal(int status);

/** Makes a result that carries a problem. */
ExecutionResult problemResult(ExecutionResult::Kind kind, Problem problem);

/** The result of an at-most-once call whose answer was lost; it may have run. */
ExecutionResult unknownResult(const std::string& error);

/** The result of a model call whose answer is complete or was cut at its reservation. */
ExecutionResult modelResult(const Execution& execution);

/** Upper bound of the tokens used by an attempt of a model call without a complete answer. */
TokenCount failedAttemptCost(const Execution& execution, const HttpResult& result);

/** The result of an answered service call. */
ExecutionResult serviceResult(const HttpResult& result);

/** Maps the result of an HTTP request to a dispatch outcome. */
DispatchOutcome outcomeOf(const HttpResult& result);

/** Like `outcomeOf`, for a model call whose answer is incomplete. */
DispatchOutcome outcomeOfModelCall(const Execution& execution, const HttpResult& result);

/** The problem of a call that no target answered. */
Problem failureProblem(const HttpResult& result, bool isNothingForwarded);

} // namespace fescue
