#pragma once

/** \file
 * RateLimits: the rates that targets have named in their answers.
 *
 * A target in need names the requests a second that it takes from all VMs together, for as long as it says
 * so: an answer that names none ends the limit.
 */

#include "TargetBeliefs.h"

#include <optional>

namespace fescue {

/** Requests per second. */
using RequestRate = Quantity<struct RequestRateTag, double>;

/** The limit of one start of a target. */
struct RateLimit : TargetBelief {
    RequestRate rate_; ///< For all VMs together.
};

/** What answers have said. */
struct RateLimits {
    BeliefMap<RateLimit> beliefs_;
};

/** Records what an answer of a target says; no rate means that it names none. Returns whether this changes
 * what is known. Not thread-safe. */
bool recordRate(RateLimits& limits, const TargetId& target, Milliseconds startedAt,
    const std::optional<RequestRate>& rate, MonotonicTime now);

/** The rate that this start of a target has named last; nothing if it has no limit. Pure. */
std::optional<RequestRate> rateOf(const RateLimits& limits, const TargetId& target, Milliseconds startedAt);

} // namespace fescue
