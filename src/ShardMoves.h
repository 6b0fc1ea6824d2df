#pragma once

/** \file
 * ShardMoves: what becomes of a request whose shard is expected at another VM, or held by one.
 *
 * A VM lets a shard go only while nothing of it is under way, and the others leave it to the VM that says it
 * holds it. So a planned move cuts no call:
 *
 *     holder: busy -> hold new requests -> idle -> give back budgets -> let go, tell peers -> MovedFrame
 *
 * A request is held for a bounded time. After that the holder, which still owns the shard, serves it.
 */

#include "PeerLinks.h"
#include "RequestTable.h"
#include "ShardManager.h"

namespace fescue {

/** How a VM stands to a shard that a request is for. */
struct MoveContext {
    VmId vm_; ///< This VM.
    bool isDraining_ = false; ///< This VM is leaving.
    bool isOwned_ = false; ///< By this VM, as far as it knows.
    bool isForced_ = false; ///< The gateway found no other VM to serve the request.
    bool hasPeerReports_ = false; ///< The other VMs of the zone have told what they hold.
    std::optional<VmId> holder_; ///< Another VM that says it holds the shard.
    std::optional<VmId> expectedOwner_; ///< The expected owner; none when no VM of the zone can take it.
};

/** What a VM does with a request. */
enum class MoveAction {
    Serve, ///< Here, taking the shard over if need be.
    PassToHolder,
    Release, ///< Try to let the shard go, and pass the request to the expected owner.
    Wait, ///< Until it is known who holds the shard.
    Refuse, ///< This VM is leaving and there is no other.
};

/** Decides what to do with a request. Pure. */
MoveAction chooseMoveAction(const MoveContext& context);

/** What a VM knows of itself and of the others when it is asked. */
struct ShardMoveQueries {
    std::function<Members()> members_; ///< Those of all zones, with this VM.
    std::function<bool()> isReady_; ///< The members are known.
    std::function<bool()> isDraining_; ///< This VM is leaving.
};

/** Moves shards on request. All functions are safe from any thread and none waits.
 *
 * Precondition: what is handed in outlives it. */
class ShardMoves {
public:
    using Serve = std::function<void()>;

    ShardMoves(VmId vm, ZoneId zone, ShardManager& shards, PeerLinks& peers, RequestTable& requests,
        ShardMoveQueries sources);
    ~ShardMoves();

    /** Calls `serve` when the request is for this VM, now or from `tick`; else passes it on. */
    void route(const ShardKey& shard, RequestId request, bool isForced, Serve serve);
    /** Looks again at what is held and, when this VM is leaving, lets go what is idle; to be called at a
     * steady pace. */
    void tick();
    /** Gives what is held its final answer, and from now on what would be held. */
    void refuseHeld();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
