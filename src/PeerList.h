#pragma once

/** \file
 * PeerList: the other entry VMs, as their entries in the platform's store and our calls to them show them.
 *
 * Each VM writes one entry when it starts and removes it when it drains. An entry may outlive its VM; a peer
 * that does not answer is passed over for a while, longer each time.
 */

#include "Members.h"

#include <map>

namespace fescue {

/** A VM as it announces itself. */
struct PeerEntry {
    VmId vm_;
    ZoneId zone_;
    std::string address_; ///< `ip:port` for other VMs.
    WriterId writer_; ///< Of its present process.
};

/** What our last calls to a peer showed. */
struct PeerTrouble {
    std::uint32_t failures_ = 0; ///< In a row.
    MonotonicTime notBefore_;
};

/** The known peers, this VM included. */
struct PeerList {
    VmId own_;
    bool hasStore_ = true; ///< Whether this VM reaches the store; without it another one is to be asked.
    std::map<VmId, PeerEntry> peers_;
    std::map<VmId, PeerTrouble> trouble_;
};

/** Value of a VM's entry in the store. Pure. */
std::string peerValue(const PeerEntry& peer);
/** Reads an entry; nothing when it is none. Pure. */
std::optional<PeerEntry> parsePeer(const std::string& key, const std::string& value);

/** Takes the outcome of a call to a peer. */
void notePeerOutcome(PeerList& list, const VmId& peer, bool isAnswered, MonotonicTime now);

/** The VM of a zone that is expected to keep a program's budget, this one included; nothing when none is
 * known. Pure. */
std::optional<PeerEntry> homeOf(
    const PeerList& list, const ZoneId& zone, const ProgramId& program, MonotonicTime now);

/** The peer whose present process writes under this id, if it can be asked now. Pure. */
std::optional<PeerEntry> peerOfWriter(const PeerList& list, const WriterId& writer, MonotonicTime now);

} // namespace fescue
