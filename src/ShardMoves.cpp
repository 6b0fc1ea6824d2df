#include "ShardMoves.h"

#include <mutex>

namespace fescue {

namespace {

    constexpr Milliseconds heldPatience { 3000 }; ///< As long as a claim is waited for.
    constexpr Milliseconds heldRetryAfter { 1000 };

    // A request that waits until its shard can move.
    struct HeldRequest {
        RequestId request_;
        ShardKey shard_;
        VmId to_;
        MonotonicTime since_;
    };

    // It was not decided on here, but an earlier attempt of the same call may have run.
    Problem notMoved()
    {
        return { ProblemKind::LogUnavailable, RunState::Unknown,
            "the program's shard is on its way to another VM and the log service has not confirmed that yet; "
            "send the same call again",
            heldRetryAfter };
    }

} // namespace

struct ShardMoves::Impl {
    VmId vm_;
    ZoneId zone_;
    ShardHomes& homes_;
    PeerLinks& peers_;
    RequestTable& requests_;
    ShardMoveSources sources_;
    std::mutex mutex_;
    std::vector<HeldRequest> held_;

    std::optional<VmId> holderElsewhere(const ShardKey& shard) const
    {
        return shard.zone_ == zone_ ? peers_.holderOf(shard.index_) : std::nullopt;
    }

    // A shard moves only while nothing of it is under way, unless this VM does not own it at all.
    bool isMovedAway(const ShardKey& shard, RequestId request, bool isForced)
    {
        bool isDraining = sources_.isDraining_();
        if (isForced && !isDraining)
            return false;
        bool isOwned = homes_.isOwned(shard);
        if (auto holder = isOwned || isForced ? std::nullopt : holderElsewhere(shard)) {
            requests_.sendMoved(request, *holder);
            return true;
        }
        auto expected = expectedOwner(sources_.members_(), shard);
        if (!expected)
            return isDraining && refuseLast(request);
        if (expected->vm_ == vm_)
            return false;
        auto state = homes_.letGo(shard);
        if (state == ShardHomes::LetGo::Settling || (state == ShardHomes::LetGo::Busy && isDraining))
            return hold({ request, shard, expected->vm_, monotonicNow() });
        if (state == ShardHomes::LetGo::Busy)
            return false;
        if (isOwned)
            peers_.announceNow();
        requests_.sendMoved(request, expected->vm_);
        return true;
    }

    bool hold(HeldRequest held)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        held_.push_back(std::move(held));
        return true;
    }

    // The last VM of a zone has nobody to hand its shards to. An earlier attempt of the call may have run.
    bool refuseLast(RequestId request)
    {
        constexpr Milliseconds retryAfter { 1000 };
        requests_.sendProblem(request,
            { ProblemKind::ShuttingDown, RunState::Unknown,
                "the last scheduler of the program's zone is shutting down; send the same call again later",
                retryAfter });
        return true;
    }

    // While this VM drains, its grace is the bound: see `refuseHeld`.
    void moveHeld()
    {
        bool isDraining = sources_.isDraining_();
        auto now = monotonicNow();
        if (isDraining)
            homes_.flushNow();
        std::lock_guard<std::mutex> lock(mutex_);
        std::vector<HeldRequest> later;
        bool hasMoved = false;
        for (const HeldRequest& held : held_) {
            if (homes_.letGo(held.shard_) == ShardHomes::LetGo::Gone) {
                requests_.sendMoved(held.request_, held.to_);
                hasMoved = true;
            } else if (!isDraining && now - held.since_ >= heldPatience) {
                requests_.sendProblem(held.request_, notMoved());
            } else {
                later.push_back(held);
            }
        }
        held_ = std::move(later);
        if (hasMoved)
            peers_.announceNow();
    }
};

ShardMoves::ShardMoves(VmId vm, ZoneId zone, ShardHomes& homes, PeerLinks& peers, RequestTable& requests,
    ShardMoveSources sources)
    : impl_(new Impl { std::move(vm), std::move(zone), homes, peers, requests, std::move(sources), {}, {} })
{
}

ShardMoves::~ShardMoves() = default;

bool ShardMoves::isMovedAway(const ShardKey& shard, RequestId request, bool isForced)
{
    return impl_->isMovedAway(shard, request, isForced);
}

void ShardMoves::tick() { impl_->moveHeld(); }

void ShardMoves::refuseHeld()
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    for (const HeldRequest& held : impl_->held_)
        impl_->refuseLast(held.request_);
    impl_->held_.clear();
}

} // namespace fescue
