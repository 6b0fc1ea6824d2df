#pragma once

/** \file
 * PeerTurns: the CBOR messages that entry VMs exchange to request tokens for turns.
 *
 * Turns of one program arrive at many VMs. The home of the program (`homeOf`) grants all of them, so that one
 * VM holds the claim in the store and knows the spent amount.
 */

#include "BudgetEscrow.h"

#include <optional>
#include <string>

namespace fescue {

/** Requests tokens for a turn. */
struct TurnRequest {
    ProgramId program_;
    TokenCount budget_;
    TokenCount maxTokens_;
    Milliseconds retention_ { 0 };
    bool canStartProgram_ = true; ///< Whether this may be the first turn of its program.
    Milliseconds timeLeft_ { 0 }; ///< Until the deadline of the turn.
};

/** The reply to a `TurnRequest`. */
struct TurnReply {
    TurnDecision decision_ = TurnDecision::Unavailable;
    std::uint64_t grant_ = 0; ///< Number of the grant, unique among all processes of the granting VM.
    std::vector<WriterId> holders_; ///< Writers to ask next if the decision is `HeldElsewhere`.
    TokenCount spent_; ///< The home's view of the program, for logs; so are the next two.
    TokenCount claimed_;
    TokenCount othersClaimed_;
    TargetId lastTarget_; ///< Target of the program's last turn; empty if unknown.
};

/** Reports the end of a granted turn. */
struct TurnEnd {
    std::uint64_t grant_ = 0;
    TokenCount usedTokens_;
    TargetId target_; ///< Target that ran the turn last; empty if it was not sent to any.
};

std::string encode(const TurnRequest& message);
std::string encode(const TurnReply& message);
std::string encode(const TurnEnd& message);

/** Parse messages; return nothing if the bytes are malformed. Pure, like the functions above. */
std::optional<TurnRequest> parseTurnRequest(const std::string& bytes);
std::optional<TurnReply> parseTurnReply(const std::string& bytes);
std::optional<TurnEnd> parseTurnEnd(const std::string& bytes);

} // namespace fescue
