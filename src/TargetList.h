#pragma once

/** \file
 * TargetList: which targets exist and which are leaving, as the platform's store tells it.
 *
 * The store's list has gaps of its own: entries lapse while the store is away and come back soon after it. So
 * a removal that is seen right after the store was away counts only when the entry is still missing later.
 * Nothing else is ever added or kept here: a target that leaves gets no more work as soon as the store says
 * so.
 */

#include "Types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescue {

/** A target as it announces itself. */
struct TargetEntry {
    TargetId id_;
    ServiceId service_;
    std::string address_; ///< `ip:port`.
    ZoneId zone_;
    std::uint32_t slots_ = 0;
    bool isLeaving_ = false;
};

/** The known targets. */
struct TargetList {
    std::map<TargetId, TargetEntry> entries_;
    std::map<TargetId, MonotonicTime> missingSince_; ///< Removed right after an outage, kept for a while.
    std::optional<MonotonicTime> reconnectedAt_; ///< When the store answered again after an outage.
    bool isComplete_ = false; ///< The whole list has been read once.
};

/** Time after the store's return in which lapsed entries of living targets come back; as the platform states.
 */
constexpr Milliseconds missingEntryGracePeriod { 2500 };

/** Takes one change of an entry; no entry means that it was removed, or names no usable target. */
void applyTargetChange(
    TargetList& list, const TargetId& id, const std::optional<TargetEntry>& entry, MonotonicTime now);

/** Takes the whole list. */
void applyFullList(TargetList& list, const std::vector<TargetEntry>& entries, MonotonicTime now);

/** Notes that the store has answered after an outage. */
void recordStoreReconnect(TargetList& list, MonotonicTime now);

/** Drops what has stayed missing. Returns true when anything was dropped. */
bool removeMissing(TargetList& list, MonotonicTime now);

} // namespace fescue
