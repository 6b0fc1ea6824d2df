#pragma once

/** \file
 * RateLimits: the rates that targets have named in their answers.
 *
 * A target in need names the requests a second that it takes from all VMs together, for as long as it says
 * so: an answer that names none ends the limit. VMs pass on what they have heard, so an observation has a
 * time, and the latest one counts.
 */

#include "TargetBeliefs.h"

#include <optional>

namespace fescue {

/** Requests per second. */
using RequestRate = Quantity<struct RequestRateTag, double>;

/** One start of a target. */
struct TargetStart {
    TargetId target_;
    Milliseconds startedAt_ { 0 }; ///< Of its process, from its entry.
};

/** What an answer of a target has said of its rate. */
struct RateObservation {
    std::optional<RequestRate> rate_; ///< For all VMs together; nothing if the answer named none.
    MonotonicTime observedAt_;
};

/** The last observation of one start of a target. */
struct RateLimit : TargetBelief {
    RateObservation last_;
};

/** What answers have said. Targets that never named a rate are not in it. */
struct RateLimits {
    BeliefMap<RateLimit> beliefs_;
};

/** Records an observation unless a later one is known. Returns whether the known rate changes. Not
 * thread-safe. */
bool recordRate(
    RateLimits& limits, const TargetStart& start, const RateObservation& observation, MonotonicTime now);

/** The last observation of this start of a target; null if it never named a rate. Pure. */
const RateObservation* lastObservation(const RateLimits& limits, const TargetStart& start);

/** The rate that this start of a target has named last; nothing if it has no limit. Pure. */
std::optional<RequestRate> rateOf(const RateLimits& limits, const TargetStart& start);

} // namespace fescue
