#include "Quarantine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescue {

namespace {

    std::set<CrashId> allCrashes(const CrashRecord& record)
    {
        std::set<CrashId> all;
        for (const auto& [writer, crashes] : record.crashes_)
            all.insert(crashes.begin(), crashes.end());
        return all;
    }

    bool isExpired(const Quarantine& quarantine, const CrashRecord& record, MonotonicTime now)
    {
        return record.last_ + quarantine.crashExpiry_ <= now;
    }

    // Crashes that are not attributed yet, of digests that have enough of them.
    struct Unattributed {
        std::map<ContentDigest, std::set<CrashId>> crashes_;
        std::map<CrashId, std::vector<ContentDigest>> digests_; ///< Of each crash.
        std::set<std::pair<std::ptrdiff_t, ContentDigest>> order_; ///< Those with most crashes first.
    };

    std::pair<std::ptrdiff_t, ContentDigest> placeOf(ContentDigest digest, const std::set<CrashId>& crashes)
    {
        return { -static_cast<std::ptrdiff_t>(crashes.size()), digest };
    }

    Unattributed collectUnattributed(const Quarantine& quarantine)
    {
        Unattributed unattributed;
        for (const auto& [digest, record] : quarantine.records_) {
            std::set<CrashId> crashes = allCrashes(record);
            if (crashes.size() < quarantine.threshold_)
                continue;
            for (const CrashId& crash : crashes)
                unattributed.digests_[crash].push_back(digest);
            unattributed.order_.insert(placeOf(digest, crashes));
            unattributed.crashes_[digest] = std::move(crashes);
        }
        return unattributed;
    }

    // Takes a crash from the digests that have not been taken out yet.
    void removeCrash(Unattributed& unattributed, const CrashId& crash)
    {
        for (ContentDigest digest : unattributed.digests_[crash]) {
            auto found = unattributed.crashes_.find(digest);
            if (found == unattributed.crashes_.end())
                continue;
            unattributed.order_.erase(placeOf(digest, found->second));
            found->second.erase(crash);
            unattributed.order_.insert(placeOf(digest, found->second));
        }
    }

    // Attributes each crash to one digest. Greedy: a digest that crashes its targets takes part in each of
    // its crashes, so it has at least as many as any digest that ran beside it by chance.
    void attributeCrashes(Quarantine& quarantine)
    {
        quarantine.isAttributionDue_ = quarantine.isAttributionDeferred_;
        if (quarantine.isAttributionDeferred_)
            return;
        Unattributed unattributed = collectUnattributed(quarantine);
        quarantine.quarantined_.clear();
        while (!unattributed.order_.empty()) {
            ContentDigest worst = unattributed.order_.begin()->second;
            auto found = unattributed.crashes_.find(worst);
            if (found->second.size() < quarantine.threshold_)
                return;
            quarantine.quarantined_.insert(worst);
            std::set<CrashId> attributed = std::move(found->second);
            unattributed.order_.erase(unattributed.order_.begin());
            unattributed.crashes_.erase(found);
            for (const CrashId& crash : attributed)
                removeCrash(unattributed, crash);
        }
    }

    void eraseRecord(Quarantine& quarantine, ContentDigest digest)
    {
        auto found = quarantine.records_.find(digest);
        if (found == quarantine.records_.end())
            return;
        quarantine.byLast_.erase({ found->second.last_, digest });
        quarantine.records_.erase(found);
        if (quarantine.quarantined_.erase(digest) > 0)
            attributeCrashes(quarantine);
    }

    void evictOldestIfFull(Quarantine& quarantine)
    {
        if (!quarantine.byLast_.empty() && quarantine.records_.size() >= quarantine.maxDigests_)
            eraseRecord(quarantine, quarantine.byLast_.begin()->second);
    }

    void setLast(Quarantine& quarantine, ContentDigest digest, CrashRecord& record, MonotonicTime now)
    {
        quarantine.byLast_.erase({ record.last_, digest });
        record.last_ = now;
        quarantine.byLast_.emplace(now, digest);
    }

    CrashRecord& recordOf(Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
    {
        auto found = quarantine.records_.find(digest);
        if (found != quarantine.records_.end() && isExpired(quarantine, found->second, now))
            eraseRecord(quarantine, digest);
        if (!quarantine.records_.count(digest))
            evictOldestIfFull(quarantine);
        return quarantine.records_[digest];
    }

    // Digests below the threshold do not affect the attribution.
    void updateAttribution(Quarantine& quarantine, ContentDigest digest)
    {
        auto found = quarantine.records_.find(digest);
        bool isOverThreshold
            = found != quarantine.records_.end() && allCrashes(found->second).size() >= quarantine.threshold_;
        if (isOverThreshold || quarantine.quarantined_.count(digest))
            attributeCrashes(quarantine);
    }

} // namespace

std::uint32_t crashCount(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    auto found = quarantine.records_.find(digest);
    if (found == quarantine.records_.end() || isExpired(quarantine, found->second, now))
        return 0;
    return static_cast<std::uint32_t>(allCrashes(found->second).size());
}

bool isSuspect(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    return crashCount(quarantine, digest, now) + 1 >= quarantine.threshold_;
}

bool isQuarantined(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    return quarantine.quarantined_.count(digest) > 0 && crashCount(quarantine, digest, now) > 0;
}

void recordCrash(Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    recordCrash(quarantine, digest, { "unshared " + std::to_string(++quarantine.unsharedCrashes_) }, now);
}

void recordCrash(Quarantine& quarantine, ContentDigest digest, const CrashId& crash, MonotonicTime now)
{
    if (digest.value_ == 0)
        return;
    CrashRecord& record = recordOf(quarantine, digest, now);
    record.crashes_[quarantine.own_].insert(crash);
    setLast(quarantine, digest, record, now);
    updateAttribution(quarantine, digest);
}

void withdrawCrash(Quarantine& quarantine, ContentDigest digest, const CrashId& crash)
{
    auto found = quarantine.records_.find(digest);
    if (found == quarantine.records_.end())
        return;
    auto own = found->second.crashes_.find(quarantine.own_);
    if (own == found->second.crashes_.end())
        return;
    own->second.erase(crash);
    if (own->second.empty())
        found->second.crashes_.erase(own);
    if (found->second.crashes_.empty())
        return eraseRecord(quarantine, digest);
    updateAttribution(quarantine, digest);
}

void replaceCrashes(Quarantine& quarantine, ContentDigest digest, const WriterId& recordedBy,
    std::set<CrashId> crashes, MonotonicTime now)
{
    if (crashes.empty() && !quarantine.records_.count(digest))
        return;
    CrashRecord& record = recordOf(quarantine, digest, now);
    if (crashes.empty())
        record.crashes_.erase(recordedBy);
    else
        record.crashes_[recordedBy] = std::move(crashes);
    if (record.crashes_.empty())
        return eraseRecord(quarantine, digest);
    setLast(quarantine, digest, record, now);
    updateAttribution(quarantine, digest);
}

void clearCrashes(Quarantine& quarantine, ContentDigest digest) { eraseRecord(quarantine, digest); }

void deferAttribution(Quarantine& quarantine) { quarantine.isAttributionDeferred_ = true; }

void resumeAttribution(Quarantine& quarantine)
{
    quarantine.isAttributionDeferred_ = false;
    if (quarantine.isAttributionDue_)
        attributeCrashes(quarantine);
}

} // namespace fescue
