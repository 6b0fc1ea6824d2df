#pragma once

/** \file
 * PoolScheduler: runs the production `TargetPool` in the simulation, with single stages disabled.
 */

#include "Simulation.h"

#include <string>
#include <utility>
#include <vector>

namespace fescue::bench {

/** Returns the full policy and variants that each disable one stage, by name. */
std::vector<std::pair<std::string, MakeScheduler>> poolSchedulers();

} // namespace fescue::bench
