#include "RateLimits.h"

namespace fescue {

bool recordRate(RateLimits& limits, const TargetId& target, Milliseconds startedAt,
    const std::optional<RequestRate>& rate, MonotonicTime now)
{
    if (rateOf(limits, target, startedAt) == rate)
        return false;
    if (!rate)
        return limits.beliefs_.erase(target) > 0;
    putBelief(limits.beliefs_, target, RateLimit { { startedAt, now, now }, *rate });
    return true;
}

std::optional<RequestRate> rateOf(const RateLimits& limits, const TargetId& target, Milliseconds startedAt)
{
    const RateLimit* limit = findBelief(limits.beliefs_, target, startedAt);
    return limit ? std::optional(limit->rate_) : std::nullopt;
}

} // namespace fescue
