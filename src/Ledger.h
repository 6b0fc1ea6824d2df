#pragma once

/** \file
 * Ledger: the state of one shard as its log stream tells it.
 *
 * `applyBatch` is a pure function of the stream's prefix: every reader of the same records holds the same
 * ledger, whatever its clock or its idea of who is alive. Safety rests on this alone. A batch counts only
 * if its epoch is the newest claim before it, and only the first copy of a batch counts.
 *
 *     Ledger ledger { shard };
 *     applyBatch(ledger, LogOffset { 1 }, batch);   // ApplyResult::Applied, ::Fenced or ::Duplicate
 */

#include "Record.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace fescue {

/** A finished call that a repeat may still ask for. */
struct FinishedCall {
    CallNumber call_;
    std::string fingerprint_;
    Outcome outcome_;
};

/** An announced call that may run at most once and has no outcome yet. */
struct OpenIntent {
    CallNumber call_;
    std::string fingerprint_;
    Epoch epoch_;
};

/** A program, as far as the log knows it. */
struct Program {
    WorkspaceId workspace_;
    ProgramId parent_;
    TokenCount budget_;
    TokenCount granted_; ///< Sum of all tranches, each counted as spent unless it was returned.
    TokenCount used_; ///< Sum of what the recorded calls used; for reports only.
    TokenCount contextTokens_; ///< Tokens of the transcript as the engine counted them last.
    CallNumber lastCall_;
    TranscriptHead head_;
    std::deque<FinishedCall> recent_; ///< Newest last, at most `maxRecentCalls`.
    std::vector<LogOffset> offsets_; ///< Where the log has each finished call, from call 1 on.
    std::optional<OpenIntent> intent_;
    bool ended_ = false;
    std::string endReason_;
};

/** How many finished calls a program keeps for repeats. */
constexpr std::size_t maxRecentCalls = 4;
/** Enters a finished call and forgets the oldest beyond `maxRecentCalls`. Pure but for `recent`. */
void addRecentCall(std::deque<FinishedCall>& recent, FinishedCall finished);
/** How many ended programs a shard remembers, oldest forgotten first. */
constexpr std::size_t maxEndedPrograms = 256;

/** The state of a shard after a prefix of its stream. */
struct Ledger {
    ShardKey shard_;
    LogOffset readTo_; ///< Offset of the last entry that was folded.
    Epoch epoch_; ///< The newest claim.
    VmId owner_;
    WriterId ownerWriter_;
    std::map<WriterId, Sequence> lastSequence_;
    std::unordered_map<ProgramId, Program> programs_;
    std::deque<ProgramId> ended_; ///< In the order of their end.
    bool isComplete_
        = true; ///< False when records aged out before they were read and no snapshot covers them.
};

/** What a reader makes of a batch. */
enum class ApplyResult {
    Applied,
    Fenced, ///< Written under an epoch that a newer claim has closed.
    Duplicate, ///< A second copy of a batch that came earlier.
};

/** Folds the entry at `offset` into the ledger.
 *
 * Precondition: `offset` is greater than `ledger.readTo_` and nothing between them was left out.
 * Thread safety: none; the caller holds the lock of the shard. */
ApplyResult applyBatch(Ledger& ledger, LogOffset offset, const Batch& batch);

} // namespace fescue
