#include "VersionHistory.h"

namespace fescue {

namespace {

    // Longer than any retention of streams; a service rarely has more versions in that time.
    constexpr Milliseconds maxRetention { 300000 };
    constexpr std::size_t maxVersions = 64;

    void dropOld(VersionHistory& history, MonotonicTime now)
    {
        for (auto service = history.lastSeen_.begin(); service != history.lastSeen_.end();) {
            auto& versions = service->second;
            for (auto version = versions.begin(); version != versions.end();)
                version = version->second + maxRetention < now ? versions.erase(version) : std::next(version);
            service = versions.empty() ? history.lastSeen_.erase(service) : std::next(service);
        }
    }

} // namespace

void recordVersion(
    VersionHistory& history, const ServiceId& service, const SoftwareVersion& version, MonotonicTime now)
{
    auto known = history.lastSeen_.find(service);
    bool isNew = known == history.lastSeen_.end() || !known->second.count(version);
    if (isNew)
        dropOld(history, now);
    auto& versions = history.lastSeen_[service];
    // Beyond the limit the others still show that there are several.
    if (!isNew || versions.size() < maxVersions)
        versions[version] = now;
}

void restartCoverage(VersionHistory& history, MonotonicTime now) { history.coveredSince_ = now; }

} // namespace fescue
