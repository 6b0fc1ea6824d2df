#pragma once

/** \file
 * RatePermits: gives out the requests that a target takes from all VMs together.
 *
 * One VM of the target's zone, the first by rendezvous hashing, gives out permits for the whole rate, and
 * each VM gets a permit there before it sends. Nobody has to agree on who that is: the second VM gives out a
 * fifth of the rate in addition, and all others together another fifth. So VMs that cannot reach the first
 * one, or see another list of VMs, still send something, and the sum of what all give out is bounded.
 *
 *     a call chooses a limited target --> permit of its first VM --> send
 *                                           | no answer: permit of the second, or of this VM itself
 */

#include "RateLimits.h"

#include <map>

namespace fescue {

/** No VM asks again sooner after a reply that grants nothing. */
constexpr Milliseconds minRetryAfter { 20 };

/** A request for permits. */
struct PermitRequest {
    VmId vm_; ///< That asks.
    TargetStart start_;
    ZoneId zone_; ///< Of the target.
    RateObservation last_; ///< What the VM that asks knows of the target's rate.
    std::uint32_t wanted_ = 0; ///< Requests that it would send at once; 0 to pass on the observation.
};

/** The reply to a `PermitRequest`. */
struct PermitReply {
    std::uint32_t granted_ = 0;
    Milliseconds retryAfter_ { 0 }; ///< When to ask again, if fewer were granted than wanted.
    RequestRate expected_; ///< The part of the rate that the VM that asks may expect.
    std::optional<RateObservation> last_; ///< What the VM that replies knows of the target's rate.
};

/** A target at a VM that gives out permits for it. */
struct PermitBucket {
    Milliseconds startedAt_ { 0 };
    double permits_ = 0; ///< A new bucket of the first VM is empty, so that a restart adds no burst.
    MonotonicTime filledAt_;
    std::map<VmId, MonotonicTime> waiting_; ///< VMs that were refused permits, and when.
};

/** All targets that a VM gives out permits for. */
struct PermitTable {
    std::map<TargetId, PermitBucket> buckets_;
};

/** The place of a VM among those that may give out permits for a target. */
struct PermitRank {
    std::size_t rank_ = 0; ///< 0 is the first.
    std::size_t vms_ = 1; ///< Of the target's zone.
};

/** The share of a target's rate that a VM gives out. Pure. */
double permitShare(const PermitRank& rank);

/** Grants permits for a share of a rate. Not thread-safe. */
PermitReply grantPermits(PermitTable& table, const PermitRequest& request, const RequestRate& rate,
    const PermitRank& rank, MonotonicTime now);

/** Evicts targets for which nobody has asked for a while. Not thread-safe. */
void evictIdleBuckets(PermitTable& table, MonotonicTime now);

} // namespace fescue
