#pragma once

/** \file
 * ConversationPeers: which VM to ask about kept turns.
 */

#include "CallTags.h"
#include "PeerList.h"

#include <set>

namespace fescue {

/** Returns the VM that has the turns of a program in memory: the first usable one in a ranking of all VMs.
 * Nothing if that is this VM. Pure. */
std::optional<PeerEntry> directoryOf(const PeerList& list, const ProgramId& program, MonotonicTime now);

/** Returns a usable peer that may reach the store when this VM does not: one of another zone first, since a
 * zone may have lost it as a whole. Nothing if all have been asked. Pure. */
std::optional<PeerEntry> peerWithStore(const PeerList& list, const ZoneId& ownZone, const AttemptId& turn,
    const std::set<VmId>& asked, MonotonicTime now);

} // namespace fescue
