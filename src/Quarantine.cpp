#include "Quarantine.h"

#include <algorithm>

namespace fescue {

namespace {

    std::uint32_t strikesOf(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
    {
        auto found = quarantine.strikes_.find(digest);
        bool isValid
            = found != quarantine.strikes_.end() && found->second.last_ + quarantine.strikeExpiry_ > now;
        return isValid ? found->second.count_ : 0;
    }

    void evictOldestIfFull(Quarantine& quarantine)
    {
        if (quarantine.strikes_.size() < quarantine.maxDigests_)
            return;
        quarantine.strikes_.erase(std::min_element(quarantine.strikes_.begin(), quarantine.strikes_.end(),
            [](const auto& a, const auto& b) { return a.second.last_ < b.second.last_; }));
    }

} // namespace

bool isSuspect(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    return strikesOf(quarantine, digest, now) > 0;
}

bool isQuarantined(const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    return strikesOf(quarantine, digest, now) >= strikesToQuarantine;
}

void recordStrike(Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    if (digest.value_ == 0)
        return;
    if (!quarantine.strikes_.count(digest))
        evictOldestIfFull(quarantine);
    Strikes& strikes = quarantine.strikes_[digest];
    if (strikes.last_ + quarantine.strikeExpiry_ <= now)
        strikes.count_ = 0;
    ++strikes.count_;
    strikes.last_ = now;
}

void clearStrikes(Quarantine& quarantine, ContentDigest digest) { quarantine.strikes_.erase(digest); }

} // namespace fescue
