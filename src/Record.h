#pragma once

/** \file
 * Record: the entries of a shard's log stream.
 *
 * One log entry is a `Batch`: records that one writer appended together under one ownership epoch. The writer
 * and its sequence number identify copies of the same batch, so an append whose answer was lost can be
 * retried. A `Claim` opens an epoch and is the only record of its batch; the epoch is the claim's log offset,
 * so no two claims share one.
 *
 *     offset 7: {writer w1, seq 1, epoch 0, [Claim]}            -> epoch 7
 *     offset 8: {writer w1, seq 2, epoch 7, [ProgramCreated]}   -> valid: 7 is the newest claim
 *     offset 9: {writer w2, seq 1, epoch 0, [Claim]}            -> epoch 9
 *     offset 10: {writer w1, seq 3, epoch 7, [CallFinished]}    -> fenced for every reader
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

/** The final answer of a call, returned to the caller and to every retry. */
struct Outcome {
    int status_ = 0;
    std::string contentType_;
    std::string body_;
    RunState runState_ = RunState::Final;
};

/** Opens an epoch: `owner_` takes over the shard. */
struct Claim {
    VmId owner_;
};

/** Creates a program. The epoch that wrote this record may spend `tranche_` of its budget. */
struct ProgramCreated {
    ProgramId program_;
    WorkspaceId workspace_;
    ProgramId parent_;
    TokenCount budget_;
    TokenCount tranche_;
};

/** Allows the epoch that wrote this record to spend `amount_` more of a program's budget. */
struct TrancheGranted {
    ProgramId program_;
    TokenCount amount_;
};

/** Returns tokens that the epoch that wrote this record has not spent and will not spend. */
struct TrancheReturned {
    ProgramId program_;
    TokenCount amount_;
};

/** Intent to run an at-most-once call; the call is sent only after this record is confirmed. */
struct CallIntent {
    ProgramId program_;
    CallNumber call_;
    std::string fingerprint_;
};

/** Withdraws the intent of a call that was not sent and will not be. */
struct IntentWithdrawn {
    ProgramId program_;
    CallNumber call_;
};

/** The outcome of a call and, for a model call, the messages that it added to the transcript. */
struct CallFinished {
    ProgramId program_;
    CallNumber call_;
    std::string fingerprint_;
    Outcome outcome_;
    TokenCount used_;
    TokenCount contextTokens_;
    TranscriptHead head_;
    std::string newMessages_; ///< JSON array of the messages that follow the previous head.
};

/** Ends a program: it runs no further calls, and its engine cache is released. */
struct ProgramEnded {
    ProgramId program_;
    std::string reason_;
    TokenCount returnedToParent_;
};

/** State of the whole shard as of `asOf_`. It follows from the records up to there alone, so it is valid
 * under any epoch and lets a reader start where older records have expired. `state_` is JSON. */
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

/** Why a log entry could not be read as a batch. All readers skip such entries. */
struct RecordError {
    std::string detail_;
};

/** Serializes the batch as one line of JSON. Pure. */
std::string toJsonText(const Batch& batch);

/** Parses a batch. Pure. Errors: `RecordError` names the missing or ill-typed member. */
tl::expected<Batch, RecordError> parseBatch(const std::string& text);

} // namespace fescue
