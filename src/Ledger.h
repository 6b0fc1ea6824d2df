#pragma once

/** \file
 * Ledger: the state of one shard, derived from its log stream.
 *
 * `applyBatch` is deterministic: every reader of the same prefix of the stream holds the same ledger,
 * independent of clocks and failure detection. Safety depends on this alone. A batch is applied only if its
 * epoch is that of the newest claim before it, and only the first copy of a batch is applied.
 *
 *     Ledger ledger { shard };
 *     applyBatch(ledger, LogOffset { 1 }, batch);   // ApplyResult::Applied, ::Fenced or ::Duplicate
 */

#include "Record.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace fescue {

/** A finished call whose outcome is kept to answer retries. */
struct FinishedCall {
    CallNumber call_;
    std::string fingerprint_;
    Outcome outcome_;
};

/** The intent of an at-most-once call that has no outcome yet. */
struct OpenIntent {
    CallNumber call_;
    std::string fingerprint_;
    Epoch epoch_;
};

/** A program as recorded in the log. */
struct Program {
    WorkspaceId workspace_;
    ProgramId parent_;
    TokenCount budget_;
    TokenCount granted_; ///< Sum of all tranches less what was returned; counts as spent.
    TokenCount used_; ///< Sum of the tokens that recorded calls used; informational.
    TokenCount contextTokens_; ///< Transcript length, as last counted by the engine.
    CallNumber lastCall_;
    TranscriptHead head_;
    std::deque<FinishedCall> recentCalls_; ///< Oldest first, at most `maxRecentCalls`.
    std::vector<LogOffset> offsets_; ///< Log offset of each finished call, starting with call 1.
    std::optional<OpenIntent> intent_;
    bool hasEnded_ = false;
    std::string endReason_;
};

/** Finished calls kept per program to answer retries. */
constexpr std::size_t maxRecentCalls = 4;
/** Adds a finished call and evicts the oldest beyond `maxRecentCalls`. Pure except for `recent`. */
void addRecentCall(std::deque<FinishedCall>& recent, FinishedCall finished);
/** Ended programs kept per shard; the oldest are evicted first. */
constexpr std::size_t maxEndedPrograms = 256;

/** The state of a shard after a prefix of its stream. */
struct Ledger {
    ShardKey shard_;
    LogOffset lastReadOffset_; ///< Offset of the last entry that was read.
    Epoch epoch_; ///< Epoch of the newest claim.
    VmId owner_;
    WriterId ownerWriter_;
    std::map<WriterId, Sequence> lastSequence_;
    std::unordered_map<ProgramId, Program> programs_;
    std::deque<ProgramId> ended_; ///< In the order in which they ended.
    bool isComplete_ = true; ///< False if records expired before they were read and no snapshot covers them.
};

/** Result of applying a batch. */
enum class ApplyResult {
    Applied,
    Fenced, ///< Written under an epoch that is no longer current.
    Duplicate, ///< A further copy of an earlier batch.
};

/** Applies the entry at `offset` to the ledger.
 *
 * Precondition: `offset` is greater than `ledger.lastReadOffset_` and no batch between them was skipped.
 * Thread safety: none; the caller holds the lock of the shard. */
ApplyResult applyBatch(Ledger& ledger, LogOffset offset, const Batch& batch);

} // namespace fescue
