#pragma once

/** \file
 * Shard: the decisions about one shard's programs, without I/O.
 *
 * An owner holds the `Ledger` (the state that the log confirms) and, for each loaded program, an
 * `ActiveProgram` that also includes the records not yet confirmed. Each function takes the state, an event
 * and the time, updates the state and returns the effects to carry out. Nothing here reads a clock, opens a
 * socket or takes a lock, so the daemon, the fuzzer and the benchmark run the same code:
 *
 *     Shard shard { Ledger { key } };
 *     Effects effects = admitCall(shard, call, context);
 *     // carry out the effects; append `takeBatch(shard, writer)`; pass what the log holds to `applyLogEntry`
 *
 * The functions are declared in AdmitCall.h, FinishCall.h, ProgramLifecycle.h and ShardLog.h. A call that
 * needs a confirmed record first (an intent or a tranche) waits inside the shard; `applyLogEntry` returns the
 * effect that starts it.
 */

#include "Ledger.h"
#include "Record.h"

#include <cstdint>
#include <map>
#include <set>

namespace fescue {

/** Id of a caller's request, unique within one scheduler process. */
using RequestId = Quantity<struct RequestIdTag, std::uint64_t>;

/** Id of one execution of a call at a target, unique within one shard of one process. */
using ExecutionId = Quantity<struct ExecutionIdTag, std::uint64_t>;

/** Kind of target and whether the call may be retried. */
enum class CallKind {
    Model,
    RepeatableService,
    AtMostOnceService,
};

/** A validated, parsed call as the owner of its program handles it. */
struct Call {
    RequestId request_;
    WorkspaceId workspace_;
    ProgramId program_;
    CallNumber number_;
    CallKind kind_ = CallKind::Model;
    std::string fingerprint_; ///< Digest of the whole request; identifies retries.
    std::string messages_; ///< Model calls: the JSON array of messages as sent.
    ByteCount bodySize_;
    TokenCount maxTokens_; ///< Model calls: maximum number of tokens in the answer.
};

/** Result of executing a call. */
struct ExecutionResult {
    enum class Kind {
        Answered, ///< A complete answer, in `outcome_`.
        NotRun, ///< Nothing was sent to a target.
        Unknown, ///< It may have run; at-most-once calls only.
        Failed, ///< A repeatable call that did not complete.
    };
    Kind kind_ = Kind::Failed;
    Outcome outcome_;
    Problem problem_;
    TokenCount used_;
    TokenCount contextTokens_; ///< Tokens of prompt and answer together.
    std::string answerMessage_; ///< Model calls: the assistant's message, as JSON.
};

/** An admitted call that has no outcome yet. */
struct RunningCall {
    enum class Phase { AwaitingTranche, AwaitingIntent, Executing };
    Call call_;
    Phase phase_ = Phase::Executing;
    ExecutionId execution_; ///< Set in phase `Executing`.
    TokenCount reserved_; ///< Tokens reserved for all attempts.
    TokenCount attemptReservation_; ///< Tokens reserved per attempt.
    TranscriptHead head_;
    std::string newMessages_;
    std::vector<RequestId> requests_; ///< All requests that wait for this outcome.
    MonotonicTime admittedAt_;
    MonotonicTime sendDeadline_;
    /** Run state of a refusal; `Unknown` if an earlier attempt may have run. */
    RunState refusalRunState_ = RunState::NotRun;
    bool isAbandoned_ = false; ///< Its callers already have a final answer; it must not be sent.
};

/** A loaded program at its owner: the ledger's state plus the unconfirmed records. */
struct ActiveProgram {
    WorkspaceId workspace_;
    ProgramId parent_;
    TokenCount budget_;
    TokenCount trancheLeft_; ///< Tokens that this epoch may still spend.
    TokenCount tranchePending_; ///< Granted by unconfirmed records.
    TokenCount ungranted_; ///< Part of the budget that no confirmed or unconfirmed record grants.
    TokenCount contextTokens_;
    CallNumber lastCall_;
    CallNumber durableCall_; ///< Last call with a confirmed record.
    CallNumber failedCall_; ///< Last call that ran here without an outcome; a retry may execute it again.
    TranscriptHead head_;
    std::deque<FinishedCall> recentCalls_;
    std::optional<RunningCall> running_;
    MonotonicTime lastUsedAt_;
    std::vector<RequestId> creationWaiters_; ///< Requests to answer once the creation is confirmed.
    MonotonicTime createdAt_;
    /** Until then the previous owner may still send the call of an open intent. */
    MonotonicTime previousOwnerDeadline_;
    /** Outcome of that call; recorded after `previousOwnerDeadline_`. */
    std::optional<CallFinished> deferredOutcome_;
    bool isDurable_ = false; ///< Its creation is confirmed.
    bool hasEnded_ = false;
    std::vector<RequestId> endWaiters_; ///< Requests to answer once the end is confirmed.
    std::string endReason_;
};

/** State kept for an evicted program; the rest is in the ledger. */
struct EvictedProgram {
    TokenCount trancheLeft_;
    CallNumber failedCall_;
    MonotonicTime lastUsedAt_;
};

/** An entry that is buffered until a snapshot gives the state to apply it to. */
struct BufferedEntry {
    LogOffset offset_;
    Batch batch_;
};

/** State of a reader whose next entries have expired from the log; see LedgerSnapshot.h. */
struct GapRecovery {
    LogOffset first_; ///< The oldest entry that the log still had.
    std::vector<BufferedEntry> entries_;
};

/** The state of one shard on one VM. */
struct Shard {
    Ledger ledger_;
    Epoch epoch_; ///< Epoch owned by this VM; 0 if it is not the owner.
    MonotonicTime ownedSince_;
    std::map<ProgramId, ActiveProgram> active_;
    std::map<ProgramId, EvictedProgram> evicted_;
    /** Calls still executing from an epoch that this VM has lost. */
    std::map<ExecutionId, RunningCall> orphanedCalls_;
    ExecutionId lastExecution_;
    std::vector<RecordBody> outbox_; ///< Records to append, oldest first.
    ByteCount outboxBytes_;
    std::optional<Batch> inFlight_; ///< The batch being appended.
    Sequence nextSequence_ { 1 };
    std::optional<GapRecovery> gapRecovery_; ///< Set while the reader waits for a snapshot.
    std::optional<LogOffset> snapshotAt_; ///< Offset covered by the last snapshot of this epoch.
    MonotonicTime snapshotTime_;
    bool isFlushRequested_ = false; ///< Append without waiting for the flush interval.
    bool isLogDown_ = false; ///< The last log operation failed.
};

/** Limits and timeouts of the decisions. */
struct ShardLimits {
    /** A call with an intent is sent within this time or not at all. */
    Milliseconds intentSendWindow_ { 2000 };
    /** Added to the window to allow for clocks that run at different rates. */
    Milliseconds clockSkewMargin_ { 500 };
    /** A call is refused if its record is not confirmed within this time. */
    Milliseconds confirmationTimeout_ { 10000 };
    /** A program without calls for this long is ended as abandoned. */
    Milliseconds programIdleTimeout_ { 1800000 };
    TokenCount trancheSize_ { 16384 };
    Milliseconds evictAfter_ { 60000 }; ///< A program without calls for this long is evicted.
    std::size_t maxOutboxRecords_ = 4096; ///< New work is refused when this many records wait for the log,
    ByteCount maxOutboxBytes_ { 8 << 20 }; ///< or records of this total size.
    std::uint64_t maxEntriesPerSnapshot_ = 512; ///< A snapshot is written after this many entries
    Milliseconds snapshotInterval_ { 600000 }; ///< or after this time, a third of the log's retention.
    ByteCount batchSizeThreshold_ { 1 << 20 }; ///< A batch is full once it reaches this size.
};

/** Input of every decision besides its event. */
struct ShardContext {
    MonotonicTime now_;
    const ShardLimits& limits_;
};

/** Answer these requests with a problem. */
struct ReplyProblem {
    std::vector<RequestId> requests_;
    Problem problem_;
};
/** Answer these requests with the outcome of a finished call. */
struct ReplyOutcome {
    std::vector<RequestId> requests_;
    Outcome outcome_;
    CallNumber durableCall_;
};
/** Answer this request with the outcome of a finished call that is only in the log, at `offset_`; see
 * `answerFromLog`. */
struct ReplyFromLog {
    Call call_;
    LogOffset offset_;
    CallNumber durableCall_;
};
/** Forward these requests to the VM that now owns the shard; none was executed here. */
struct ReplyMoved {
    std::vector<RequestId> requests_;
    VmId to_;
};
/** Answer a program's creation or end. */
struct ReplyProgram {
    RequestId request_;
    ProgramId program_;
    bool isDurable_ = false; ///< Whether the program's creation is confirmed.
};
/** Attach this request to the output of the running call. */
struct AttachRequest {
    RequestId request_;
    ProgramId program_;
    CallNumber call_;
};
/** Execute a call; do not send it after `sendDeadline_` if that is set. */
struct ExecuteCall {
    ExecutionId execution_;
    Call call_;
    std::vector<RequestId> requests_; ///< All requests that wait for the outcome.
    Epoch epoch_;
    CallNumber durableCall_;
    TokenCount reserved_; ///< The answer is cut off beyond this.
    std::optional<MonotonicTime> sendDeadline_;
};
/** Cancel a call whose program has ended. */
struct CancelCall {
    ProgramId program_;
    ExecutionId execution_;
};
/** Release the engine's cache of a program whose end is confirmed. */
struct ReleaseCache {
    ProgramId program_;
    Epoch epoch_;
};

using Effect = std::variant<ReplyProblem, ReplyOutcome, ReplyFromLog, ReplyMoved, ReplyProgram, AttachRequest,
    ExecuteCall, CancelCall, ReleaseCache>;
using Effects = std::vector<Effect>;

/** Returns the loaded program, loading it from the ledger if needed; null if the program is unknown.
 *
 * Thread safety: none; the caller holds the lock of the shard. An open intent of an earlier epoch gets the
 * outcome `outcome-unknown`, so this owner never sends its call. */
ActiveProgram* findOrLoadActive(Shard& shard, const ProgramId& program, const ShardContext& context);

/** Outcome of a call that may have run, as a problem document. Pure. */
Outcome unknownOutcome(const std::string& detail);

/** Marks an admitted call as executing under a new execution id and returns the effect that runs it. */
ExecuteCall startExecution(Shard& shard, const ActiveProgram& active, RunningCall& running);

/** Adds a record to the outbox. */
void enqueueRecord(Shard& shard, RecordBody body);

/** Approximate size of a record in memory and in the log. Pure. */
ByteCount sizeOf(const RecordBody& body);

/** Whether the outbox has reached a limit, so that new work is refused. Pure. */
bool isOutboxFull(const Shard& shard, const ShardLimits& limits);

/** Run state to report when the call is refused. For a repeatable call it covers only the attempts under this
 * VM's epoch. Pure. */
RunState refusedRunState(const ActiveProgram& active, const Call& call);

/** Records the outcome of an earlier epoch's open intent once that owner can no longer send the call. */
void recordDeferredOutcome(Shard& shard, ActiveProgram& active, const ShardContext& context);

} // namespace fescue
