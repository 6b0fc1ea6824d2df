#include "ShardMoves.h"

#include <mutex>

namespace fescue {

namespace {

    constexpr Milliseconds maxHoldTime { 2000 };
    constexpr Milliseconds refusedRetryAfter { 1000 };

    // A request that waits until its shard can move or until the shard's holder is known.
    struct HeldRequest {
        ShardKey shard_;
        RequestId request_;
        bool isForced_ = false;
        ShardMoves::Serve serve_;
        MonotonicTime receivedAt_;
    };

    // The held request was not run, but an earlier request of the same call may have been.
    Problem shuttingDown(const char* detail)
    {
        return { ProblemKind::ShuttingDown, RunState::NotRun, detail, refusedRetryAfter, true };
    }

} // namespace

MoveAction chooseMoveAction(const MoveContext& context)
{
    if (context.isForced_ && !context.isDraining_)
        return MoveAction::Serve;
    if (!context.isOwned_ && !context.isForced_) {
        if (context.holder_)
            return MoveAction::ForwardToHolder;
        if (!context.hasPeerReports_)
            return MoveAction::Wait;
    }
    if (!context.expectedOwner_)
        return context.isDraining_ ? MoveAction::Refuse : MoveAction::Serve;
    return *context.expectedOwner_ == context.vm_ ? MoveAction::Serve : MoveAction::Release;
}

struct ShardMoves::Impl {
    VmId vm_;
    ZoneId zone_;
    ShardManager& shards_;
    PeerLinks& peers_;
    RequestTable& requests_;
    ShardMoveQueries queries_;
    std::mutex mutex_;
    std::vector<HeldRequest> held_;
    bool isShutDown_ = false; ///< Requests are refused instead of held.

    MoveContext contextFor(const ShardKey& shard, bool isForced) const
    {
        bool isOwnZone = shard.zone_ == zone_;
        MoveContext context { vm_, queries_.isDraining_(), shards_.isOwned(shard), isForced };
        context.hasPeerReports_ = !isOwnZone || (queries_.isReady_() && peers_.hasZoneReported());
        context.holder_ = isOwnZone ? peers_.holderOf(shard.index_) : std::nullopt;
        if (auto expected = expectedOwner(queries_.members_(), shard))
            context.expectedOwner_ = expected->vm_;
        return context;
    }

    void route(HeldRequest request)
    {
        MoveContext context = contextFor(request.shard_, request.isForced_);
        switch (chooseMoveAction(context)) {
        case MoveAction::Serve:
            return request.serve_();
        case MoveAction::ForwardToHolder:
            return requests_.sendMoved(request.request_, *context.holder_);
        case MoveAction::Release:
            return releaseFor(std::move(request), context);
        case MoveAction::Wait:
            return hold(std::move(request));
        case MoveAction::Refuse:
            return requests_.sendProblem(request.request_,
                shuttingDown("the last scheduler of the program's zone is shutting down; send the same call "
                             "again later"));
        }
    }

    void releaseFor(HeldRequest request, const MoveContext& context)
    {
        auto state = shards_.release(request.shard_);
        if (state == ShardManager::ReleaseState::Busy && !context.isDraining_)
            return request.serve_();
        if (state != ShardManager::ReleaseState::NotOwned)
            return hold(std::move(request));
        // The peers are notified first, so that the next owner does not send the request back.
        if (context.isOwned_)
            peers_.announceNow();
        requests_.sendMoved(request.request_, *context.expectedOwner_);
    }

    void hold(HeldRequest request)
    {
        if (monotonicNow() - request.receivedAt_ >= maxHoldTime)
            return request.serve_();
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (!isShutDown_)
                return held_.push_back(std::move(request));
        }
        refuse(request);
    }

    void refuse(const HeldRequest& request)
    {
        requests_.sendProblem(request.request_,
            shuttingDown("this scheduler is shutting down and could not hand the program's shard over in "
                         "time; retry the same call"));
    }

    std::vector<HeldRequest> takeHeld()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return std::exchange(held_, {});
    }

    // Flushes first, so that unspent tranches reach the log and the next owner can grant them.
    void releaseIdleShards()
    {
        shards_.flushNow();
        Members members = queries_.members_();
        bool hasMoved = false;
        for (std::uint32_t index = 0; index < shardsPerZone; ++index) {
            ShardKey shard { zone_, { index } };
            bool mayMove = shards_.isOwned(shard) && expectedOwner(members, shard);
            hasMoved
                = (mayMove && shards_.release(shard) == ShardManager::ReleaseState::NotOwned) || hasMoved;
        }
        if (hasMoved)
            peers_.announceNow();
    }
};

ShardMoves::ShardMoves(VmId vm, ZoneId zone, ShardManager& shards, PeerLinks& peers, RequestTable& requests,
    ShardMoveQueries queries)
    : impl_(new Impl { std::move(vm), std::move(zone), shards, peers, requests, std::move(queries), {}, {} })
{
}

ShardMoves::~ShardMoves() = default;

void ShardMoves::route(const ShardKey& shard, RequestId request, bool isForced, Serve serve)
{
    impl_->route({ shard, request, isForced, std::move(serve), monotonicNow() });
}

void ShardMoves::tick()
{
    if (impl_->queries_.isDraining_())
        impl_->releaseIdleShards();
    for (HeldRequest& request : impl_->takeHeld())
        impl_->route(std::move(request));
}

void ShardMoves::refuseHeld()
{
    {
        std::lock_guard<std::mutex> lock(impl_->mutex_);
        impl_->isShutDown_ = true;
    }
    for (const HeldRequest& request : impl_->takeHeld())
        impl_->refuse(request);
}

} // namespace fescue
