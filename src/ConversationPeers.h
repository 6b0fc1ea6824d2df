#pragma once

/** \file
 * ConversationPeers: which VM to ask about kept turns.
 */

#include "CallTags.h"
#include "PeerList.h"

#include <set>

namespace fescue {

/** Returns the first usable VM in the ranking of all VMs for a key: of a program, the one that has its turns
 * in memory; of a partition of the store, the one that writes turns there. Nothing if that is this VM. Pure.
 */
std::optional<PeerEntry> firstVmFor(const PeerList& list, const std::string& key, MonotonicTime now);

/** Returns a usable peer that may reach the store when this VM does not: one of another zone first, since a
 * zone may have lost it as a whole. Nothing if all have been asked. Pure. */
std::optional<PeerEntry> peerWithStore(const PeerList& list, const ZoneId& ownZone, const AttemptId& turn,
    const std::set<VmId>& asked, MonotonicTime now);

} // namespace fescue
