#pragma once

/** \file
 * PeerTurns: the messages by which entry VMs ask each other for a turn's tokens, as CBOR.
 *
 * Turns of one program come through many VMs. The one that is expected to keep a program's budget (its home)
 * grants them, so that one VM holds the claim in the store and knows what was spent.
 */

#include "BudgetEscrow.h"

#include <optional>
#include <string>

namespace fescue {

/** A turn that wants tokens. */
struct TurnRequest {
    ProgramId program_;
    TokenCount budget_;
    TokenCount most_;
    Milliseconds retention_ { 0 };
    bool mayBegin_ = true; ///< Whether it may be the first turn of its program.
    Milliseconds left_ { 0 }; ///< Until the turn has ended at the latest.
};

/** The answer to it. */
struct TurnReply {
    TurnDecision decision_ = TurnDecision::Unavailable;
    std::uint64_t grant_ = 0; ///< Number of the grant at the VM that made it.
    std::vector<WriterId> holders_; ///< Whom to ask next when the decision is `HeldElsewhere`.
    TokenCount spent_; ///< What the home knows of the program, for logs.
    TokenCount claimed_;
    TokenCount othersClaimed_;
    TargetId lastTarget_; ///< Where the program's last turn ran, as far as the home knows; else empty.
};

/** The end of a granted turn. */
struct TurnEnd {
    std::uint64_t grant_ = 0;
    TokenCount used_;
    TargetId target_; ///< Where it ran last; empty when it was sent nowhere.
};

std::string encode(const TurnRequest& message);
std::string encode(const TurnReply& message);
std::string encode(const TurnEnd& message);

/** Read messages; nothing when the bytes are none. Pure, like the functions above. */
std::optional<TurnRequest> parseTurnRequest(const std::string& bytes);
std::optional<TurnReply> parseTurnReply(const std::string& bytes);
std::optional<TurnEnd> parseTurnEnd(const std::string& bytes);

} // namespace fescue
