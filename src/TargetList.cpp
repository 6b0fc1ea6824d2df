#include "TargetList.h"

namespace fescue {

namespace {

    void remove(TargetList& list, const TargetId& id, MonotonicTime now)
    {
        if (!list.entries_.count(id))
            return;
        bool mayComeBack = list.backSince_ && now < *list.backSince_ + entriesReturnWithin;
        if (mayComeBack)
            list.missingSince_.emplace(id, now);
        else
            list.entries_.erase(id);
    }

} // namespace

void takeTargetChange(
    TargetList& list, const TargetId& id, const std::optional<TargetEntry>& entry, MonotonicTime now)
{
    if (!entry)
        return remove(list, id, now);
    list.missingSince_.erase(id);
    list.entries_[id] = *entry;
}

void takeWholeList(TargetList& list, const std::vector<TargetEntry>& entries, MonotonicTime now)
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
        takeTargetChange(list, id, entry, now);
    list.isComplete_ = true;
}

void storeReturned(TargetList& list, MonotonicTime now) { list.backSince_ = now; }

bool dropMissing(TargetList& list, MonotonicTime now)
{
    if (list.missingSince_.empty() || !list.backSince_ || now < *list.backSince_ + entriesReturnWithin)
        return false;
    for (const auto& [id, since] : list.missingSince_)
        list.entries_.erase(id);
    list.missingSince_.clear();
    return true;
}

} // namespace fescue
