#pragma once

/** \file
 * ProgramAdmission: admits new programs while the targets of their service are nearly full.
 *
 * A program is useful to its caller only if it completes in time; tokens spent on a late one are wasted. So
 * under overload the first turn of a new program is refused at once, with a retry time, while later turns of
 * admitted programs always proceed. Between two occupancy thresholds a growing share of new programs is
 * refused, so that VMs that do not coordinate do not all stop and resume admission at the same time. More
 * important programs have higher thresholds.
 */

#include "ProgramId.h"
#include "Types.h"

namespace fescue {

/** Thresholds of occupancy: calls at all targets of the service divided by their slots. */
struct AdmissionOptions {
    double refuseSomeAbove_ = 0.60; ///< Above this, a growing share of new programs is refused.
    double refuseAllAbove_ = 0.80; ///< Above this, all are refused; each call would wait for a slot.
    /** Both thresholds are higher by this for priority 0, the most important, than for priority 1, etc. */
    double thresholdStepPerPriority_ = 0.05;
    std::uint32_t lowestPriority_ = 1; ///< Larger numbers are treated as this one.
    Milliseconds retryAfter_ { 700 }; ///< About the time in which a fifth of the active programs ends.
};

/** Whether to admit a new program. Pure except for `random`. */
bool shouldAdmitProgram(
    double occupancy, std::uint32_t priority, const AdmissionOptions& options, Random& random);

} // namespace fescue
