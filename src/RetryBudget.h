#pragma once

/** \file
 * RetryBudget: how many calls may be sent a second time.
 *
 * Retries are paid from a share of the successes, so that an outage of many targets does not multiply the
 * load on the rest (retry budgets as in Finagle and in "Handling Overload", Google SRE book, 2016).
 */

#include <algorithm>

namespace fescue {

/** Retries that may still be made. */
struct RetryBudget {
    double available_ = 5;
    double max_ = 10;
    double perSuccess_ = 0.08;
};

/** Takes a success. Thread safety of both: none; the pool's lock is held. */
inline void depositRetry(RetryBudget& budget)
{
    budget.available_ = std::min(budget.max_, budget.available_ + budget.perSuccess_);
}

/** Takes one retry from the budget; returns false when there is none left. */
inline bool withdrawRetry(RetryBudget& budget)
{
    if (budget.available_ < 1)
        return false;
    budget.available_ -= 1;
    return true;
}

} // namespace fescue
