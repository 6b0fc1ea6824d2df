#pragma once

/** \file
 * PeerState: failure detection among the VMs of a zone, based on heartbeats over direct links.
 *
 * The platform's list lags, so each VM sends an announcement to the others of its zone once a second: its
 * address, whether it is leaving, which shards it holds and which peers it cannot reach. A VM counts as
 * unreachable when its link is closed or its heartbeats time out, and at least half of the other reachable
 * VMs cannot reach it either; a single broken link between two VMs therefore does not make their views
 * diverge. An unreachable VM counts as reachable again only after a recovery period, so that a flapping VM
 * does not move shards each time.
 */

#include "Frame.h"

#include <map>
#include <set>

namespace fescue {

/** Intervals and timeouts of the failure detection. */
struct PeerTiming {
    Milliseconds announceInterval_ { 1000 };
    Milliseconds leavingAnnounceInterval_ { 200 };
    Milliseconds reconnectGracePeriod_ { 300 }; ///< For reopening a closed link.
    Milliseconds heartbeatTimeout_ { 3000 }; ///< For a peer whose link stays open.
    Milliseconds firstAnnouncementTimeout_ { 3000 }; ///< For a VM that has not sent an announcement yet.
    Milliseconds recoveryPeriod_ { 2000 }; ///< Before an unreachable VM counts as reachable again.
    Milliseconds removalDelay_ { 60000 }; ///< For an unreachable VM that is no longer listed.
};

/** Another VM of the zone. */
struct Peer {
    PeerFrame lastAnnouncement_; ///< Empty if none was received.
    std::string listedAddress_;
    bool isListed_ = false;
    bool hasAnnounced_ = false;
    bool isDisconnected_ = false; ///< No link to it is open.
    bool isUnreachable_ = false;
    MonotonicTime addedAt_; ///< When it was added to the table.
    MonotonicTime lastHeardAt_;
    MonotonicTime reachableSince_; ///< Start of the current uninterrupted period.
    MonotonicTime disconnectedAt_;
};

/** The other VMs of the zone, by id. */
struct PeerTable {
    PeerTiming timing_;
    std::map<VmId, Peer> peers_;
};

/** Applies the platform's list of the other VMs of the zone. */
void applyListedPeers(PeerTable& table, const Members& listed, MonotonicTime now);
/** Applies an announcement of a peer. */
void recordAnnouncement(PeerTable& table, const PeerFrame& announcement, MonotonicTime now);
/** Records that no link to a peer is open. */
void recordDisconnect(PeerTable& table, const VmId& vm, MonotonicTime now);

/** Whether this VM itself can reach a peer, regardless of what other peers say. Pure. */
bool isDirectlyReachable(const PeerTable& table, const Peer& peer, MonotonicTime now);
/** Returns the reachable peers and their addresses, for announcements. Pure.
 *
 * Two VMs that a lagging list does not contain discover each other through a third. */
std::map<std::string, std::string> reachablePeers(const PeerTable& table, MonotonicTime now);
/** Returns the peers that this VM itself cannot reach, for announcements. Pure. */
std::vector<VmId> unreachablePeers(const PeerTable& table, MonotonicTime now);

/** Updates `isUnreachable_` of all peers. Returns whether it changed for any of them. */
bool updateReachability(PeerTable& table, MonotonicTime now);

/** Returns the platform's list, corrected by the announcements of the peers. Pure. */
Members correctedMembers(const PeerTable& table, const ZoneId& zone, const Members& listed);

/** Returns the reachable peer that has announced that it holds a shard of the zone. Pure. */
std::optional<VmId> holderOf(const PeerTable& table, ShardIndex shard, MonotonicTime now);

/** Whether each known VM of the zone has announced which shards it holds, or is unreachable. Pure. */
bool hasZoneReported(const PeerTable& table, MonotonicTime now);

} // namespace fescue
