#pragma once

/** \file
 * EscrowWorld: several writers that share the budget of one program over a store in memory.
 *
 * Steps come in a random order: turns arrive and end, writes and reads reach the store late, writers crash
 * and come back under a new id, the store is away. The oracle counts the tokens that were handed out, whoever
 * did.
 */

#include "BudgetEscrow.h"
#include "ProgramId.h"

namespace fescue::test {

/** What the world leaves out, to show that the oracle notices. */
struct EscrowFaults {
    bool hidesOthers_ = false; ///< Writers do not see each other's claims.
    bool grantsBeforeWrite_ = false; ///< A claim counts before it stands in the store.
    bool keepsIdAfterCrash_ = false; ///< A writer that comes back overwrites its own earlier claim.
};

/** The world. Not safe from several threads. */
class EscrowWorld {
public:
    EscrowWorld(std::uint64_t seed, const EscrowFaults& faults);

    /** One random step. */
    void step();
    /** Lets all writes come through and all turns end. */
    void settle();

    TokenCount budget() const { return budget_; }
    /** Tokens that were handed out. */
    TokenCount handed() const { return handed_; }
    std::uint32_t granted() const { return granted_; }
    std::uint32_t crashes() const { return crashes_; }
    std::uint32_t dropped() const { return dropped_; }
    /** Turns that were told that the budget is spent although it held one more. */
    std::uint32_t wronglySpent() const { return wronglySpent_; }

private:
    struct Turn {
        std::size_t writer_;
        TokenCount maxTokens_;
    };
    // A claim on its way: first to the store, then back with what others have claimed.
    struct Operation {
        std::size_t writer_;
        WriteClaim write_;
        bool isWritten_ = false;
    };

    void arrive();
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
    TokenCount handed_;
    std::vector<BudgetEscrow> writers_;
    std::map<std::string, BudgetClaim> store_;
    std::vector<Operation> operations_;
    std::map<TurnId, Turn> asked_;
    std::map<TurnId, Turn> running_;
    std::uint64_t lastTurn_ = 0;
    std::uint64_t lastStart_ = 0;
    std::uint32_t granted_ = 0;
    std::uint32_t crashes_ = 0;
    std::uint32_t dropped_ = 0; ///< Claims that were never written.
    std::uint32_t wronglySpent_ = 0;
    bool isStoreUp_ = true;
};

} // namespace fescue::test
