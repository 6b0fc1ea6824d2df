#pragma once

/** \file
 * Problem: the typed error that a caller, an operator or another process gets.
 *
 * Every refusal is a problem document (RFC 9457). Besides the usual members it says whether the request
 * ran (`RunState`) and whether an earlier request of the same call may have, since only then can a caller
 * decide whether to send it again, and after what time.
 */

#include "Types.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescue {

/** Whether the request that a problem speaks about was executed at a target. */
enum class RunState {
    NotRun, ///< No byte of this request reached a target, and none ever will; see `mayHaveRunEarlier_`.
    Unknown, ///< It may have run; it will not be run again by itself.
    Final, ///< It ran, and this is its outcome.
};

/** The closed set of problems. `docs/OPERATIONS.md` has a remedy for each. */
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

/** A typed error with the facts a reader needs. `detail_` names the remedy. */
struct Problem {
    ProblemKind kind_ = ProblemKind::Internal;
    RunState run_ = RunState::NotRun;
    std::string detail_;
    std::optional<Milliseconds> retryAfter_;
    bool mayHaveRunEarlier_ = false; ///< An earlier request of the same call may have run, here or elsewhere.
};

/** Stable name of a problem kind, as in `"type": "urn:fescue:call-out-of-order"`. Pure. */
std::string_view nameOf(ProblemKind kind);

/** Name of a run state as callers see it: `not-run`, `outcome-unknown` or `final`. Pure. */
std::string_view nameOf(RunState state);

/** Run state of a name; nothing when the name is not one of ours. Pure. */
std::optional<RunState> parseRunState(std::string_view name);

/** HTTP status that a kind is answered with. Pure. */
int httpStatusOf(ProblemKind kind);

/** Value of `Retry-After`: whole seconds, at least one; nothing when a repeat makes no sense. Pure. */
std::optional<std::string> retryAfterSeconds(const Problem& problem);

/** The problem document, one line of JSON. Pure. */
std::string toJsonText(const Problem& problem);

} // namespace fescue
