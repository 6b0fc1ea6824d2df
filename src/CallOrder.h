#pragma once

/** \file
 * CallOrder: which calls wait for which, before the shares of `FairQueue`.
 *
 * Answers bursts, in which calls ask for about twice the room that there is for some seconds. The more urgent
 * rank goes first; within a rank, a call that can be in time goes before one that cannot, and a turn of a
 * program that has begun before the first turn of another, since a program is useful only once it is
 * complete. Each class of calls that waits behind another gets a small part of the dispatches, in proportion
 * to its calls, so that none starves.
 */

#include "QueuedCall.h"

#include <map>
#include <vector>

namespace fescue {

/** What decides between calls for the same targets; the lowest goes first. */
struct CallClass {
    CallRank rank_;
    bool isLate_ = false; ///< It cannot be in time any more.
    bool startsProgram_ = false;
    friend bool operator<(const CallClass& a, const CallClass& b)
    {
        return std::tie(a.rank_, a.isLate_, a.startsProgram_)
            < std::tie(b.rank_, b.isLate_, b.startsProgram_);
    }
};

/** The targets that calls ask for. */
using DispatchKind = std::pair<ModelId, ServiceId>;

/** Dispatches that classes of waiting calls have earned; from 1 on, the class goes first once. */
using EarnedDispatches = std::map<CallClass, double>;

/** The least dispatches that a waiting class gets, relative to its part of the waiting calls. Nobody is to be
 * served less than a quarter as often as all; calls that are dropped need a reserve. */
constexpr double minRelativeShare = 0.3;

/** Whether a call can no longer end when its program or its caller needs it. Pure, like `classOf`. */
bool isLate(const QueuedCall& call, MonotonicTime now);

CallClass classOf(const QueuedCall& call, MonotonicTime now);

/** Numbers of waiting calls. */
using WaitingCalls = std::map<CallClass, std::size_t>;

/** The class to dispatch from. Pure. Precondition: at least one class waits. */
CallClass nextClass(const WaitingCalls& waiting, const EarnedDispatches& earned);

/** Updates what classes have earned when a call is dispatched. Precondition: `waiting` includes the call.
 * Thread safety: none. */
void recordDispatch(EarnedDispatches& earned, const WaitingCalls& waiting, const CallClass& dispatched);

} // namespace fescue
