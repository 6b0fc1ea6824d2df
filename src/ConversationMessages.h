#pragma once

/** \file
 * ConversationMessages: the CBOR form of kept turns in the store, and the messages about them between VMs.
 *
 * Messages carry the time that a turn is still retained, since the clocks of two VMs are not comparable.
 */

#include "Conversation.h"

#include <optional>
#include <string>

namespace fescue {

/** Asks a peer for a turn and its ancestors. */
struct ChainQuery {
    AttemptId turn_;
    /** How long the peer may read the store; 0 asks only for what it has in memory. */
    Milliseconds storeTime_ { 0 };
};

/** What is known of a turn. */
enum class ChainStatus {
    Found,
    Absent, ///< The store certainly has no such turn.
    Unknown,
};

/** Name of a status for logs. Pure. */
const char* nameOf(ChainStatus status);

/** The reply to a `ChainQuery`. */
struct ChainReply {
    ChainStatus status_ = ChainStatus::Unknown;
    TurnChain chain_; ///< If found.
};

/** Asks a peer to write turns to the store. */
struct KeepRequest {
    TurnChain turns_;
    Milliseconds life_ { 0 }; ///< How long they are to be retained.
    Milliseconds timeLeft_ { 0 }; ///< Until the answer is of no more use.
};

/** Where the record of a turn is, as seen from a record of the same append that points to it. */
struct TurnPointer {
    std::uint64_t distance_ = 0; ///< Subtracted from the offset of the pointing record.
    std::uint64_t bytes_ = 0; ///< Of the turn's record.
    std::string key_; ///< Of the turn's record.
};

std::string encode(const TurnPointer& pointer);
std::string encode(const KeptTurn& turn);
std::string encode(const ChainQuery& query);
std::string encode(const ChainReply& reply, MonotonicTime now);
std::string encode(const TurnChain& turns, MonotonicTime now);
std::string encode(const KeepRequest& request, MonotonicTime now);

/** Parse messages; return nothing if the bytes are malformed. Pure, like the functions above. */
std::optional<TurnPointer> parseTurnPointer(const std::string& bytes);
std::optional<KeptTurn> parseKeptTurn(const std::string& bytes);
std::optional<ChainQuery> parseChainQuery(const std::string& bytes);
std::optional<ChainReply> parseChainReply(const std::string& bytes, MonotonicTime now);
std::optional<TurnChain> parseTurns(const std::string& bytes, MonotonicTime now);
std::optional<KeepRequest> parseKeepRequest(const std::string& bytes, MonotonicTime now);

} // namespace fescue
