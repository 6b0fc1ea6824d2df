#pragma once

/** \file
 * SoakLedger: what callers were told and what targets did, and whether the two agree.
 */

#include "Types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescue::test {

/** What a request is. */
enum class SoakKind {
    Read, ///< May run on two targets.
    Call, ///< Runs at most once.
    Turn, ///< A stream; runs at most once, and spends its program's budget.
};

/** One request of a caller. */
struct SoakRequest {
    SoakKind kind_ = SoakKind::Read;
    std::string program_;
    std::uint32_t runs_ = 0;
    int status_ = 0; ///< Of the answer that the caller got.
    bool wasPromisedNotRun_ = false;
};

/** A program's tokens. */
struct SoakProgram {
    std::int64_t budget_ = 0;
    std::int64_t handed_ = 0; ///< In all turns, broken ones included.
};

/** The ledger of one play. */
struct SoakLedger {
    std::map<std::string, SoakRequest> requests_; ///< By id.
    std::map<std::string, SoakProgram> programs_;
    std::vector<std::string> broken_; ///< Promises, in plain words, with the request's id.
};

constexpr std::int64_t soakTokensPerEvent = 100;
constexpr std::int64_t soakTurnMost = 400; ///< Tokens of one turn at its most.

/** The whole body of a target's answer; callers know it by the request's id. */
std::string soakBody(const std::string& request, SoakKind kind);

/** Notes that a target began to run a request. */
void soakRan(SoakLedger& ledger, const std::string& request, const std::string& target);

/** Notes an answer that came whole. `isStamped` tells whether a target gave it. */
void soakAnswered(
    SoakLedger& ledger, const std::string& request, int status, bool isStamped, const std::string& body);

/** Notes the body of a stream that broke. */
void soakBroke(SoakLedger& ledger, const std::string& request, const std::string& body);

/** What can only be judged at the end of the play. */
void soakSettle(SoakLedger& ledger);

} // namespace fescue::test
