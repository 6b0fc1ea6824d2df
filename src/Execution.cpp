#include "Execution.h"

#include <xxhash.h>

namespace fescue {

bool isModelCall(const Execution& execution) { return execution.execute_.call_.kind_ == CallKind::Model; }

ContentDigest digestOf(const RequestFrame& frame)
{
    auto digest = XXH3_64bits(frame.body_.data(), frame.body_.size());
    return { digest == 0 ? 1 : digest };
}

bool isRefusal(int status) { return status == 429 || status == 503; }

ExecutionResult problemResult(ExecutionResult::Kind kind, Problem problem)
{
    ExecutionResult result;
    result.kind_ = kind;
    result.problem_ = std::move(problem);
    return result;
}

ExecutionResult unknownResult(const std::string& error)
{
    ExecutionResult result;
    result.kind_ = ExecutionResult::Kind::Unknown;
    result.outcome_ = unknownOutcome("the connection to the service was lost before its answer (" + error
        + "); the call may have run and will not be retried; check its effect at the service");
    return result;
}

ExecutionResult modelResult(const Execution& execution)
{
    ExecutionResult result;
    result.kind_ = ExecutionResult::Kind::Answered;
    result.outcome_ = { 200, "application/json", execution.stream_.completion(), RunState::Final };
    result.answerMessage_ = execution.stream_.message();
    ChatUsage usage = execution.stream_.usage();
    bool isReported = !execution.isCutAtReservation_ && usage.prompt_.value_ > 0;
    result.contextTokens_ = isReported ? usage.prompt_ + usage.completion_ : execution.execute_.reserved_;
    result.used_ = result.contextTokens_ + execution.failedAttemptsCost_;
    return result;
}

// An engine whose connection was lost may have generated up to the reservation.
TokenCount failedAttemptCost(const Execution& execution, const HttpResult& result)
{
    if (result.outcome_ == HttpResult::Outcome::NotSent)
        return {};
    const ExecuteCall& execute = execution.execute_;
    if (result.outcome_ == HttpResult::Outcome::Unknown)
        return execute.reserved_;
    if (result.status_ != 200)
        return {};
    return execute.reserved_ - execute.call_.maxTokens_ + execution.stream_.contentEvents();
}

DispatchOutcome outcomeOf(const HttpResult& result)
{
    switch (result.outcome_) {
    case HttpResult::Outcome::NotSent:
        return DispatchOutcome::Unreachable;
    case HttpResult::Outcome::Unknown:
        return DispatchOutcome::ConnectionLost;
    case HttpResult::Outcome::Answered:
        break;
    }
    if (isRefusal(result.status_))
        return DispatchOutcome::Refused;
    return result.status_ >= 500 ? DispatchOutcome::Failed : DispatchOutcome::Answered;
}

DispatchOutcome outcomeOfModelCall(const Execution& execution, const HttpResult& result)
{
    if (execution.isCancelled_)
        return DispatchOutcome::Cancelled;
    if (execution.isHung_)
        return DispatchOutcome::Hung;
    DispatchOutcome outcome = outcomeOf(result);
    bool isTruncated = outcome == DispatchOutcome::Answered && result.status_ == 200;
    return isTruncated ? DispatchOutcome::Failed : outcome;
}

Problem failureProblem(const HttpResult& result, bool isNothingForwarded)
{
    constexpr Milliseconds retryAfter { 1000 };
    bool isUnsent = result.outcome_ == HttpResult::Outcome::NotSent;
    std::string cause = result.error_.empty() ? "status " + std::to_string(result.status_) : result.error_;
    if (!isNothingForwarded)
        return { ProblemKind::TargetTruncated, RunState::Unknown,
            "the target failed in the middle of its answer (" + cause + "); retry the call", retryAfter };
    return { ProblemKind::TargetFailed, isUnsent ? RunState::NotRun : RunState::Unknown,
        "no target answered the call (" + cause + "); retry it after the Retry-After time", retryAfter };
}

ExecutionResult serviceResult(const HttpResult& result)
{
    ExecutionResult answered;
    answered.kind_ = ExecutionResult::Kind::Answered;
    auto type = result.headers_.find("content-type");
    answered.outcome_ = { result.status_, type == result.headers_.end() ? std::string() : type->second,
        result.body_, RunState::Final };
    return answered;
}

} // namespace fescue
