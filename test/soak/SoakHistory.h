#pragma once

/** \file
 * SoakHistory: records the answers to callers and the runs at targets, and checks that they agree.
 */

#include "Types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescue::test {

/** How often a request may run. */
enum class SoakRequestKind {
    Read, ///< Idempotent; may run on two targets.
    Call, ///< May run at most once.
    Turn, ///< A stream; may run at most once and uses its program's budget.
    KeptTurn, ///< A turn that the system puts the text of earlier ones before.
};

/** One request of a caller and its result. */
struct SoakRequest {
    SoakRequestKind kind_ = SoakRequestKind::Read;
    std::string program_;
    std::uint32_t runCount_ = 0; ///< How many times targets ran it.
    int status_ = 0; ///< HTTP status of the answer; 0 when there is none.
    bool wasRefusedAsNotRun_ = false;
    std::string vm_; ///< That it was sent to.
    MonotonicTime sentAt_;
    std::string
        previous_; ///< The kept turn that this one continues from; empty at the start of a conversation.
    std::string resumes_; ///< The request that began the stream; empty if this one does.
};

/** Token usage of one program. */
struct SoakProgram {
    std::int64_t budget_ = 0;
    std::int64_t deliveredTokens_ = 0; ///< Tokens that callers received in all turns, including aborted ones.
};

/** The history of one run. */
struct SoakHistory {
    std::map<std::string, SoakRequest> requests_; ///< By id.
    std::map<std::string, SoakProgram> programs_;
    std::map<std::string, MonotonicTime>
        vmDisturbedAt_; ///< Last time at which a VM was down, paused or stopping.
    std::map<std::string, std::string> streamVersions_; ///< Version that began a stream, by its request.
    std::map<std::string, std::string>
        leavingAnswers_; ///< Target that said in its answer to a request that it leaves.
    /** When a VM first passed on an answer in which a target says that it leaves. */
    std::map<std::pair<std::string, std::string>, MonotonicTime> passedOnLeaving_;
    std::vector<std::string> violations_; ///< Violated guarantees, each with the request's id.
};

constexpr std::int64_t soakTokensPerEvent = 100;
constexpr std::int64_t soakMaxTurnTokens = 400; ///< Maximum number of tokens of one turn.

/** Returns the complete body of a target's answer, which depends only on the request. */
std::string soakResponseBody(const std::string& request, SoakRequestKind kind);

/** Returns the body that a caller sends with a request. */
std::string soakRequestBody(const std::string& request);

/** Checks that a target received a kept turn with the whole text of the earlier ones. */
void checkKeptText(SoakHistory& history, const std::string& request, const std::string& body);

/** Records that a request reached a target, and checks that the target had not said long before that it
 * leaves. */
void recordArrival(SoakHistory& history, const std::string& request, const std::string& target);

/** Records the version of the target that runs a stream, and checks that it is the one that began it. */
void recordStreamVersion(SoakHistory& history, const std::string& request, const std::string& version);

/** Records that a caller got the head of a target's answer. */
void recordPassedOn(SoakHistory& history, const std::string& request, MonotonicTime now);

/** Records that a target started to run a request. */
void recordTargetRun(SoakHistory& history, const std::string& request, const std::string& target);

/** Records a complete answer. `isStamped` tells whether it came from a target. */
void recordAnswer(
    SoakHistory& history, const std::string& request, int status, bool isStamped, const std::string& body);

/** Records the partial body of an answer that ended early. */
void recordPartialAnswer(SoakHistory& history, const std::string& request, const std::string& body);

/** Checks the guarantees that can only be checked at the end of a run. */
void checkFinalState(SoakHistory& history);

} // namespace fescue::test
