#pragma once

/** \file
 * Shard: the decisions about one shard's programs, without I/O.
 *
 * An owner holds the `Ledger` (what the log says) and, for each program in use, an `ActiveProgram` that
 * runs ahead of it by the records still on their way. Each function here takes the state, an event and the
 * time, changes the state and returns the effects to carry out. Nothing here reads a clock, opens a
 * socket or takes a lock, so a daemon, a fuzzer and a benchmark drive the same code:
 *
 *     Shard shard { Ledger { key } };
 *     Effects effects = admitCall(shard, call, context);
 *     // carry out the effects; append `takeBatch(shard, writer)`; report back with `applyLogEntry`
 *
 * The functions stand in AdmitCall.h, FinishCall.h, ProgramLifecycle.h and ShardLog.h. A call that the log
 * has to confirm first (an intent, a tranche) waits inside the shard; `applyLogEntry` returns the effect that
 * lets it run.
 */

#include "Ledger.h"
#include "Record.h"

#include <cstdint>
#include <map>
#include <set>

namespace fescue {

/** Number of a caller's request within one scheduler process. */
using RequestId = Quantity<struct RequestIdTag, std::uint64_t>;

/** Number of one run of a call at a target, within one shard of one process. */
using ExecutionId = Quantity<struct ExecutionIdTag, std::uint64_t>;

/** What a call asks for. */
enum class CallKind {
    Model,
    RepeatableService,
    AtMostOnceService,
};

/** A call as the owner of its program sees it, checked and parsed. */
struct Call {
    RequestId request_;
    WorkspaceId workspace_;
    ProgramId program_;
    CallNumber number_;
    CallKind kind_ = CallKind::Model;
    std::string fingerprint_; ///< Digest of everything that the call asks for.
    std::string messages_; ///< Model calls: the JSON array of messages as sent.
    ByteCount bodySize_;
    TokenCount maxTokens_; ///< Model calls: most tokens that the answer may have.
};

/** What running a call came to. */
struct ExecutionResult {
    enum class Kind {
        Answered, ///< A whole answer; `outcome_` holds it.
        NotRun, ///< No byte reached a target.
        Unknown, ///< It may have run; only an at-most-once call ends this way.
        Failed, ///< A repeatable call that did not come to an end.
    };
    Kind kind_ = Kind::Failed;
    Outcome outcome_;
    Problem problem_;
    TokenCount used_;
    TokenCount contextTokens_; ///< Tokens of prompt and answer together.
    std::string answerMessage_; ///< Model calls: the assistant's message, as JSON.
};

/** A call that has been let in and has no outcome yet. */
struct RunningCall {
    enum class Phase { AwaitingTranche, AwaitingIntent, Executing };
    Call call_;
    Phase phase_ = Phase::Executing;
    ExecutionId execution_; ///< Set while it executes.
    TokenCount reserved_; ///< For all of its attempts.
    TokenCount attemptReservation_; ///< For one attempt.
    TranscriptHead head_;
    std::string newMessages_;
    std::vector<RequestId> requests_; ///< Every caller that waits for this outcome.
    MonotonicTime admittedAt_;
    MonotonicTime sendDeadline_;
    RunState refusalRunState_ = RunState::NotRun; ///< What a refusal says: an earlier attempt may have run.
    bool abandoned_ = false; ///< Its callers have had their final answer; it must not be sent any more.
};

/** A program as its owner knows it: the ledger's state and what is on its way to the log. */
struct ActiveProgram {
    WorkspaceId workspace_;
    ProgramId parent_;
    TokenCount budget_;
    TokenCount trancheLeft_; ///< What this epoch may still spend.
    TokenCount tranchePending_; ///< Granted by a record that is on its way.
    TokenCount ungranted_; ///< Part of the budget that no record grants, neither confirmed nor on its way.
    TokenCount contextTokens_;
    CallNumber lastCall_;
    CallNumber durableCall_; ///< Last call whose record the log has confirmed.
    CallNumber failedCall_; ///< Last call that ran here without an outcome; its repeats may run again.
    TranscriptHead head_;
    std::deque<FinishedCall> recent_;
    std::optional<RunningCall> running_;
    MonotonicTime lastUsedAt_;
    std::vector<RequestId> creationWaiters_; ///< Callers to tell once the log has confirmed the creation.
    MonotonicTime createdAt_;
    MonotonicTime previousOwnerDeadline_; ///< An earlier owner may still send an announced call until then.
    std::optional<CallFinished>
        deferredOutcome_; ///< Outcome of that call; recorded when `previousOwnerDeadline_` has passed.
    bool isDurable_ = false; ///< The log has confirmed its creation.
    bool ended_ = false;
    std::string endReason_;
};

/** What is kept of a program that is not in use; the rest is in the ledger. */
struct EvictedProgram {
    TokenCount trancheLeft_;
    CallNumber failedCall_;
    MonotonicTime lastUsedAt_;
};

/** An entry that was read before the reader knew the state that it belongs to. */
struct BufferedEntry {
    LogOffset offset_;
    Batch batch_;
};

/** A reader that began beyond records that have aged out; see LedgerSnapshot.h. */
struct GapRecovery {
    LogOffset first_; ///< The oldest entry that was still there.
    std::vector<BufferedEntry> entries_;
};

/** The state of one shard at one VM. */
struct Shard {
    Ledger ledger_;
    Epoch epoch_; ///< The epoch that this VM holds; 0 when it is not the owner.
    MonotonicTime ownedSince_;
    std::map<ProgramId, ActiveProgram> active_;
    std::map<ProgramId, EvictedProgram> evicted_;
    std::map<ExecutionId, RunningCall> orphanedCalls_; ///< Calls still running from an epoch since lost.
    ExecutionId lastExecution_;
    std::vector<RecordBody> outbox_; ///< Records for the next batches.
    ByteCount outboxBytes_;
    std::optional<Batch> inFlight_; ///< The batch that is being appended.
    Sequence nextSequence_ { 1 };
    std::optional<GapRecovery> gapRecovery_; ///< Set while the ledger waits for a snapshot.
    std::optional<LogOffset> snapshotAt_; ///< What this epoch's last snapshot covers.
    MonotonicTime snapshotTime_;
    bool flushRequested_ = false; ///< A call waits for the next batch, or it holds what must not be lost.
    bool isLogDown_ = false; ///< The last append got no answer.
};

/** Limits that the decisions keep to. */
struct ShardLimits {
    Milliseconds intentSendWindow_ { 2000 }; ///< An announced call is sent within this time or never.
    Milliseconds clockSkewMargin_ { 500 }; ///< Added to the window for clocks that run apart.
    Milliseconds confirmationTimeout_ { 10000 }; ///< How long a call waits for the log before it is refused.
    Milliseconds programIdleTimeout_ { 1800000 }; ///< A program without calls for this long is abandoned.
    TokenCount trancheSize_ { 16384 };
    Milliseconds evictAfter_ {
        60000
    }; ///< A program without calls for this long keeps its ledger entry only.
    std::size_t maxOutboxRecords_ = 4096; ///< Most records that wait for the log before calls are refused.
    ByteCount maxOutboxBytes_ { 8 << 20 }; ///< Most bytes of them.
    std::uint64_t maxEntriesPerSnapshot_ = 512; ///< A snapshot is written after so many entries,
    Milliseconds snapshotInterval_ { 600000 }; ///< and after this time: a third of the log's retention.
    ByteCount batchSizeThreshold_ { 1 << 20 }; ///< Size from which records go into the next batch.
};

/** What each decision needs besides its event. */
struct ShardContext {
    MonotonicTime now_;
    const ShardLimits& limits_;
};

/** Answer these requests with a problem, now. */
struct ReplyProblem {
    std::vector<RequestId> requests_;
    Problem problem_;
};
/** Answer this request with a finished call's outcome. */
struct ReplyOutcome {
    std::vector<RequestId> requests_;
    Outcome outcome_;
    CallNumber durableCall_;
};
/** Answer this request with a finished call that only the log still has, at `offset_`; see
 * `answerFromLog`. */
struct ReplyFromLog {
    Call call_;
    LogOffset offset_;
    CallNumber durableCall_;
};
/** Send these requests on to the VM that owns the shard now; none of them has been executed here. */
struct ReplyMoved {
    std::vector<RequestId> requests_;
    VmId to_;
};
/** Answer a program's creation or end. */
struct ReplyProgram {
    RequestId request_;
    ProgramId program_;
    bool isDurable_ = false; ///< Whether the log has confirmed that the program exists.
};
/** Let this request see the output of the running call. */
struct AttachRequest {
    RequestId request_;
    ProgramId program_;
    CallNumber call_;
};
/** Run a call now; do not send it after `sendDeadline_` when that is set. */
struct ExecuteCall {
    ExecutionId execution_;
    Call call_;
    std::vector<RequestId> requests_; ///< Every caller that waits for the outcome.
    Epoch epoch_;
    CallNumber durableCall_;
    TokenCount reserved_; ///< Cut the answer when it would use more than this.
    std::optional<MonotonicTime> sendDeadline_;
};
/** Stop running a call whose program is gone. */
struct CancelCall {
    ProgramId program_;
    ExecutionId execution_;
};
/** Free the engine memory of a program that the log has confirmed as ended. */
struct ReleaseCache {
    ProgramId program_;
    Epoch epoch_;
};

using Effect = std::variant<ReplyProblem, ReplyOutcome, ReplyFromLog, ReplyMoved, ReplyProgram, AttachRequest,
    ExecuteCall, CancelCall, ReleaseCache>;
using Effects = std::vector<Effect>;

/** The active form of a program, loaded from the ledger when needed; null when the program is unknown.
 *
 * Thread safety: none; the caller holds the lock of the shard. A call that an earlier epoch announced and
 * did not finish is recorded here as `outcome-unknown`, so it is never sent by this owner. */
ActiveProgram* findOrLoadActive(Shard& shard, const ProgramId& program, const ShardContext& context);

/** Outcome that stands for a call which may have run, told as a problem document. Pure. */
Outcome unknownOutcome(const std::string& detail);

/** The effect that runs an admitted call. Marks it as executing under a new execution id. */
ExecuteCall startExecution(Shard& shard, const ActiveProgram& active, RunningCall& running);

/** Puts a record into the outbox. */
void enqueueRecord(Shard& shard, RecordBody body);

/** Approximate size of a record in memory and in the log. Pure. */
ByteCount sizeOf(const RecordBody& body);

/** Whether so much waits for the log that no more work is taken in. Pure. */
bool isOutboxFull(const Shard& shard, const ShardLimits& limits);

/** What a refusal of the call says about it. For a call that may be repeated it speaks of the attempts
 * under this VM's epoch. Pure. */
RunState refusedRunState(const ActiveProgram& active, const Call& call);

/** Records the outcome of a call that an earlier epoch announced, once that owner can no longer send it. */
void recordDeferredOutcome(Shard& shard, ActiveProgram& active, const ShardContext& context);

} // namespace fescue
