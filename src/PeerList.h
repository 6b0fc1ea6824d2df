#pragma once

/** \file
 * PeerList: the entry VMs known from their entries in the platform's store, and their reachability.
 *
 * Each VM writes one entry when it starts and removes it when it drains. An entry may outlive its VM, so a
 * peer that does not answer is skipped with exponential backoff.
 */

#include "Members.h"

#include <map>
#include <set>

namespace fescue {

/** The entry that a VM writes about itself. */
struct PeerEntry {
    VmId vm_;
    ZoneId zone_;
    std::string address_; ///< `ip:port` for requests of other VMs.
    WriterId writer_; ///< Of its current process.
};

/** Backoff after failed calls to a peer. */
struct PeerBackoff {
    std::uint32_t failures_ = 0; ///< Consecutive.
    MonotonicTime retryAt_;
};

/** The known VMs, including this one. */
struct PeerList {
    VmId own_;
    bool isStoreReachable_ = true; ///< Without the store, this VM is not eligible as a home.
    std::map<VmId, PeerEntry> peers_;
    std::map<VmId, PeerBackoff> backoffs_;
    /** Of VMs that answer but are not served by the store; they cannot be a home, but grant what they hold.
     */
    std::map<VmId, PeerBackoff> withoutStore_;
};

/** Returns the value of a VM's entry in the store. Pure. */
std::string peerValue(const PeerEntry& peer);
/** Parses an entry; returns nothing if the record is not an entry. Pure. */
std::optional<PeerEntry> parsePeer(const std::string& key, const std::string& value);

/** Updates the backoff of a peer with the outcome of a call. */
void recordPeerOutcome(PeerList& list, const VmId& peer, bool isAnswered, MonotonicTime now);

/** Updates whether the store serves a peer that has answered. */
void recordPeerStore(PeerList& list, const VmId& peer, bool isServed, MonotonicTime now);

/** Returns the VMs that may decide on a turn in place of this one, which the store does not serve: the usable
 * VMs of the zone first, then those of the other zones, each in the order of their ranks for the program; at
 * most `count`, and none of `tried`. Pure. */
std::vector<PeerEntry> detoursOf(const PeerList& list, const ZoneId& zone, const ProgramId& program,
    const std::set<VmId>& tried, std::size_t count, MonotonicTime now);

/** Returns the home of a program: the VM of a zone that is expected to grant its turns. Nothing if the zone
 * has no usable VM. Pure. */
std::optional<PeerEntry> homeOf(
    const PeerList& list, const ZoneId& zone, const ProgramId& program, MonotonicTime now);

/** Returns the usable peers of a zone that rank first for a key, without this VM; at most `count`. Pure. */
std::vector<PeerEntry> peersFor(
    const PeerList& list, const ZoneId& zone, const std::string& key, std::size_t count, MonotonicTime now);

/** Returns the VMs of a zone in the order in which they rank for a key, whether they are usable or not; those
 * of all zones if the zone has none. Pure. */
std::vector<PeerEntry> rankedVms(const PeerList& list, const ZoneId& zone, const std::string& key);

/** Whether a VM may be called now. Pure. */
bool isUsable(const PeerList& list, const VmId& vm, MonotonicTime now);

/** Returns the peer whose current process has this writer id, unless it is in backoff. Pure. */
std::optional<PeerEntry> findPeerByWriter(const PeerList& list, const WriterId& writer, MonotonicTime now);

} // namespace fescue
