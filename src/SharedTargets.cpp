#include "SharedTargets.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace fescue {

double estimateOtherVmCalls(const OtherVmLoad& others, double mean, double callMs, MonotonicTime now)
{
    if (others.reportedAt_ == MonotonicTime {})
        return mean;
    auto age = static_cast<double>((now - others.reportedAt_).count());
    return mean + (others.calls_ - mean) * std::exp(-age / std::max(1.0, callMs));
}

bool isSaturated(const SharedTarget& target, const SharedOptions& options)
{
    return target.calls_ + 1 > target.slots_ + options.maxWaitingAtTarget_;
}

double sharedCostMs(const SharedTarget& target, TokenCount ownPrompt, const SharedOptions& options)
{
    double slots = std::max(1.0, target.slots_);
    double callMs = target.callMs_ * target.slowdown_;
    double excess = std::max(0.0, target.calls_ + 1 - slots);
    double wait = excess * callMs / slots;
    double batch = std::min(target.calls_, slots);
    double batchDelay = batch * options.batchSlowdown_ * callMs;
    double prefill = static_cast<double>(ownPrompt.value_) * options.prefillMs_ * target.slowdown_;
    double migration
        = target.hasPromptCached_ ? 0 : prefill * (1 + batch) + options.migrationShare_ * target.callMs_;
    return wait + callMs + batchDelay + migration + (target.isOtherZone_ ? options.otherZoneMs_ : 0);
}

double rendezvousScore(const std::string& program, const TargetId& target, double weight)
{
    std::uint64_t seed = XXH64(program.data(), program.size(), 0);
    std::uint64_t hash = XXH64(target.value_.data(), target.value_.size(), seed);
    // Uniform in (0, 1). The logarithm gives each target a share in proportion to its weight.
    double uniform = (static_cast<double>(hash) + 0.5) * std::ldexp(1.0, -64);
    return -weight / std::log(std::min(uniform, 1 - std::numeric_limits<double>::epsilon()));
}

} // namespace fescue
