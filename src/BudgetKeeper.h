#pragma once

/** \file
 * BudgetKeeper: carries the effects of `BudgetEscrow` out at the platform's store.
 *
 * Programs are spread over many partitions, so that a read after a write returns few records. Writes to one
 * partition go one after another under a sequence number; a write without an answer is repeated unchanged
 * until its outcome is known, since a lost one may still be done later.
 */

#include "BudgetEscrow.h"
#include "StoreHealth.h"

#include <functional>
#include <memory>

namespace fescue::platform {
class StoreClient;
}

namespace fescue {

/** Budgets of an entry VM. Belongs to the thread of the event loop. */
class BudgetKeeper {
public:
    using OnDecision = std::function<void(TurnId, TurnDecision)>;

    /** Precondition: `store` and `health` outlive the keeper. `partitions` are those of a topic. */
    BudgetKeeper(platform::StoreClient& store, StoreHealth& health, WriterId writer, std::uint32_t partitions,
        OnDecision decide);
    ~BudgetKeeper();

    /** A turn wants to run; the decision may come before this returns. */
    void turnArrived(
        const ProgramId& program, TokenCount budget, Milliseconds retention, const WaitingTurn& turn);
    void turnAbandoned(const ProgramId& program, TurnId turn);
    void turnEnded(const ProgramId& program, TokenCount most, TokenCount used);
    /** To be called at a steady pace. */
    void tick(bool isDraining, MonotonicTime now);
    /** Whether no write is under way or waits. */
    bool isQuiet() const;
    std::size_t programs() const;
    /** What the waiting turns of a program wait for, for logs. */
    std::string describe(const ProgramId& program) const;
    const ProgramBudget* find(const ProgramId& program) const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
