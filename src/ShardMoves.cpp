#include "ShardMoves.h"

#include <mutex>

namespace fescue {

namespace {

    constexpr Milliseconds longestHold { 2000 };
    constexpr Milliseconds refusedRetryAfter { 1000 };

    // A request that waits until its shard can move, or until it is known who holds it.
    struct HeldRequest {
        ShardKey shard_;
        RequestId request_;
        bool isForced_ = false;
        ShardMoves::Serve serve_;
        MonotonicTime since_;
    };

    // The request itself was held and is given up, but an earlier one of the same call may have run.
    Problem shuttingDown(const char* detail)
    {
        return { ProblemKind::ShuttingDown, RunState::NotRun, detail, refusedRetryAfter, true };
    }

} // namespace

MoveStep moveStep(const MoveStanding& standing)
{
    if (standing.isForced_ && !standing.isDraining_)
        return MoveStep::Serve;
    if (!standing.isOwned_ && !standing.isForced_) {
        if (standing.holder_)
            return MoveStep::PassToHolder;
        if (!standing.isZoneHeard_)
            return MoveStep::Wait;
    }
    if (!standing.expected_)
        return standing.isDraining_ ? MoveStep::Refuse : MoveStep::Serve;
    return *standing.expected_ == standing.vm_ ? MoveStep::Serve : MoveStep::LetGo;
}

struct ShardMoves::Impl {
    VmId vm_;
    ZoneId zone_;
    ShardHomes& homes_;
    PeerLinks& peers_;
    RequestTable& requests_;
    ShardMoveSources sources_;
    std::mutex mutex_;
    std::vector<HeldRequest> held_;
    bool isOver_ = false; ///< Nothing is held any more.

    MoveStanding standingOf(const ShardKey& shard, bool isForced) const
    {
        bool isOwnZone = shard.zone_ == zone_;
        MoveStanding standing { vm_, sources_.isDraining_(), homes_.isOwned(shard), isForced };
        standing.isZoneHeard_ = !isOwnZone || (sources_.isReady_() && peers_.isZoneHeard());
        standing.holder_ = isOwnZone ? peers_.holderOf(shard.index_) : std::nullopt;
        if (auto expected = expectedOwner(sources_.members_(), shard))
            standing.expected_ = expected->vm_;
        return standing;
    }

    void direct(HeldRequest request)
    {
        MoveStanding standing = standingOf(request.shard_, request.isForced_);
        switch (moveStep(standing)) {
        case MoveStep::Serve:
            return request.serve_();
        case MoveStep::PassToHolder:
            return requests_.sendMoved(request.request_, *standing.holder_);
        case MoveStep::LetGo:
            return letGoFor(std::move(request), standing);
        case MoveStep::Wait:
            return hold(std::move(request));
        case MoveStep::Refuse:
            return requests_.sendProblem(request.request_,
                shuttingDown("the last scheduler of the program's zone is shutting down; send the same call "
                             "again later"));
        }
    }

    void letGoFor(HeldRequest request, const MoveStanding& standing)
    {
        auto state = homes_.letGo(request.shard_);
        if (state == ShardHomes::LetGo::Busy && !standing.isDraining_)
            return request.serve_();
        if (state != ShardHomes::LetGo::Gone)
            return hold(std::move(request));
        // The peers are told first, so that the next VM does not send the request back.
        if (standing.isOwned_)
            peers_.announceNow();
        requests_.sendMoved(request.request_, *standing.expected_);
    }

    void hold(HeldRequest request)
    {
        if (monotonicNow() - request.since_ >= longestHold)
            return request.serve_();
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (!isOver_)
                return held_.push_back(std::move(request));
        }
        refuse(request);
    }

    void refuse(const HeldRequest& request)
    {
        requests_.sendProblem(request.request_,
            shuttingDown("this scheduler is shutting down and could not hand the program's shard over in "
                         "time; send the same call again"));
    }

    std::vector<HeldRequest> takeHeld()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return std::exchange(held_, {});
    }

    // What the shard may still spend goes back to the log, so that its next owner has it.
    void letGoIdle()
    {
        homes_.flushNow();
        Members members = sources_.members_();
        bool hasMoved = false;
        for (std::uint32_t index = 0; index < shardsPerZone; ++index) {
            ShardKey shard { zone_, { index } };
            bool mayMove = homes_.isOwned(shard) && expectedOwner(members, shard);
            hasMoved = (mayMove && homes_.letGo(shard) == ShardHomes::LetGo::Gone) || hasMoved;
        }
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

void ShardMoves::direct(const ShardKey& shard, RequestId request, bool isForced, Serve serve)
{
    impl_->direct({ shard, request, isForced, std::move(serve), monotonicNow() });
}

void ShardMoves::tick()
{
    if (impl_->sources_.isDraining_())
        impl_->letGoIdle();
    for (HeldRequest& request : impl_->takeHeld())
        impl_->direct(std::move(request));
}

void ShardMoves::refuseHeld()
{
    {
        std::lock_guard<std::mutex> lock(impl_->mutex_);
        impl_->isOver_ = true;
    }
    for (const HeldRequest& request : impl_->takeHeld())
        impl_->refuse(request);
}

} // namespace fescue
