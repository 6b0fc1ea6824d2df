#include "LinkHealth.h"

#include <algorithm>

namespace fescue {

namespace {

    // Fewer may have crashed together.
    constexpr std::ptrdiff_t minFailedTargets = 3;
    // Older failures are no evidence that the links are gone now.
    constexpr Milliseconds failureLifetime { 2000 };

    void dropOldFailures(LinkHealth& health, MonotonicTime now)
    {
        for (auto failure = health.failures_.begin(); failure != health.failures_.end();) {
            bool isOld = now > failure->second + failureLifetime || !health.targets_.count(failure->first);
            failure = isOld ? health.failures_.erase(failure) : std::next(failure);
        }
    }

    // A cut between zones makes all targets of other zones unreachable, so those of the own zone decide.
    bool areLinksGone(const LinkHealth& health)
    {
        auto isOwn = [&health](const auto& entry) { return health.targets_.at(entry.first) == health.zone_; };
        auto own = std::count_if(health.targets_.begin(), health.targets_.end(), isOwn);
        if (own > 0)
            return std::count_if(health.failures_.begin(), health.failures_.end(), isOwn)
                >= std::min(minFailedTargets, own);
        auto all = static_cast<std::ptrdiff_t>(health.targets_.size());
        return all > 0
            && static_cast<std::ptrdiff_t>(health.failures_.size()) >= std::min(minFailedTargets, all);
    }

} // namespace

bool recordLinkFailure(LinkHealth& health, const TargetId& target, MonotonicTime now)
{
    health.failures_[target] = now;
    dropOldFailures(health, now);
    if (health.isStranded_ || !areLinksGone(health))
        return false;
    health.isStranded_ = true;
    health.changedAt_ = now;
    return true;
}

bool recordLink(LinkHealth& health, MonotonicTime now)
{
    health.failures_.clear();
    if (!health.isStranded_)
        return false;
    health.isStranded_ = false;
    health.changedAt_ = now;
    return true;
}

} // namespace fescue
