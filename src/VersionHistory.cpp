#include "VersionHistory.h"

namespace fescue {

namespace {

    // Longer than any retention of streams; a service rarely has more versions in that time.
    constexpr Milliseconds maxRetention { 300000 };
    constexpr std::size_t maxVersions = 64;

    void dropOld(std::map<SoftwareVersion, MonotonicTime>& versions, MonotonicTime now)
    {
        for (auto version = versions.begin(); version != versions.end();)
            version = version->second + maxRetention < now ? versions.erase(version) : std::next(version);
    }

} // namespace

void recordVersion(
    VersionHistory& history, const ServiceId& service, const SoftwareVersion& version, MonotonicTime now)
{
    auto& versions = history.lastSeen_[service];
    bool isNew = !versions.count(version);
    if (isNew)
        dropOld(versions, now);
    // Beyond the limit the others still show that there are several.
    if (!isNew || versions.size() < maxVersions)
        versions[version] = now;
}

void restartCoverage(VersionHistory& history, MonotonicTime now) { history.coveredSince_ = now; }

} // namespace fescue
