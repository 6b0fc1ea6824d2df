#pragma once

/** \file
 * ServiceOccupancy: how full the targets of a plain service are.
 *
 * Calls of plain services take milliseconds, so one target with waiting calls says nothing of the others, and
 * a call goes where there is room. So a target that has not reported lately counts as free.
 */

#include "TargetPool.h"

namespace fescue {

/** Calls at the targets of a plain service, of this VM and as reported lately for others, divided by the
 * slots of all targets that accept calls; above 1 only if calls wait at half of them or more. Pure; the
 * caller holds the pool's lock. */
double serviceOccupancyOf(const TargetPool& pool, const ServiceId& service, MonotonicTime now);

} // namespace fescue
