#pragma once

/** \file
 * Baselines: reference schedulers that the policy is compared with.
 *
 * Round robin, least reported load and sticky-by-program send each call immediately, as a load balancer does.
 * The plain window scheduler has a fixed window per engine and one FIFO queue. It minimises a cost made of
 * the calls in flight and the prefix tokens to recompute; it is the first version of the policy.
 */

#include "Simulation.h"

namespace fescue::bench {

VmScheduler makeRoundRobin(const Topology& topology);
VmScheduler makeLeastLoad(const Topology& topology);
VmScheduler makeSticky(const Topology& topology);
VmScheduler makePlainWindow(const Topology& topology);

} // namespace fescue::bench
