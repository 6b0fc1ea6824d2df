#pragma once

/** \file
 * ShardMoves: routes requests for shards that another VM holds or is expected to own.
 *
 * A VM releases a shard only while none of its calls or records is in flight, and the other VMs do not claim
 * a shard that a VM reports to hold. A planned move therefore interrupts no call:
 *
 *     holder: busy -> hold new requests -> idle -> return tranches -> release, notify peers -> MovedFrame
 *
 * A request is held for a limited time. After that the holder, which still owns the shard, serves it.
 */

#include "PeerLinks.h"
#include "RequestTable.h"
#include "ShardManager.h"

namespace fescue {

/** What decides how a VM handles a request for a shard. */
struct MoveContext {
    VmId vm_; ///< This VM.
    bool isDraining_ = false; ///< This VM is shutting down.
    bool isOwned_ = false; ///< By this VM, according to its ledger.
    bool isForced_ = false; ///< The gateway found no other VM to serve the request.
    bool hasPeerReports_ = false; ///< The other VMs of the zone have reported the shards that they hold.
    std::optional<VmId> holder_; ///< Another VM that reports to hold the shard.
    std::optional<VmId> expectedOwner_; ///< None if no VM of the zone can own it.
};

/** What a VM does with a request. */
enum class MoveAction {
    Serve, ///< Serve it here, taking over the shard if needed.
    ForwardToHolder,
    Release, ///< Try to release the shard, then forward the request to the expected owner.
    Wait, ///< Hold it until the holder of the shard is known.
    Refuse, ///< This VM is shutting down and no other VM can serve it.
};

/** Chooses the action for a request. Pure. */
MoveAction chooseMoveAction(const MoveContext& context);

/** Queries about this VM and the members of its cluster. */
struct ShardMoveQueries {
    std::function<Members()> members_; ///< Members of all zones, including this VM.
    std::function<bool()> isReady_; ///< The member list has been read.
    std::function<bool()> isDraining_; ///< This VM is shutting down.
};

/** Moves shards to their expected owners. All functions are thread-safe and do not block.
 *
 * Precondition: the constructor's arguments outlive the object. */
class ShardMoves {
public:
    using Serve = std::function<void()>;

    ShardMoves(VmId vm, ZoneId zone, ShardManager& shards, PeerLinks& peers, RequestTable& requests,
        ShardMoveQueries queries);
    ~ShardMoves();

    /** Calls `serve`, now or from `tick`, if this VM should serve the request; otherwise forwards or refuses
     * it. */
    void route(const ShardKey& shard, RequestId request, bool isForced, Serve serve);
    /** Retries held requests and, while this VM is shutting down, releases idle shards. Call periodically. */
    void tick();
    /** Refuses all held requests and, from now on, every request that would be held. */
    void refuseHeld();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
