#include "ProgramAdmission.h"

#include <algorithm>

namespace fescue {

bool shouldAdmitProgram(double occupancy, std::uint32_t rank, const AdmissionOptions& options, Random& random)
{
    double thresholdOffset
        = options.thresholdStepPerRank_ * (options.maxRank_ - std::min(rank, options.maxRank_));
    double span = options.refuseAllAbove_ - options.refuseSomeAbove_;
    double refusedShare = (occupancy - options.refuseSomeAbove_ - thresholdOffset) / span;
    if (refusedShare <= 0)
        return true;
    return std::uniform_real_distribution<double>(0, 1)(random) >= refusedShare;
}

} // namespace fescue
