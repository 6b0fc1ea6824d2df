#pragma once

/** \file
 * FairQueue: the order in which waiting calls are offered to the targets.
 *
 * Between workspaces by weight: the workspace with the least service for its weight goes first
 * (start-time fair queueing, Goyal, Vin and Cheng, 1996). Within a workspace by program: the least
 * attained service goes first, so a short program does not wait behind a looping one, and waiting counts
 * against attained service, so that a long program is not starved (program-level least attained
 * service, Luo et al., "Autellix", 2025).
 */

#include "QueuedCall.h"

#include <deque>
#include <map>

namespace fescue {

/** Service that a program has had. */
struct AttainedService {
    double engineMs_ = 0;
    MonotonicTime lastUse_;
};

/** Waiting calls with the service that their programs and workspaces have had. */
struct FairQueue {
    std::deque<QueuedCall> calls_;
    ByteCount bytes_;
    std::map<ProgramId, AttainedService> attained_; ///< Of each program under way.
    std::map<WorkspaceId, double> virtualTimeMs_; ///< Virtual time: engine time by weight.
    std::map<WorkspaceId, double> weights_;
    double agingRate_ = 20; ///< Attained milliseconds that a waiting millisecond makes up for.
};

/** Enters a call. A workspace that was idle starts at the least virtual time of those that wait.
 * Thread safety of all functions: none; the pool's lock is held. */
void pushCall(FairQueue& queue, QueuedCall call);

/** Sorts the waiting calls, the one to go first in front. */
void orderCalls(FairQueue& queue, MonotonicTime now);

/** Charges engine time to the program and the workspace of a call. */
void chargeService(FairQueue& queue, const QueuedCall& call, double engineMs, MonotonicTime now);

/** Forgets the programs that have had no service since `before`: ended elsewhere or abandoned. */
void evictIdlePrograms(FairQueue& queue, MonotonicTime before);

/** Rank of a call among those of its workspace; lower goes first. Pure. */
double rankOf(const FairQueue& queue, const QueuedCall& call, MonotonicTime now);

} // namespace fescue
