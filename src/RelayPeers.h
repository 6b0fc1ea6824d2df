#pragma once

/** \file
 * RelayPeers: chooses the VM through which a request goes to a target that this VM cannot reach.
 *
 * The own zone is preferred, unless so many of its VMs cannot relay that the rest would be overloaded.
 */

#include "PeerList.h"

#include <set>

namespace fescue {

/** What is known of a peer as a relay. */
struct RelayPeer {
    MonotonicTime unavailableUntil_; ///< It has said that it cannot relay.
    std::uint32_t inFlight_ = 0; ///< Requests that this VM relays through it.
};

/** The peers that were asked to relay. */
using RelayPeers = std::map<VmId, RelayPeer>;

/** Records that a peer cannot relay now. Not thread-safe. */
void recordRelayUnavailable(RelayPeers& relays, const VmId& peer, MonotonicTime now);

/** Chooses a peer that may relay, none of `tried`. Nothing if there is none. Pure except for `random`. */
std::optional<PeerEntry> chooseRelay(const RelayPeers& relays, const PeerList& list, const ZoneId& zone,
    const std::set<VmId>& tried, MonotonicTime now, Random& random);

} // namespace fescue
