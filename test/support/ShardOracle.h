#pragma once

/** \file
 * ShardOracle: what must hold of a shard over all its owners, told without the code under test.
 *
 * It sees only what the outside sees: entries as they land in the log, calls as they reach a target, and
 * the answers that callers get. Each rule that is broken is noted in `violation_`, the first one only.
 */

#include "Shard.h"

#include <map>
#include <set>
#include <string>

namespace fescue::test {

/** A caller's attempt of a call. */
struct Attempt {
    ProgramId program_;
    CallNumber number_;
    std::string fingerprint_;
    CallKind kind_ = CallKind::Model;
    std::size_t sentCallsBefore_ = 0; ///< Number of sendings before the caller asked.
    bool isAnswered_ = false;
    bool isNotRun_ = false;
    bool mayHaveRunEarlier_ = false; ///< The answer says that an earlier request may have run.
};

/** One run of a call at a target. */
struct SentCall {
    ProgramId program_;
    CallNumber number_;
    std::string fingerprint_;
    CallKind kind_;
    Epoch epoch_;
    std::vector<RequestId> requests_;
    TokenCount reserved_;
    bool isOver_ = false;
};

/** What the log and the targets have seen of one program. */
struct ObservedProgram {
    ProgramId parent_;
    TokenCount budget_;
    LogOffset createdAt_; ///< Where the log has its creation; 0 when it has none.
    TokenCount spent_; ///< Reserved while a call runs, used afterwards.
    TranscriptHead head_;
    std::map<CallNumber, Outcome> finished_; ///< As recorded in the log.
    std::vector<std::size_t> sentCalls_;
};

/** The record of a run and the judgement on it. Not safe for several threads. */
class ShardOracle {
public:
    std::string violation_;

    /** An entry has landed in the log. */
    void appended(LogOffset offset, const Batch& batch);
    /** A caller has sent a request; `attempt` is empty for creations and ends. */
    void requested(RequestId request, const Attempt& attempt);
    /** A program was created for a caller, durable or not. */
    void created(const ProgramId& program, const ProgramId& parent, TokenCount budget);
    /** A call reaches its target. Returns the number of the sentCall. */
    std::size_t sent(const ExecuteCall& execute);
    /** The run is over and used so much. */
    void finished(std::size_t sentCall, TokenCount used);
    /** A caller waits for the outcome of a call that has reached its target. */
    void attached(RequestId request, std::size_t sentCall);
    /** A caller got its final answer from the owner of that epoch. */
    void answered(RequestId request, RunState run, Epoch epoch = {}, bool mayHaveRunEarlier = false);
    /** These requests have no answer, and no call runs or waits for a record on their behalf. */
    void answersDelayed(const std::set<RequestId>& requests);
    /** A caller got an outcome and was told which call is durable. */
    void answeredOutcome(RequestId request, const Outcome& outcome, CallNumber durable);
    /** A caller was told by the owner of that epoch that its program is not known. */
    void reportedUnknown(RequestId request, Epoch epoch);
    /** Two readers have read the same prefix. */
    void compared(const std::string& one, const std::string& other);
    /** The run is at its end: everyone must have been answered. */
    void finish();

private:
    void fail(const std::string& what);
    void note(const ProgramCreated& created);
    void note(const CallFinished& finished);
    template <typename Other> void note(const Other&) { }
    void checkOrder(const SentCall& sentCall);
    void checkNotRun(RequestId request);
    void checkNotSent(RequestId request);
    void checkBudgets();
    TokenCount spentWithChildren(const ProgramId& program) const;

    Epoch epoch_;
    LogOffset currentOffset_; ///< The entry that is being noted.
    std::map<WriterId, Sequence> sequences_;
    std::map<ProgramId, ObservedProgram> programs_;
    std::map<RequestId, Attempt> attempts_;
    std::vector<SentCall> sentCalls_;
};

} // namespace fescue::test
