#include "RatePermits.h"

#include <algorithm>
#include <cmath>

namespace fescue {

namespace {

    constexpr double secondShare = 0.2;
    constexpr double sharedByOthers = 0.2;
    // A target that takes nothing still gets a request now and then, whose answer tells whether that has
    // ended.
    constexpr double minPerSecond = 0.2;
    // Permits that may accumulate: those of this time, and one.
    constexpr double burstSeconds = 0.25;
    // A VM that was refused permits and has not asked again for this long has no use for them.
    constexpr Milliseconds waitingTimeout { 2000 };
    // Longer than any VM waits before it asks again.
    constexpr Milliseconds askingTimeout { 3000 };
    constexpr Milliseconds idleTimeout { 60000 };
    constexpr Milliseconds maxRetryAfter { 2000 };
    constexpr double msPerSecond = 1000;

    void fill(PermitBucket& bucket, double perSecond, MonotonicTime now)
    {
        double elapsed = static_cast<double>((now - bucket.filledAt_).count()) / msPerSecond;
        bucket.permits_ = std::min(bucket.permits_ + elapsed * perSecond, 1 + burstSeconds * perSecond);
        bucket.filledAt_ = now;
    }

    // The buckets of the many VMs that give out a little must neither fill up while nobody asks, nor all be
    // full at the same moment after a partition has begun.
    bool needsReset(const PermitBucket& bucket, const PermitRank& rank, MonotonicTime now)
    {
        bool isNew = bucket.filledAt_ == MonotonicTime {};
        return isNew || (rank.rank_ > 0 && now > bucket.filledAt_ + askingTimeout);
    }

    double initialPermits(const PermitRank& rank)
    {
        return rank.rank_ < 2 ? 0 : static_cast<double>(rank.rank_) / static_cast<double>(rank.vms_);
    }

    void updateWaiting(PermitBucket& bucket, const VmId& vm, bool isWaiting, MonotonicTime now)
    {
        if (isWaiting)
            bucket.waiting_[vm] = now;
        else
            bucket.waiting_.erase(vm);
        for (auto entry = bucket.waiting_.begin(); entry != bucket.waiting_.end();)
            entry = now > entry->second + waitingTimeout ? bucket.waiting_.erase(entry) : std::next(entry);
    }

    // What a VM may take now: the permits are for all VMs that wait for some, but one may always be taken.
    std::uint32_t fairPart(const PermitBucket& bucket, const VmId& vm)
    {
        std::size_t claimants = bucket.waiting_.size() + (bucket.waiting_.count(vm) > 0 ? 0 : 1);
        double part = bucket.permits_ / static_cast<double>(claimants);
        return static_cast<std::uint32_t>(std::min(bucket.permits_, std::max(1.0, part)));
    }

    // Each waiting VM comes back once there has been a permit for each of them, so that their requests do not
    // grow in number with the VMs.
    Milliseconds retryAfter(const PermitBucket& bucket, double perSecond)
    {
        double needed = std::max(1.0, static_cast<double>(bucket.waiting_.size())) - bucket.permits_;
        auto wait = Milliseconds { static_cast<std::int64_t>(std::ceil(
            std::min(needed / perSecond * msPerSecond, static_cast<double>(maxRetryAfter.count())))) };
        return std::max(wait, minRetryAfter);
    }

} // namespace

double permitShare(const PermitRank& rank)
{
    if (rank.rank_ == 0)
        return 1;
    constexpr std::size_t namedVms = 2;
    auto others = static_cast<double>(std::max(rank.vms_, namedVms + 1) - namedVms);
    return rank.rank_ == 1 ? secondShare : sharedByOthers / others;
}

PermitReply grantPermits(PermitTable& table, const PermitRequest& request, const RequestRate& rate,
    const PermitRank& rank, MonotonicTime now)
{
    PermitBucket& bucket = table.buckets_[request.start_.target_];
    if (bucket.startedAt_ != request.start_.startedAt_ || needsReset(bucket, rank, now))
        bucket = { request.start_.startedAt_, initialPermits(rank), now, {} };
    double perSecond = std::max(rate.value_, minPerSecond) * permitShare(rank);
    fill(bucket, perSecond, now);
    PermitReply reply;
    reply.granted_ = std::min(request.wanted_, fairPart(bucket, request.vm_));
    bucket.permits_ -= reply.granted_;
    updateWaiting(bucket, request.vm_, reply.granted_ < request.wanted_, now);
    reply.expected_ = { perSecond / std::max(1.0, static_cast<double>(bucket.waiting_.size())) };
    if (reply.granted_ < request.wanted_)
        reply.retryAfter_ = retryAfter(bucket, perSecond);
    return reply;
}

void evictIdleBuckets(PermitTable& table, MonotonicTime now)
{
    for (auto bucket = table.buckets_.begin(); bucket != table.buckets_.end();)
        bucket
            = now > bucket->second.filledAt_ + idleTimeout ? table.buckets_.erase(bucket) : std::next(bucket);
}

} // namespace fescue
