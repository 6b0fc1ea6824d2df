#pragma once

/** \file
 * PoolScheduler: drives the `TargetPool` of the system itself, with its stages on and off.
 */

#include "Simulation.h"

#include <string>
#include <utility>
#include <vector>

namespace fescue::bench {

/** The pool under its name, and variants that each lack one stage. */
std::vector<std::pair<std::string, MakeScheduler>> poolSchedulers();

} // namespace fescue::bench
