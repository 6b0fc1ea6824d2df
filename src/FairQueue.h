#pragma once

/** \file
 * FairQueue: orders the calls that wait for a target.
 *
 * Classes of calls go first as `CallOrder` says. Within a class, across workspaces: weighted fair queueing by
 * virtual time; the workspace with the least service relative to its weight goes first (start-time fair
 * queueing, Goyal, Vin and Cheng, 1996). Within a workspace: the program with the least attained service goes
 * first, so a short program does not wait behind a looping one. Waiting time is deducted from attained
 * service, so a long program does not starve (program-level least attained service, Luo et al., "Autellix",
 * 2025).
 */

#include "CallOrder.h"

#include <deque>
#include <map>

namespace fescue {

/** Service that a program has received. */
struct AttainedService {
    double engineMs_ = 0;
    MonotonicTime lastUse_;
};

/** Waiting calls, and the service that their programs and workspaces have received. */
struct FairQueue {
    std::deque<QueuedCall> calls_;
    ByteCount bytes_;
    std::map<ProgramId, AttainedService> attained_; ///< By active program.
    std::map<WorkspaceId, double> virtualTimeMs_; ///< Engine time divided by weight.
    std::map<WorkspaceId, double> weights_;
    std::map<DispatchKind, EarnedDispatches> earned_;
    double agingRate_ = 20; ///< Attained milliseconds deducted per millisecond of waiting.
};

/** Adds a call. A workspace without waiting calls starts at the least virtual time of those that have some.
 * Thread safety of all functions: none; the caller holds the pool's lock. */
void pushCall(FairQueue& queue, QueuedCall call);

/** Sorts the waiting calls; the one to dispatch first comes first. */
void orderCalls(FairQueue& queue, MonotonicTime now);

/** Records that a waiting call is dispatched. Precondition: it is still in the queue. */
void recordDispatch(FairQueue& queue, const QueuedCall& call, MonotonicTime now);

/** Charges engine time to a call's program and workspace. */
void chargeService(FairQueue& queue, const QueuedCall& call, double engineMs, MonotonicTime now);

/** Evicts programs without service since `before`; they were abandoned or have ended on another VM. */
void evictIdlePrograms(FairQueue& queue, MonotonicTime before);

/** Whether a call is for the same targets as another and would be dispatched before it if their workspaces
 * had received the same service. Pure, like `rankOf`. */
bool goesBefore(const FairQueue& queue, const QueuedCall& call, const QueuedCall& other, MonotonicTime now);

/** Dispatches of the same targets before a call's, at most: those of the calls that go before it, or those in
 * which the share of its class reaches it. Pure. */
double dispatchesBefore(const FairQueue& queue, const QueuedCall& call, MonotonicTime now);

/** Rank of a call among those of its class and workspace; the lowest goes first. */
double rankOf(const FairQueue& queue, const QueuedCall& call, MonotonicTime now);

} // namespace fescue
