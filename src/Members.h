#pragma once

/** \file
 * Members: the entry VMs of the system, and which of them a shard is expected at.
 *
 * Rendezvous hashing over the live VMs of a zone names one owner for each shard; when a VM goes, only its
 * shards move. The result is a hint that decides speed. Safety never rests on it.
 */

#include "ProgramId.h"
#include "Types.h"

#include <optional>
#include <string>
#include <vector>

namespace fescue {

/** An entry VM as the platform's list and the probes show it. */
struct Member {
    VmId vm_;
    ZoneId zone_;
    std::string address_; ///< `host:port` of its scheduler's frame server.
    bool isLeaving_ = false; ///< It takes no new work.
    bool isReachable_ = true; ///< False when direct probes fail.

    friend bool operator==(const Member& a, const Member& b)
    {
        return a.vm_ == b.vm_ && a.zone_ == b.zone_ && a.address_ == b.address_
            && a.isLeaving_ == b.isLeaving_ && a.isReachable_ == b.isReachable_;
    }
};

using Members = std::vector<Member>;

/** The VM of a zone that something is expected at, by its key; nothing when the zone has no usable VM. Pure.
 *
 * VMs that are leaving or out of reach are passed over. `rank` 1 gives the next best one, and so on. */
std::optional<Member> expectedMember(
    const Members& members, const ZoneId& zone, const std::string& key, std::size_t rank = 0);

/** The VM that a shard is expected at; nothing when its zone has no usable VM. Pure.
 *
 * As `expectedMember` with the shard as key. */
std::optional<Member> expectedOwner(const Members& members, const ShardKey& shard, std::size_t rank = 0);

} // namespace fescue
