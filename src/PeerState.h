#pragma once

/** \file
 * PeerState: which VMs of the own zone are there, judged from what they say over direct links.
 *
 * The platform's list lags, so each VM tells the others of its zone once a second that it is there, where,
 * whether it is leaving, which shards it holds and whom it cannot hear itself. A VM counts as gone when its
 * link broke or it kept silent, and most of the other VMs that are heard cannot hear it either: so one
 * broken link between two VMs does not divide their views. One that was gone counts again only after it has
 * been heard for a while, which keeps a flapping VM from moving shards each time.
 */

#include "Frame.h"

#include <map>
#include <set>

namespace fescue {

/** How fast a VM is taken for gone and for present. */
struct PeerTiming {
    Milliseconds announce_ { 1000 };
    Milliseconds announceLeaving_ { 200 };
    Milliseconds breakGrace_ { 300 }; ///< For a link that broke to be opened again.
    Milliseconds silence_ { 3000 }; ///< Of a link that stays open.
    Milliseconds listedGrace_ { 3000 }; ///< For a VM that has been listed and not heard yet.
    Milliseconds returnAfter_ { 2000 }; ///< Heard for this long before it counts again.
    Milliseconds forget_ { 60000 }; ///< A VM that is gone and no longer listed is dropped.
};

/** A VM of the own zone. */
struct Peer {
    PeerFrame told_; ///< What it said last; empty when it has not been heard.
    std::string listedAddress_;
    bool isListed_ = false;
    bool wasHeard_ = false;
    bool isBroken_ = false; ///< No link to it is open.
    bool isGone_ = false;
    MonotonicTime since_; ///< It became known.
    MonotonicTime heardAt_;
    MonotonicTime heardSince_; ///< It has been heard without a break since then.
    MonotonicTime brokenAt_;
};

/** The other VMs of the zone, by name. */
struct PeerTable {
    PeerTiming timing_;
    std::map<VmId, Peer> peers_;
};

/** Takes the platform's list: those of the zone but for the own VM. Pure but for `table`. */
void peersListed(PeerTable& table, const Members& listed, MonotonicTime now);
/** Takes what a peer said. */
void peerHeard(PeerTable& table, const PeerFrame& told, MonotonicTime now);
/** Notes that no link to a peer is open. */
void peerBroken(PeerTable& table, const VmId& vm, MonotonicTime now);

/** Whether a peer is heard at `now`, by the own evidence alone. Pure. */
bool isHeard(const PeerTable& table, const Peer& peer, MonotonicTime now);
/** The peers that are heard and their addresses, to tell the others. Pure.
 *
 * Two VMs that a lagging list does not name find each other through a third. */
std::map<std::string, std::string> knownPeers(const PeerTable& table, MonotonicTime now);
/** The peers that are not heard, to tell the others. Pure. */
std::vector<VmId> unheardPeers(const PeerTable& table, MonotonicTime now);

/** Judges who is gone and who is back. Returns whether that changed for any peer. */
bool judgePeers(PeerTable& table, MonotonicTime now);

/** The platform's list, corrected by what the peers say. Pure. */
Members correctedMembers(const PeerTable& table, const ZoneId& zone, const Members& listed);

/** The peer that says it holds a shard of the zone, among those that are heard. Pure. */
std::optional<VmId> holderOf(const PeerTable& table, ShardIndex shard, MonotonicTime now);

/** Whether every VM of the zone that is known has told what it holds, or cannot be reached. Pure. */
bool isZoneHeard(const PeerTable& table, MonotonicTime now);

} // namespace fescue
