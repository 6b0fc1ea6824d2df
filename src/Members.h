#pragma once

/** \file
 * Members: the entry VMs of the system and the expected owner of each shard.
 *
 * Rendezvous hashing over the live VMs of a zone selects one owner per shard; when a VM leaves, only its
 * shards move. The result is a hint that affects latency only; safety never depends on it.
 */

#include "ProgramId.h"
#include "Types.h"

#include <optional>
#include <string>
#include <vector>

namespace fescue {

/** An entry VM as seen in the platform's list and by direct probes. */
struct Member {
    VmId vm_;
    ZoneId zone_;
    std::string address_; ///< `host:port` of its scheduler's frame server.
    bool isLeaving_ = false; ///< It accepts no new work.
    bool isReachable_ = true; ///< False if direct probes fail.

    friend bool operator==(const Member& a, const Member& b)
    {
        return a.vm_ == b.vm_ && a.zone_ == b.zone_ && a.address_ == b.address_
            && a.isLeaving_ == b.isLeaving_ && a.isReachable_ == b.isReachable_;
    }
};

using Members = std::vector<Member>;

/** The rendezvous hash by which VMs rank for a key; the highest is the first. Pure. */
std::uint64_t rankOf(const VmId& vm, const std::string& key);

/** Returns members in the order of their rendezvous hashes with a key. Pure. */
Members rankMembers(const Members& members, const std::string& key);

/** Returns the VM of a zone that is expected to own a key; nothing if the zone has no usable VM. Pure.
 *
 * Skips VMs that are leaving or unreachable. `rank` 1 selects the second choice, and so on. */
std::optional<Member> expectedMember(
    const Members& members, const ZoneId& zone, const std::string& key, std::size_t rank = 0);

/** Same as `expectedMember` with the shard as key, in the zone of the shard. Pure. */
std::optional<Member> expectedOwner(const Members& members, const ShardKey& shard, std::size_t rank = 0);

} // namespace fescue
