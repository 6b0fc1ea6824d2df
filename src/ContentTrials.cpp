#include "ContentTrials.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr std::size_t maxContents = 4096;
    // A request that does crash its targets may reach few of them after it is refused.
    constexpr std::uint32_t maxTrials = 2;
    // The records of all VMs are exchanged, and ended targets are mostly back, after it.
    constexpr Milliseconds firstTrialDelay { 3000 };
    constexpr Milliseconds nextTrialDelay { 15000 };
    constexpr Milliseconds returnedTrialDelay { 500 };

    bool isFirstWriter(const Quarantine& quarantine, ContentDigest digest)
    {
        auto record = quarantine.records_.find(digest);
        return record != quarantine.records_.end() && !record->second.crashes_.empty()
            && record->second.crashes_.begin()->first == quarantine.own_;
    }

} // namespace

void recordConcurrentRuns(ContentTrials& trials, ContentDigest digest, MonotonicTime now)
{
    if (trials.contents_.size() >= maxContents && !trials.contents_.count(digest))
        return;
    ContentTrials::Content& content = trials.contents_[digest];
    content.seenAt_ = now;
    content.nextAt_ = std::max(content.nextAt_, now + firstTrialDelay);
}

bool takeTrial(ContentTrials& trials, const Quarantine& quarantine, ContentDigest digest, MonotonicTime now)
{
    auto found = trials.contents_.find(digest);
    if (found == trials.contents_.end() || found->second.trials_ >= maxTrials || now < found->second.nextAt_)
        return false;
    auto record = quarantine.records_.find(digest);
    if (!isFirstWriter(quarantine, digest) || now < record->second.last_ + firstTrialDelay)
        return false;
    ++found->second.trials_;
    found->second.nextAt_ = now + nextTrialDelay;
    return true;
}

void returnTrial(ContentTrials& trials, ContentDigest digest, MonotonicTime now)
{
    auto found = trials.contents_.find(digest);
    if (found == trials.contents_.end() || found->second.trials_ == 0)
        return;
    --found->second.trials_;
    found->second.nextAt_ = now + returnedTrialDelay;
}

void removeExpired(ContentTrials& trials, Milliseconds crashExpiry, MonotonicTime now)
{
    for (auto content = trials.contents_.begin(); content != trials.contents_.end();) {
        bool isExpired = content->second.seenAt_ + crashExpiry < now;
        content = isExpired ? trials.contents_.erase(content) : std::next(content);
    }
}

} // namespace fescue
