#include "CapTerms.h"

#include <algorithm>
#include <cmath>

namespace fescue {

namespace {

    constexpr double msPerSecond = 1000;
    // The rest of the tolerance is for requests that run at a second target after a failure.
    constexpr double toleranceUsed = 0.8;
    // A VM may hold twice its equal part, since demand is seldom equal.
    constexpr double stockParts = 2;

} // namespace

CapTerms capTerms(const WorkspaceTerms& workspace, const CapTolerance& tolerance, std::size_t zones)
{
    if (workspace.ratePerSecond_ <= 0)
        return {};
    double window = static_cast<double>(tolerance.window_.count()) / msPerSecond;
    double excess
        = (workspace.ratePerSecond_ * window + workspace.burst_) * tolerance.overrun_ + tolerance.slack_;
    auto parts = static_cast<double>(std::max<std::size_t>(1, zones));
    return { workspace.ratePerSecond_ / parts, (workspace.burst_ + excess * toleranceUsed) / parts };
}

std::uint32_t maxStock(const CapTerms& terms, std::size_t vms)
{
    double part = stockParts * terms.circulation_ / static_cast<double>(std::max<std::size_t>(1, vms));
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(part)));
}

} // namespace fescue
