#pragma once

/** \file
 * BudgetStore: applies the effects of `BudgetEscrow` to the platform's store.
 *
 * Programs are hashed to many partitions, so that the read after a write returns few records. Writes to one
 * partition are sequential and carry a sequence number. A write without an answer is retried unchanged until
 * its outcome is known, since the store may still apply the first attempt later.
 */

#include "BudgetEscrow.h"
#include "PacedStore.h"

#include <functional>
#include <memory>

namespace fescue {

/** The token budgets of an entry VM. Not thread-safe; to be used on the thread of the event loop only. */
class BudgetStore {
public:
    using OnDecision = std::function<void(TurnId, TurnDecision)>;

    /** Precondition: `store` outlives this object. `partitions` is the number per topic. */
    BudgetStore(PacedStore& store, WriterId writer, std::uint32_t partitions, OnDecision decide);
    ~BudgetStore();

    /** Requests tokens for a turn; the decision may be reported before this returns. */
    void onTurnRequested(
        const ProgramId& program, TokenCount budget, Milliseconds retention, const WaitingTurn& turn);
    void onTurnAbandoned(const ProgramId& program, TurnId turn);
    void onTurnEnded(const ProgramId& program, TokenCount maxTokens, TokenCount used);
    /** Runs periodic work; to be called at regular intervals. */
    void tick(bool isDraining, MonotonicTime now);
    /** Whether no write is in flight or queued. */
    bool isIdle() const;
    std::size_t programs() const;
    /** Describes what the waiting turns of a program wait for, for logs. */
    std::string describe(const ProgramId& program) const;
    const ProgramBudget* find(const ProgramId& program) const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
