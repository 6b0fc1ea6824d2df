#include "RateLimits.h"

namespace fescue {

bool recordRate(
    RateLimits& limits, const TargetStart& start, const RateObservation& observation, MonotonicTime now)
{
    const RateObservation* last = lastObservation(limits, start);
    if (last ? observation.observedAt_ < last->observedAt_ : !observation.rate_)
        return false;
    if (last && last->rate_ == observation.rate_) {
        RateLimit& known = limits.beliefs_[start.target_];
        known.last_ = observation;
        known.assumedSinceReport_.reset(); // This start says so itself.
        return false;
    }
    putBelief(limits.beliefs_, start.target_, RateLimit { { start.startedAt_, now, now }, observation });
    return true;
}

const RateObservation* lastObservation(const RateLimits& limits, const TargetStart& start)
{
    const RateLimit* limit = findBelief(limits.beliefs_, start.target_, start.startedAt_);
    return limit ? &limit->last_ : nullptr;
}

std::optional<RequestRate> rateOf(const RateLimits& limits, const TargetStart& start)
{
    const RateObservation* last = lastObservation(limits, start);
    return last ? last->rate_ : std::nullopt;
}

} // namespace fescue
