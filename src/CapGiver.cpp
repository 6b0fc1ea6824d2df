#include "CapGiver.h"

#include <algorithm>
#include <cmath>

namespace fescue {

namespace {

    constexpr double msPerSecond = 1000;
    // One VM gets at most this part of the permits at once, so that some are left for the others.
    constexpr double maxPart = 0.25;
    // This part of the circulation is for requests that wait, not for stocks that may stay unused; of a small
    // workspace most of what one program may need within a second or two.
    constexpr double keptFromStocks = 0.25;
    constexpr double keptOfSmall = 0.6;
    constexpr double requestsOfProgram = 8;
    // The rest may be lent, since this zone can borrow in turn.
    constexpr double keptFromOtherZones = 0.1;
    // A new giver has no permits yet, which does not mean that the workspace is at its cap.
    constexpr Milliseconds startTime { 700 };
    constexpr Milliseconds minRetryAfter { 100 };
    constexpr Milliseconds maxRetryAfter { 2000 };

    // Upper bound of the permits of VMs that have not reported to this giver, which an earlier one may have
    // given out.
    double unseenPermits(const CapGiver& giver, const CapZone& zone, const CapTerms& terms, MonotonicTime now)
    {
        if (now >= giver.since_ + permitLifetime)
            return 0;
        auto silent = std::count_if(zone.vms_.begin(), zone.vms_.end(), [&giver](const VmId& vm) {
            auto reporter = giver.reporters_.find(vm);
            return reporter == giver.reporters_.end() || reporter->second.reportedAt_ < giver.since_;
        });
        double bound = static_cast<double>(silent) * maxStock(terms, zone.vms_.size());
        return std::min(bound, terms.circulation_);
    }

    void forgetSilent(const CapGiver& giver, CapBucket& bucket, MonotonicTime now)
    {
        for (auto held = bucket.held_.begin(); held != bucket.held_.end();) {
            auto reporter = giver.reporters_.find(held->first);
            bool isSilent
                = reporter == giver.reporters_.end() || now >= reporter->second.reportedAt_ + permitLifetime;
            held = isSilent ? bucket.held_.erase(held) : std::next(held);
        }
    }

    // A process that has ended holds nothing.
    void forgetStock(CapGiver& giver, const VmId& vm)
    {
        for (auto& entry : giver.buckets_)
            entry.second.held_.erase(vm);
    }

    void fill(const CapGiver& giver, const CapZone& zone, const CapTerms& terms, CapBucket& bucket,
        MonotonicTime now)
    {
        forgetSilent(giver, bucket, now);
        double inStock = unseenPermits(giver, zone, terms, now);
        for (const auto& [vm, held] : bucket.held_)
            inStock += held;
        double elapsed = static_cast<double>((now - std::max(bucket.filledAt_, giver.since_)).count());
        double room = std::max(0.0, terms.circulation_ - inStock);
        bucket.permits_ = std::min(bucket.permits_ + elapsed / msPerSecond * terms.perSecond_, room);
        bucket.filledAt_ = now;
    }

    double keptForWaiting(const CapTerms& terms)
    {
        return std::max(keptFromStocks * terms.circulation_,
            std::min(keptOfSmall * terms.circulation_, requestsOfProgram));
    }

    std::uint32_t partOf(double permits)
    {
        return static_cast<std::uint32_t>(std::max(0.0, std::min(permits, std::max(1.0, permits * maxPart))));
    }

    Milliseconds retryAfter(const CapBucket& bucket, const CapTerms& terms)
    {
        double wait = std::max(0.0, 1 - bucket.permits_) / terms.perSecond_ * msPerSecond;
        double most = static_cast<double>(maxRetryAfter.count());
        return std::max(
            minRetryAfter, Milliseconds { static_cast<std::int64_t>(std::ceil(std::min(wait, most))) });
    }

    // Precondition: the line's workspace has a cap; the report is newer than all before.
    GrantLine grant(
        CapGiver& giver, const CapZone& zone, const VmId& vm, const StockLine& line, MonotonicTime now)
    {
        const CapTerms& terms = zone.terms_.at(line.workspace_);
        CapBucket& bucket = giver.buckets_[line.workspace_];
        std::uint32_t known = bucket.held_[vm];
        // Returned permits are only credited if this giver knows of them.
        bucket.permits_ += std::min(line.returned_, known - std::min(known, line.held_));
        bucket.held_[vm] = line.held_;
        fill(giver, zone, terms, bucket, now);
        std::uint32_t limit = maxStock(terms, zone.vms_.size());
        std::uint32_t room = limit - std::min(limit, line.held_);
        std::uint32_t needed = std::min({ line.needed_, room, partOf(bucket.permits_) });
        double spare = bucket.permits_ - needed - keptForWaiting(terms);
        std::uint32_t wanted = std::min({ line.wanted_, room - needed, partOf(spare) });
        GrantLine result { line.workspace_, needed + wanted, Milliseconds { 0 } };
        bucket.permits_ -= result.granted_;
        std::uint32_t stock = line.held_ + result.granted_;
        if (stock == 0)
            bucket.held_.erase(vm);
        else
            bucket.held_[vm] = stock;
        if (needed < line.needed_ && bucket.permits_ < 1 && now >= giver.since_ + startTime)
            result.retryAfter_ = retryAfter(bucket, terms);
        return result;
    }

    // A VM of another zone, whose giver has no more, gets what is spare, for requests that wait; it keeps
    // none. Precondition: as for `grant`.
    GrantLine lend(CapGiver& giver, const CapZone& zone, const StockLine& line, MonotonicTime now)
    {
        const CapTerms& terms = zone.terms_.at(line.workspace_);
        CapBucket& bucket = giver.buckets_[line.workspace_];
        fill(giver, zone, terms, bucket, now);
        double spare = std::max(0.0, bucket.permits_ - keptFromOtherZones * terms.circulation_);
        GrantLine result { line.workspace_, std::min(line.needed_, static_cast<std::uint32_t>(spare)),
            Milliseconds { 0 } };
        bucket.permits_ -= result.granted_;
        return result;
    }

    void updateReign(CapGiver& giver, const CapZone& zone, MonotonicTime now)
    {
        bool is = isGiver(giver, zone, now);
        if (is && !giver.wasGiver_) {
            giver.since_ = now;
            giver.buckets_.clear();
        }
        giver.wasGiver_ = is;
    }

} // namespace

bool isGiver(const CapGiver& giver, const CapZone& zone, MonotonicTime now)
{
    if (now < giver.settledAt_)
        return false;
    auto votes = std::count_if(giver.reporters_.begin(), giver.reporters_.end(), [&](const auto& entry) {
        return now < entry.second.votesUntil_ && zone.vms_.count(entry.first) > 0;
    });
    return static_cast<std::size_t>(votes) * 2 > zone.vms_.size();
}

GrantReply grantCapPermits(CapGiver& giver, const CapZone& zone, const StockReport& report, MonotonicTime now)
{
    GrantReply reply { giver.writer_, now.time_since_epoch(), false, {}, {} };
    // Votes may have run out since the last report.
    updateReign(giver, zone, now);
    if (zone.vms_.count(report.vm_) == 0) {
        reply.isGiver_ = giver.wasGiver_;
        for (const StockLine& line : report.lines_) {
            if (reply.isGiver_ && zone.terms_.count(line.workspace_) > 0)
                reply.lines_.push_back(lend(giver, zone, line, now));
        }
        return reply;
    }
    CapReporter& reporter = giver.reporters_[report.vm_];
    if (reporter.writer_ == report.writer_ && report.sequence_ <= reporter.sequence_)
        return reply;
    if (reporter.writer_ != report.writer_)
        forgetStock(giver, report.vm_);
    reporter.writer_ = report.writer_;
    reporter.sequence_ = report.sequence_;
    reporter.reportedAt_ = now;
    MonotonicTime echoed { report.echo_ };
    if (report.isVote_ && report.echoOf_ == giver.writer_ && echoed <= now)
        reporter.votesUntil_ = std::max(reporter.votesUntil_, echoed + capVoteTime);
    updateReign(giver, zone, now);
    reply.isGiver_ = giver.wasGiver_;
    if (!reply.isGiver_)
        return reply;
    for (const StockLine& line : report.lines_) {
        if (zone.terms_.count(line.workspace_) > 0)
            reply.lines_.push_back(grant(giver, zone, report.vm_, line, now));
    }
    return reply;
}

} // namespace fescue
