#pragma once

/** \file
 * ProgramAdmission: which programs may begin while the targets of their service are nearly full.
 *
 * A program earns its caller something only as a whole, and what it has used so far is lost when it ends
 * late. So under overload its first turn is refused, at once and with a time to come back, and the turns of
 * programs that have begun always go on. Above the first threshold a growing share of new programs is
 * refused, so that VMs that do not talk to each other do not all close and open at the same time. More
 * important programs begin for longer.
 */

#include "ProgramId.h"
#include "Types.h"

namespace fescue {

/** Thresholds, as calls in all targets of the service by their slots. */
struct AdmissionOptions {
    double refuseSomeAbove_ = 0.60; ///< Occupancy from which some new programs are refused.
    double refuseAllAbove_ = 0.80; ///< Occupancy from which all are; beyond it each call waits for a slot.
    double thresholdStepPerRank_
        = 0.05; ///< Both are higher by this for a route of rank 0 than for one of rank 1, and so on.
    std::uint32_t maxRank_ = 1; ///< Ranks beyond this one count as this one.
    Milliseconds retryAfter_ {
        700
    }; ///< About the time in which a fifth of the programs under way has ended.
};

/** Whether a new program may begin. Pure but for `random`. */
bool shouldAdmitProgram(
    double occupancy, std::uint32_t rank, const AdmissionOptions& options, Random& random);

} // namespace fescue
