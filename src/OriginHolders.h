#pragma once

/** \file
 * OriginHolders: which VMs hold copies of a stream's origin, and which are asked for it.
 *
 * Copies are spread over availability zones, since all VMs of a zone may be lost at once. A VM that looks for
 * the origin knows the attempt, but not where the stream began. So zones, and VMs within a zone, rank by a
 * hash of the attempt, and both sides use that order: whatever its zone, a VM asks all zones that hold
 * copies.
 */

#include "CallTags.h"
#include "PeerList.h"

#include <vector>

namespace fescue {

/** Returns the usable VMs that are to hold copies of the origin of a stream that began in `zone`, without
 * this VM: some of that zone, the others spread over the other zones. Pure. */
std::vector<PeerEntry> originHolders(
    const PeerList& list, const ZoneId& zone, const AttemptId& attempt, MonotonicTime now);

/** Returns the usable VMs that a VM of `zone` asks for an origin, without this VM. They include a holder in
 * each of the other zones that `originHolders` selects, as long as both sides agree on which VMs are usable.
 * Pure. */
std::vector<PeerEntry> originPeersToAsk(
    const PeerList& list, const ZoneId& zone, const AttemptId& attempt, MonotonicTime now);

} // namespace fescue
