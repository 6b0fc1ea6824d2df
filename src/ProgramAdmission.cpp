#include "ProgramAdmission.h"

#include <algorithm>

namespace fescue {

bool shouldAdmitProgram(
    double occupancy, std::uint32_t priority, const AdmissionOptions& options, Random& random)
{
    double thresholdOffset = options.thresholdStepPerPriority_
        * (options.lowestPriority_ - std::min(priority, options.lowestPriority_));
    double span = options.refuseAllAbove_ - options.refuseSomeAbove_;
    double refusedShare = (occupancy - options.refuseSomeAbove_ - thresholdOffset) / span;
    if (refusedShare <= 0)
        return true;
    return std::uniform_real_distribution<double>(0, 1)(random) >= refusedShare;
}

} // namespace fescue
