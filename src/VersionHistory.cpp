#include "VersionHistory.h"

namespace fescue {

namespace {

    // The list is read about every 600 ms; one read may fail.
    constexpr Milliseconds maxListAge { 1500 };

} // namespace

void recordVersions(VersionHistory& history, const TargetList& list)
{
    if (!list.isComplete_ || list.readAt_ == history.readAt_)
        return;
    if (!history.coveredSince_ || list.readAt_ > history.readAt_ + maxListAge)
        history.coveredSince_ = list.readAt_;
    history.readAt_ = list.readAt_;
    for (const auto& [id, entry] : list.entries_)
        history.lastSeen_[entry.service_][entry.version_] = list.readAt_;
    for (auto service = history.lastSeen_.begin(); service != history.lastSeen_.end();) {
        auto& versions = service->second;
        for (auto version = versions.begin(); version != versions.end();)
            version = version->second + history.retention_ < list.readAt_ ? versions.erase(version)
                                                                          : std::next(version);
        service = versions.empty() ? history.lastSeen_.erase(service) : std::next(service);
    }
}

std::set<SoftwareVersion> recentVersions(const VersionHistory& history, const ServiceId& service)
{
    std::set<SoftwareVersion> versions;
    auto found = history.lastSeen_.find(service);
    if (found == history.lastSeen_.end())
        return versions;
    for (const auto& [version, seenAt] : found->second)
        versions.insert(version);
    return versions;
}

std::optional<SoftwareVersion> soleVersion(
    const VersionHistory& history, const ServiceId& service, MonotonicTime now)
{
    bool isCovered = history.coveredSince_ && *history.coveredSince_ + history.retention_ <= now;
    if (!isCovered || now > history.readAt_ + maxListAge)
        return std::nullopt;
    std::set<SoftwareVersion> versions = recentVersions(history, service);
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

} // namespace fescue
