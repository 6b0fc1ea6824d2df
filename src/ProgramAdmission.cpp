#include "ProgramAdmission.h"

#include <algorithm>

namespace fescue {

bool mayBegin(double occupancy, std::uint32_t rank, const AdmissionOptions& options, Random& random)
{
    double raise = options.rankStep_ * (options.ranks_ - std::min(rank, options.ranks_));
    double span = options.allRefused_ - options.firstRefusals_;
    double refusedShare = (occupancy - options.firstRefusals_ - raise) / span;
    if (refusedShare <= 0)
        return true;
    return std::uniform_real_distribution<double>(0, 1)(random) >= refusedShare;
}

} // namespace fescue
