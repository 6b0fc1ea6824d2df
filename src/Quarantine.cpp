#include "Quarantine.h"

#include <algorithm>

namespace fescue {

namespace {

    void evictOldestIfFull(Quarantine& quarantine)
    {
        if (quarantine.crashes_.size() < quarantine.maxDigests_)
            return;
        quarantine.crashes_.erase(std::min_element(quarantine.crashes_.begin(), quarantine.crashes_.end(),
            [](const auto& a, const auto& b) { return a.second.last_ < b.second.last_; }));
    }

} // namespace

std::uint32_t crashCount(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    auto found = quarantine.crashes_.find(digest);
    bool isValid = found != quarantine.crashes_.end() && found->second.last_ + quarantine.crashExpiry_ > now;
    return isValid ? found->second.count_ : 0;
}

bool isSuspect(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    return crashCount(quarantine, digest, now) > 0;
}

bool isQuarantined(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    return crashCount(quarantine, digest, now) >= crashesToQuarantine;
}

void recordCrash(Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    if (digest.value_ == 0)
        return;
    if (!quarantine.crashes_.count(digest))
        evictOldestIfFull(quarantine);
    CrashRecord& record = quarantine.crashes_[digest];
    if (record.last_ + quarantine.crashExpiry_ <= now)
        record.count_ = 0;
    ++record.count_;
    record.last_ = now;
}

void clearCrashes(Quarantine& quarantine, ContentDigest digest) { quarantine.crashes_.erase(digest); }

} // namespace fescue
