#pragma once

/** \file
 * Record: what a shard's log stream holds.
 *
 * One log entry is a `Batch`: records that one writer appended together under one ownership epoch. The
 * writer and its sequence number make a second copy of the same batch recognizable, so an append whose
 * answer was lost can be sent again. A `Claim` opens an epoch and stands alone in its batch; the epoch is
 * the offset that the log gave it, so no two claims can share a number.
 *
 *     offset 7: {writer w1, seq 1, epoch 0, [Claim]}            -> epoch 7
 *     offset 8: {writer w1, seq 2, epoch 7, [ProgramCreated]}   -> valid: 7 is the newest claim
 *     offset 9: {writer w2, seq 1, epoch 0, [Claim]}            -> epoch 9
 *     offset 10: {writer w1, seq 3, epoch 7, [CallFinished]}    -> void for every reader
 */

#include "Problem.h"
#include "ProgramId.h"
#include "Types.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace fescue {

/** Digest of a program's transcript after its first `messages_` messages; see Transcript.h. */
struct TranscriptHead {
    std::uint32_t messages_ = 0;
    std::string digest_;

    friend bool operator==(const TranscriptHead& a, const TranscriptHead& b)
    {
        return a.messages_ == b.messages_ && a.digest_ == b.digest_;
    }
    friend bool operator!=(const TranscriptHead& a, const TranscriptHead& b) { return !(a == b); }
};

/** The final answer of a call, as it is given to the caller and to every repeat. */
struct Outcome {
    int status_ = 0;
    std::string contentType_;
    std::string body_;
    RunState run_ = RunState::Final;
};

/** Opens an epoch: `owner_` takes the shard over. */
struct Claim {
    VmId owner_;
};

/** Creates a program. `tranche_` of its budget may be spent by the epoch that wrote this record. */
struct ProgramCreated {
    ProgramId program_;
    WorkspaceId workspace_;
    ProgramId parent_;
    TokenCount budget_;
    TokenCount tranche_;
};

/** Lets the epoch that wrote it spend `amount_` more of a program's budget. */
struct TrancheGranted {
    ProgramId program_;
    TokenCount amount_;
};

/** Gives back what the epoch that wrote it did not spend and will not spend. */
struct TrancheReturned {
    ProgramId program_;
    TokenCount amount_;
};

/** Announces a call that may run at most once; it is sent only after this record is known valid. */
struct CallIntent {
    ProgramId program_;
    CallNumber call_;
    std::string fingerprint_;
};

/** Takes an intent back whose call was never sent and never will be. */
struct IntentWithdrawn {
    ProgramId program_;
    CallNumber call_;
};

/** The outcome of a call, and for a model call what it added to the transcript. */
struct CallFinished {
    ProgramId program_;
    CallNumber call_;
    std::string fingerprint_;
    Outcome outcome_;
    TokenCount used_;
    TokenCount contextTokens_;
    TranscriptHead head_;
    std::string newMessages_; ///< JSON array of the messages that follow the earlier head.
};

/** Ends a program: no call of it runs any more and its engine memory is released. */
struct ProgramEnded {
    ProgramId program_;
    std::string reason_;
    TokenCount returnedToParent_;
};

/** State of the whole shard as of `asOf_`; a pure function of the records up to there, so it is true
 * whoever wrote it, and lets a reader start where older records have aged out. `state_` is JSON. */
struct ShardSnapshot {
    LogOffset asOf_;
    std::string state_;
};

using RecordBody = std::variant<Claim, ProgramCreated, TrancheGranted, TrancheReturned, CallIntent,
    IntentWithdrawn, CallFinished, ProgramEnded, ShardSnapshot>;

/** One log entry. */
struct Batch {
    WriterId writer_;
    Sequence sequence_;
    Epoch epoch_;
    std::vector<RecordBody> records_;
};

/** Why a log entry could not be read as a batch. Readers skip such entries, all in the same way. */
struct RecordError {
    std::string detail_;
};

/** The batch as one line of JSON. Pure. */
std::string toJsonText(const Batch& batch);

/** Reads a batch. Pure. Errors: `RecordError` names the missing or ill-typed member. */
tl::expected<Batch, RecordError> parseBatch(const std::string& text);

} // namespace fescue
