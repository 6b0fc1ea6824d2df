#include "TargetList.h"

namespace fescue {

namespace {

    void remove(TargetList& list, const TargetId& id, MonotonicTime now)
    {
        if (!list.entries_.count(id))
            return;
        bool isInGracePeriod = list.reconnectedAt_ && now < *list.reconnectedAt_ + missingEntryGracePeriod;
        if (isInGracePeriod)
            list.missingSince_.emplace(id, now);
        else
            list.entries_.erase(id);
    }

} // namespace

void applyTargetChange(
    TargetList& list, const TargetId& id, const std::optional<TargetEntry>& entry, MonotonicTime now)
{
    if (!entry)
        return remove(list, id, now);
    list.missingSince_.erase(id);
    list.entries_[id] = *entry;
}

void applyFullList(TargetList& list, const std::vector<TargetEntry>& entries, MonotonicTime now)
{
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

void recordStoreReconnect(TargetList& list, MonotonicTime now) { list.reconnectedAt_ = now; }

bool removeMissing(TargetList& list, MonotonicTime now)
{
    if (list.missingSince_.empty() || !list.reconnectedAt_
        || now < *list.reconnectedAt_ + missingEntryGracePeriod)
        return false;
    for (const auto& [id, since] : list.missingSince_)
        list.entries_.erase(id);
    list.missingSince_.clear();
    return true;
}

} // namespace fescue
