#pragma once

/** \file
 * RetryBudget: limits retries.
 *
 * Each success adds a fraction of a retry to the budget, so that an outage of many targets does not multiply
 * the load on the rest (retry budgets as in Finagle and in "Handling Overload", Google SRE book, 2016).
 */

#include <algorithm>

namespace fescue {

/** Number of retries that may be made now. */
struct RetryBudget {
    double available_ = 5;
    double max_ = 10;
    double creditPerSuccess_ = 0.08;
};

/** Credits a success. Thread safety of both functions: none; the caller holds the pool's lock. */
inline void depositRetry(RetryBudget& budget)
{
    budget.available_ = std::min(budget.max_, budget.available_ + budget.creditPerSuccess_);
}

/** Withdraws one retry; returns false when the budget is exhausted. */
inline bool withdrawRetry(RetryBudget& budget)
{
    if (budget.available_ < 1)
        return false;
    budget.available_ -= 1;
    return true;
}

} // namespace fescue
