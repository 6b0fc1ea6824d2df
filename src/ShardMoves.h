#pragma once

/** \file
 * ShardMoves: what becomes of a request whose shard is expected at another VM, or held by one.
 *
 * A shard moves only while nothing of it is under way. A request that waits for the move is held here and
 * passed on once the shard has been let go.
 */

#include "PeerLinks.h"
#include "RequestTable.h"
#include "ShardHome.h"

namespace fescue {

/** What a VM knows of itself and of the others when it is asked. */
struct ShardMoveSources {
    std::function<Members()> members_; ///< Those of all zones, with this VM.
    std::function<bool()> isDraining_; ///< This VM is leaving.
};

/** Moves shards on request. All functions are safe from any thread and none waits.
 *
 * Precondition: what is handed in outlives it. */
class ShardMoves {
public:
    ShardMoves(VmId vm, ZoneId zone, ShardHomes& homes, PeerLinks& peers, RequestTable& requests,
        ShardMoveSources sources);
    ~ShardMoves();

    /** Whether the request was passed to the VM that the shard is expected at, or is held for that. */
    bool isMovedAway(const ShardKey& shard, RequestId request, bool isForced);
    /** Passes on what waits for shards that have been let go; to be called at a steady pace. */
    void tick();
    /** Gives what is still held its final answer. */
    void refuseHeld();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
