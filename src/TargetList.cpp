#include "TargetList.h"

#include <algorithm>
#include <tuple>

namespace fescue {

namespace {

    // The list is read about every 600 ms; one read may fail. An entry that came and went in less is not
    // missed by a stream that it began.
    constexpr Milliseconds maxListAge { 1500 };

    void drop(TargetList& list, const TargetId& id, MonotonicTime now)
    {
        auto entry = list.entries_.find(id);
        if (entry == list.entries_.end())
            return;
        // Its targets were in use until now, however old its last report is.
        recordVersion(list.versions_, entry->second.service_, entry->second.version_, now);
        for (auto old = list.removed_.begin(); old != list.removed_.end();)
            old = old->second.removedAt_ + lateReportRetention < now ? list.removed_.erase(old)
                                                                     : std::next(old);
        for (auto old = list.rivals_.begin(); old != list.rivals_.end();)
            old = list.entries_.count(old->first) || list.removed_.count(old->first)
                ? std::next(old)
                : list.rivals_.erase(old);
        list.removed_[id] = { std::move(entry->second), now };
        list.entries_.erase(entry);
    }

    void remove(TargetList& list, const TargetId& id, MonotonicTime now)
    {
        if (!list.entries_.count(id))
            return;
        if (isRemovalHeld(list, now))
            list.missingSince_.emplace(id, now);
        else
            drop(list, id, now);
    }

    // Whether the reports of a series have gone on for long enough to be no delayed ones.
    bool isConfirmedRival(TargetList& list, const TargetEntry& report, MonotonicTime now)
    {
        RivalReports& rival = list.rivals_[report.id_];
        bool continues = rival.startedAt_ == report.startedAt_ && rival.heartbeat_ < report.heartbeat_
            && rival.heartbeat_ > 0;
        rival = { report.startedAt_, report.heartbeat_, continues ? rival.since_ : now };
        return now >= rival.since_ + rivalConfirmationTime;
    }

    bool isLate(TargetList& list, const TargetEntry& report, MonotonicTime now)
    {
        if (report.heartbeat_ == 0)
            return false; // It has no number.
        auto known = list.entries_.find(report.id_);
        auto removed = list.removed_.find(report.id_);
        bool isOlder = known != list.entries_.end() && isOlderReport(report, known->second);
        // What lapsed comes back with a later report.
        bool isOfRemoved = removed != list.removed_.end() && !isOlderReport(removed->second.entry_, report);
        return (isOlder || isOfRemoved) && !isConfirmedRival(list, report, now);
    }

} // namespace

void applyTargetChange(
    TargetList& list, const TargetId& id, const std::optional<TargetEntry>& entry, MonotonicTime now)
{
    if (!entry)
        return remove(list, id, now);
    recordVersion(list.versions_, entry->service_, entry->version_, now);
    if (isLate(list, *entry, now))
        return;
    list.missingSince_.erase(id);
    list.removed_.erase(id);
    list.rivals_.erase(id);
    list.entries_[id] = *entry;
}

bool isOlderReport(const TargetEntry& report, const TargetEntry& known)
{
    return std::tie(report.startedAt_, report.heartbeat_) < std::tie(known.startedAt_, known.heartbeat_);
}

void applyFullList(TargetList& list, const std::vector<TargetEntry>& entries, MonotonicTime now)
{
    if (!list.isComplete_ || now > list.readAt_ + maxListAge)
        restartCoverage(list.versions_, now);
    std::map<TargetId, TargetEntry> present;
    for (const TargetEntry& entry : entries)
        present[entry.id_] = entry;
    std::vector<TargetId> gone;
    for (const auto& [id, entry] : list.entries_) {
        if (!present.count(id))
            gone.push_back(id);
    }
    for (const TargetId& id : gone)
        remove(list, id, now);
    for (auto& [id, entry] : present)
        applyTargetChange(list, id, entry, now);
    list.isComplete_ = true;
}

std::set<SoftwareVersion> recentVersions(
    const TargetList& list, const ServiceId& service, Milliseconds retention, MonotonicTime now)
{
    std::set<SoftwareVersion> versions;
    auto seen = list.versions_.lastSeen_.find(service);
    if (seen != list.versions_.lastSeen_.end()) {
        for (const auto& [version, seenAt] : seen->second) {
            if (now <= seenAt + retention)
                versions.insert(version);
        }
    }
    for (const auto& [id, entry] : list.entries_) {
        if (entry.service_ == service)
            versions.insert(entry.version_);
    }
    return versions;
}

std::optional<SoftwareVersion> soleVersion(
    const TargetList& list, const ServiceId& service, Milliseconds retention, MonotonicTime now)
{
    const auto& coveredSince = list.versions_.coveredSince_;
    if (!coveredSince || *coveredSince + retention > now || now > list.readAt_ + maxListAge)
        return std::nullopt;
    std::set<SoftwareVersion> versions = recentVersions(list, service, retention, now);
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

void markRead(TargetList& list, MonotonicTime startedAt)
{
    if (startedAt > list.readAt_ + maxListAge)
        list.followedSince_ = startedAt;
    list.readAt_ = startedAt;
}

void recordStoreReconnect(TargetList& list, Milliseconds minLapse, MonotonicTime now)
{
    if (now >= list.readAt_ + minLapse)
        list.reconnectedAt_ = now;
}

bool isRemovalHeld(const TargetList& list, MonotonicTime now)
{
    return list.reconnectedAt_ && now < *list.reconnectedAt_ + missingEntryGracePeriod;
}

bool awaitsFinalRead(const TargetList& list, MonotonicTime now)
{
    if (list.missingSince_.empty() || !list.reconnectedAt_ || isRemovalHeld(list, now))
        return false;
    return list.readAt_ < *list.reconnectedAt_ + missingEntryGracePeriod;
}

bool removeMissing(TargetList& list, MonotonicTime now)
{
    if (list.missingSince_.empty() || isRemovalHeld(list, now))
        return false;
    if (awaitsFinalRead(list, now) && now < *list.reconnectedAt_ + missingEntryGracePeriod + maxFinalReadTime)
        return false;
    for (const auto& [id, since] : list.missingSince_)
        drop(list, id, now);
    list.missingSince_.clear();
    return true;
}

bool isSameTarget(const TargetEntry& a, const TargetEntry& b)
{
    return a.service_ == b.service_ && a.address_ == b.address_ && a.zone_ == b.zone_
        && a.version_ == b.version_ && a.slots_ == b.slots_ && a.isLeaving_ == b.isLeaving_
        && a.startedAt_ == b.startedAt_;
}

bool isSameList(const std::map<TargetId, TargetEntry>& a, const std::map<TargetId, TargetEntry>& b)
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](const auto& x, const auto& y) {
               return x.first == y.first && isSameTarget(x.second, y.second);
           });
}

} // namespace fescue
