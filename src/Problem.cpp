#include "Problem.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    struct KindRow {
        ProblemKind kind_;
        std::string_view name_;
        int status_;
    };

    constexpr std::array<KindRow, 28> kindTable { {
        { ProblemKind::BadRequest, "bad-request", 400 },
        { ProblemKind::UnknownPath, "unknown-path", 404 },
        { ProblemKind::WrongMethod, "wrong-method", 405 },
        { ProblemKind::TooLarge, "too-large", 413 },
        { ProblemKind::Unauthenticated, "unauthenticated", 401 },
        { ProblemKind::Forbidden, "forbidden", 403 },
        { ProblemKind::UnknownProgram, "unknown-program", 404 },
        { ProblemKind::ProgramEnded, "program-ended", 410 },
        { ProblemKind::CallOutOfOrder, "call-out-of-order", 409 },
        { ProblemKind::CallKeyReused, "call-key-reused", 422 },
        { ProblemKind::TranscriptMismatch, "transcript-mismatch", 409 },
        { ProblemKind::UnknownModel, "unknown-model", 404 },
        { ProblemKind::UnknownService, "unknown-service", 404 },
        { ProblemKind::NonRepeatableNeedsProgram, "non-repeatable-needs-program", 428 },
        { ProblemKind::BudgetExceeded, "budget-exceeded", 402 },
        { ProblemKind::OutcomeUnknown, "outcome-unknown", 409 },
        { ProblemKind::AnswerNoLongerHeld, "answer-no-longer-held", 410 },
        { ProblemKind::Overloaded, "overloaded", 429 },
        { ProblemKind::LogUnavailable, "log-unavailable", 503 },
        { ProblemKind::NotOwner, "not-owner", 503 },
        { ProblemKind::NoTarget, "no-target", 503 },
        { ProblemKind::TargetFailed, "target-failed", 502 },
        { ProblemKind::TargetTruncated, "target-truncated", 502 },
        { ProblemKind::Quarantined, "quarantined", 422 },
        { ProblemKind::DeadlineExceeded, "deadline-exceeded", 504 },
        { ProblemKind::ShuttingDown, "shutting-down", 503 },
        { ProblemKind::HomeUnreachable, "home-unreachable", 503 },
        { ProblemKind::Internal, "internal", 500 },
    } };

    const KindRow& rowOf(ProblemKind kind)
    {
        for (const KindRow& row : kindTable) {
            if (row.kind_ == kind)
                return row;
        }
        return kindTable.back();
    }

} // namespace

std::string_view nameOf(ProblemKind kind) { return rowOf(kind).name_; }

std::string_view nameOf(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Unknown:
        return "outcome-unknown";
    case RunState::Final:
        return "final";
    }
    return "outcome-unknown";
}

std::optional<RunState> parseRunState(std::string_view name)
{
    for (RunState state : { RunState::NotRun, RunState::Unknown, RunState::Final }) {
        if (nameOf(state) == name)
            return state;
    }
    return std::nullopt;
}

int httpStatusOf(ProblemKind kind) { return rowOf(kind).status_; }

std::optional<std::string> retryAfterSeconds(const Problem& problem)
{
    constexpr std::chrono::seconds minDelay { 1 };
    if (!problem.retryAfter_)
        return std::nullopt;
    auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter_);
    return std::to_string(std::max(seconds, minDelay).count());
}

std::string toJsonText(const Problem& problem)
{
    nlohmann::json document = {
        { "type", "urn:fescue:" + std::string(nameOf(problem.kind_)) },
        { "title", nameOf(problem.kind_) },
        { "status", httpStatusOf(problem.kind_) },
        { "detail", problem.detail_ },
        { "run_state", nameOf(problem.runState_) },
    };
    if (problem.retryAfter_)
        document["retry_after_ms"] = problem.retryAfter_->count();
    if (problem.mayHaveRunEarlier_)
        document["earlier_attempts"] = nameOf(RunState::Unknown);
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fescue
