#pragma once

/** \file
 * Baselines: the schedulers that the policy is compared with.
 *
 * Round robin, least reported load and sticky-by-program send each call at once, as a load balancer does.
 * The plain window pool has a fixed window for each engine, one queue in order of arrival and a cost of calls
 * in flight plus lost prefix; it is how the system started.
 */

#include "Simulation.h"

namespace fescue::bench {

VmScheduler makeRoundRobin(const Surroundings& surroundings);
VmScheduler makeLeastLoad(const Surroundings& surroundings);
VmScheduler makeSticky(const Surroundings& surroundings);
VmScheduler makePlainWindow(const Surroundings& surroundings);

} // namespace fescue::bench
