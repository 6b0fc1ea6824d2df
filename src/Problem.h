#pragma once

/** \file
 * Problem: the typed error that is returned to callers, operators and other processes.
 *
 * Every error response is a problem document (RFC 9457). Besides the standard members it says whether the
 * request ran (`RunState`) and whether an earlier request of the same call may have run, because a caller
 * needs both to decide whether to retry, and after which delay.
 */

#include "Types.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescue {

/** Whether a target executed the request that a problem describes. */
enum class RunState {
    NotRun, ///< No byte of this request reached or will reach a target; see `mayHaveRunEarlier_`.
    Unknown, ///< It may have run; it is not retried automatically.
    Final, ///< It ran, and this is its outcome.
};

/** All kinds of problems. `docs/OPERATIONS.md` has a remedy for each. */
enum class ProblemKind {
    BadRequest,
    UnknownPath,
    WrongMethod,
    TooLarge,
    Unauthenticated,
    Forbidden,
    UnknownProgram,
    ProgramEnded,
    CallOutOfOrder,
    CallKeyReused,
    TranscriptMismatch,
    UnknownModel,
    UnknownService,
    NonRepeatableNeedsProgram,
    BudgetExceeded,
    OutcomeUnknown,
    AnswerNoLongerHeld,
    Overloaded,
    LogUnavailable,
    NotOwner,
    NoTarget,
    TargetFailed,
    TargetTruncated,
    Quarantined,
    DeadlineExceeded,
    ShuttingDown,
    HomeUnreachable,
    Internal,
};

/** A typed error. `detail_` names the cause and the remedy. */
struct Problem {
    ProblemKind kind_ = ProblemKind::Internal;
    RunState runState_ = RunState::NotRun;
    std::string detail_;
    std::optional<Milliseconds> retryAfter_;
    bool mayHaveRunEarlier_ = false; ///< An earlier request of the same call may have run, here or elsewhere.
};

/** Stable name of a problem kind, as in `"type": "urn:fescue:call-out-of-order"`. Pure. */
std::string_view nameOf(ProblemKind kind);

/** Name of a run state as callers see it: `not-run`, `outcome-unknown` or `final`. Pure. */
std::string_view nameOf(RunState state);

/** The run state with this name; `std::nullopt` for an unknown name. Pure. */
std::optional<RunState> parseRunState(std::string_view name);

/** HTTP status of the response for a problem kind. Pure. */
int httpStatusOf(ProblemKind kind);

/** Value of `Retry-After`: whole seconds, at least one; `std::nullopt` when a retry cannot help. Pure. */
std::optional<std::string> retryAfterSeconds(const Problem& problem);

/** The problem document as one line of JSON. Pure. */
std::string toJsonText(const Problem& problem);

} // namespace fescue
