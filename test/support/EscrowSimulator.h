#pragma once

/** \file
 * EscrowSimulator: several writers that share the budget of one program through an in-memory store.
 *
 * Performs random steps: turns start and end, writes and reads are delayed, writers crash and restart with a
 * new id, the store fails and recovers. As an oracle, it counts the tokens that all writers together have
 * generated.
 */

#include "BudgetEscrow.h"
#include "ProgramId.h"

namespace fescue::test {

/** Faults to inject into the protocol, to show that the oracle detects them. */
struct EscrowFaults {
    bool hidesOtherClaims_ = false; ///< Reads omit the claims of other writers.
    bool usesClaimBeforeWrite_ = false; ///< A claim is used before it is written.
    bool keepsIdAfterCrash_ = false; ///< A restarted writer overwrites its own earlier claim.
};

/** The simulator. Not thread-safe. */
class EscrowSimulator {
public:
    EscrowSimulator(std::uint64_t seed, const EscrowFaults& faults);

    /** Performs a random step. */
    void step();
    /** Completes all writes and ends all turns. */
    void settle();

    TokenCount budget() const { return budget_; }
    /** Tokens that all writers together have generated. */
    TokenCount generated() const { return generated_; }
    std::uint32_t granted() const { return granted_; }
    std::uint32_t crashes() const { return crashes_; }
    std::uint32_t dropped() const { return dropped_; }
    /** Turns refused with `BudgetSpent` although the budget was sufficient. */
    std::uint32_t wrongRefusals() const { return wrongRefusals_; }

private:
    struct Turn {
        std::size_t writer_;
        TokenCount maxTokens_;
    };
    // A claim in flight: first the write, then the read of the other claims.
    struct Operation {
        std::size_t writer_;
        WriteClaim write_;
        bool isWritten_ = false;
    };

    void requestTurn();
    void endTurn();
    void advanceOperation();
    void dropOperation();
    void crash();
    void applyEffects(std::size_t writer, const EscrowEffects& effects);
    std::vector<ClaimRecord> othersOf(std::size_t writer) const;
    std::size_t pick(std::size_t count);

    Random random_;
    EscrowFaults faults_;
    ProgramId program_ { "program" };
    TokenCount budget_;
    TokenCount generated_;
    std::vector<BudgetEscrow> writers_;
    std::map<std::string, BudgetClaim> store_;
    std::vector<Operation> operations_;
    std::map<TurnId, Turn> requested_;
    std::map<TurnId, Turn> running_;
    std::uint64_t lastTurn_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    std::uint32_t granted_ = 0;
    std::uint32_t crashes_ = 0;
    std::uint32_t dropped_ = 0; ///< Claims that were dropped before the write.
    std::uint32_t wrongRefusals_ = 0;
    bool isStoreUp_ = true;
};

} // namespace fescue::test
