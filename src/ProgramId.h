#pragma once

/** \file
 * ProgramId: program ids, which encode the home shard.
 *
 * The form is `zone.shard.created.random`, for example `gr-a.17.lq3k9x2f.9f86d081884c7d65`: the home
 * zone, the shard within it, the creation time in milliseconds since 1970 (base 16), and 64 random bits.
 * A gateway finds the home shard without a lookup table, and a child program has the zone and shard of its
 * parent.
 */

#include "Types.h"

#include <optional>
#include <random>
#include <string>

namespace fescue {

/** Random generator for decisions; seeded, so that runs can be reproduced. */
using Random = std::mt19937_64;

/** Shards in each zone. Part of every program id, so it is the same in all processes and versions. */
constexpr std::uint32_t shardsPerZone = 32;

/** A shard of programs: the unit of ownership, locking and log order. */
struct ShardKey {
    ZoneId zone_;
    ShardIndex index_;

    friend bool operator==(const ShardKey& a, const ShardKey& b)
    {
        return a.zone_ == b.zone_ && a.index_ == b.index_;
    }
    friend bool operator!=(const ShardKey& a, const ShardKey& b) { return !(a == b); }
    friend bool operator<(const ShardKey& a, const ShardKey& b)
    {
        return a.zone_ == b.zone_ ? a.index_ < b.index_ : a.zone_ < b.zone_;
    }
};

/** Milliseconds since 1970, for display and ids only; never compared between machines. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/** Generates the id of a new program in a shard. Pure except for `random`. */
ProgramId makeProgramId(const ShardKey& shard, WallTime created, Random& random);

/** Parses the home shard from an id; none if the id is malformed. Pure. */
std::optional<ShardKey> shardOf(const ProgramId& program);

/** Name of the log stream of a shard, `shard/<zone>/<index>`. Pure. */
std::string streamOf(const ShardKey& shard);

/** Whether a zone's name is valid in a program id: 1 to 40 characters of `a-z`, `0-9` and `-`. Pure. */
bool isZoneName(const std::string& name);

} // namespace fescue
