#pragma once

/** \file
 * PoolTargets: the targets that the pool of an entry VM may use, from all that is known of them.
 */

#include "LeavingTargets.h"
#include "Manifest.h"
#include "ServingConfig.h"
#include "TargetList.h"

namespace fescue {

/** Joins the list, the configuration and what answers have said. Targets without a valid address are left
 * out. Pure. */
Manifest poolTargets(const TargetList& list, const ServingConfig& config, const LeavingTargets& leaving);

} // namespace fescue
