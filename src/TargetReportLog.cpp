#include "TargetReportLog.h"

#include "EventLog.h"

namespace fescue {

namespace {

    const char* stateOf(const TargetEntry& entry) { return entry.isLeaving_ ? "leaving" : "ready"; }

} // namespace

void logTargetChanges(
    const std::map<TargetId, TargetEntry>& before, const std::map<TargetId, TargetEntry>& now)
{
    for (const auto& [id, entry] : now) {
        auto known = before.find(id);
        if (known == before.end() || !isSameTarget(known->second, entry))
            logEvent("target",
                { { "target", id.value_ }, { "service", entry.service_.value_ },
                    { "address", entry.address_ }, { "zone", entry.zone_.value_ },
                    { "version", entry.version_.value_ }, { "state", stateOf(entry) },
                    { "started_at", std::to_string(entry.startedAt_.count()) },
                    { "report", std::to_string(entry.heartbeat_) } });
    }
    for (const auto& [id, entry] : before) {
        if (!now.count(id))
            logEvent("target", { { "target", id.value_ }, { "state", "gone" } });
    }
}

void logIgnoredReport(
    const TargetList& list, const TargetId& id, const std::optional<TargetEntry>& entry, MonotonicTime now)
{
    auto known = list.entries_.find(id);
    if (known == list.entries_.end())
        return;
    if (entry && isOlderReport(*entry, known->second))
        logEvent("target-report-late",
            { { "target", id.value_ }, { "state", stateOf(*entry) },
                { "started_at", std::to_string(entry->startedAt_.count()) },
                { "report", std::to_string(entry->heartbeat_) }, { "known_state", stateOf(known->second) },
                { "known_started_at", std::to_string(known->second.startedAt_.count()) },
                { "known_report", std::to_string(known->second.heartbeat_) } });
    if (!entry && isRemovalHeld(list, now))
        logEvent("target-removal-held",
            { { "target", id.value_ },
                { "reconnected_ms", std::to_string((now - *list.reconnectedAt_).count()) } });
}

} // namespace fescue
