#pragma once

/** \file
 * ShardOracle: the invariants of a shard across all its owners, independent of the code under test.
 *
 * It observes external events only: entries appended to the log, calls sent to targets, and answers to
 * callers. `violation_` holds the first violated invariant, starting with its letter.
 */

#include "Shard.h"

#include <map>
#include <set>
#include <string>

namespace fescue::test {

/** A caller's request of a call. */
struct Attempt {
    ProgramId program_;
    CallNumber number_;
    std::string fingerprint_;
    CallKind kind_ = CallKind::Model;
    std::size_t sentCallsBefore_ = 0; ///< Number of calls sent before this request.
    bool isAnswered_ = false;
    bool isNotRun_ = false;
    bool mayHaveRunEarlier_ = false; ///< The answer reports that an earlier request may have run.
};

/** A call sent to a target. */
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

/** What the log and the targets have observed of one program. */
struct ObservedProgram {
    ProgramId parent_;
    TokenCount budget_;
    LogOffset createdAt_; ///< Log offset of its creation; 0 if it is not in the log.
    TokenCount spent_; ///< Reserved tokens of running calls plus used tokens of finished ones.
    TranscriptHead head_;
    std::map<CallNumber, Outcome> finished_; ///< As recorded in the log.
    std::vector<std::size_t> sentCalls_;
};

/** Records the events of a run and checks the invariants. Not thread-safe. */
class ShardOracle {
public:
    std::string violation_;

    /** An entry was appended to the log. */
    void appended(LogOffset offset, const Batch& batch);
    /** A caller has sent a request; `attempt` is empty for creations and ends. */
    void requested(RequestId request, const Attempt& attempt);
    /** A program was created for a caller, durable or not. */
    void created(const ProgramId& program, const ProgramId& parent, TokenCount budget);
    /** A call was sent to its target. Returns its index. */
    std::size_t sent(const ExecuteCall& execute);
    /** The sent call has ended and used this many tokens. */
    void finished(std::size_t sentCall, TokenCount used);
    /** A request was attached to a call that has been sent. */
    void attached(RequestId request, std::size_t sentCall);
    /** The owner of the epoch gave a request its final answer. */
    void answered(RequestId request, RunState run, Epoch epoch = {}, bool mayHaveRunEarlier = false);
    /** These requests have no answer although no call is running or waiting for a record for them. */
    void answersDelayed(const std::set<RequestId>& requests);
    /** A request was answered with an outcome and the number of the last durable call. */
    void answeredOutcome(RequestId request, const Outcome& outcome, CallNumber durable);
    /** The owner of the epoch reported the request's program as unknown. */
    void reportedUnknown(RequestId request, Epoch epoch);
    /** Compares the serialized ledgers of two readers of the same prefix. */
    void compared(const std::string& one, const std::string& other);
    /** The run has ended: every request must have been answered. */
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
    LogOffset currentOffset_; ///< The entry being recorded.
    std::map<WriterId, Sequence> sequences_;
    std::map<ProgramId, ObservedProgram> programs_;
    std::map<RequestId, Attempt> attempts_;
    std::vector<SentCall> sentCalls_;
};

} // namespace fescue::test
