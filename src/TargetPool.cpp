#include "TargetPool.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr Milliseconds firstBackoff { 250 };
    constexpr Milliseconds longestBackoff { 10000 };
    constexpr Milliseconds shortestRetryAfter { 500 };
    constexpr std::uint64_t retrySpreadMs = 1500;

    bool serves(const Target& target, const QueuedCall& call)
    {
        if (!call.service_.empty())
            return target.service_ == call.service_;
        return std::find(target.models_.begin(), target.models_.end(), call.model_) != target.models_.end();
    }

    bool isServedByAny(const TargetPool& pool, const QueuedCall& call)
    {
        return std::any_of(pool.targets_.begin(), pool.targets_.end(), [&call](const auto& entry) {
            return !entry.second.target_.isLeaving_ && serves(entry.second.target_, call)
                && !call.avoid_.count(entry.first);
        });
    }

    bool hasRoom(const TargetState& state, const QueuedCall& call, MonotonicTime now)
    {
        return !state.target_.isLeaving_ && state.inFlight_ < state.window_ && now >= state.notBefore_
            && serves(state.target_, call) && !call.avoid_.count(state.target_.id_);
    }

    Milliseconds spread(Random& random)
    {
        std::uniform_int_distribution<std::uint64_t> jitter(0, retrySpreadMs);
        return shortestRetryAfter + Milliseconds { jitter(random) };
    }

    // Lower is better: another zone costs a little, another target than the last costs the cached prefix.
    std::int64_t costOf(const TargetPool& pool, const TargetState& state, const QueuedCall& call)
    {
        constexpr std::int64_t costOfCallInFlight = 1000;
        constexpr std::int64_t costOfOtherZone = 500;
        auto last = pool.lastTarget_.find(call.program_);
        bool isCached = last != pool.lastTarget_.end() && last->second == state.target_.id_;
        return state.inFlight_ * costOfCallInFlight
            + (state.target_.zone_ == pool.zone_ ? 0 : costOfOtherZone)
            + (isCached ? 0 : call.contextTokens_.value_);
    }

    TargetState* chooseTarget(TargetPool& pool, const QueuedCall& call, MonotonicTime now, Random& random)
    {
        std::vector<TargetState*> best;
        std::int64_t bestCost = 0;
        for (auto& [id, state] : pool.targets_) {
            if (!hasRoom(state, call, now))
                continue;
            std::int64_t cost = costOf(pool, state, call);
            if (best.empty() || cost < bestCost)
                best.clear();
            if (best.empty())
                bestCost = cost;
            if (cost == bestCost)
                best.push_back(&state);
        }
        if (best.empty())
            return nullptr;
        std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
        return best[pick(random)];
    }

    void backOff(TargetState& state, MonotonicTime now)
    {
        constexpr std::uint32_t mostDoublings = 6;
        auto doublings = std::min(state.failures_, mostDoublings);
        ++state.failures_;
        state.notBefore_ = now + std::min(firstBackoff * (1 << doublings), longestBackoff);
    }

} // namespace

void setTargets(TargetPool& pool, const Manifest& manifest)
{
    std::map<TargetId, TargetState> next;
    for (const auto& [id, target] : manifest.targets_) {
        auto known = pool.targets_.find(id);
        if (known != pool.targets_.end())
            next[id] = known->second;
        next[id].target_ = target;
    }
    pool.targets_ = std::move(next);
}

tl::expected<void, Problem> enqueueCall(TargetPool& pool, QueuedCall call, MonotonicTime, Random& random)
{
    if (!isServedByAny(pool, call))
        return tl::make_unexpected(Problem { ProblemKind::NoTarget, RunState::NotRun,
            "no target serves this call; check the pools of the manifest", spread(random) });
    if (pool.queue_.size() >= pool.queueLimit_)
        return tl::make_unexpected(Problem { ProblemKind::Overloaded, RunState::NotRun,
            "all targets are busy and the queue is full; send the call again after the time given",
            spread(random) });
    pool.queue_.push_back(std::move(call));
    return {};
}

std::vector<Dispatch> nextDispatches(TargetPool& pool, MonotonicTime now, Random& random)
{
    std::vector<Dispatch> dispatches;
    for (auto call = pool.queue_.begin(); call != pool.queue_.end();) {
        TargetState* state = chooseTarget(pool, *call, now, random);
        if (!state) {
            ++call;
            continue;
        }
        ++state->inFlight_;
        pool.running_[call->id_] = state->target_.id_;
        if (!call->program_.empty() && !call->model_.empty())
            pool.lastTarget_[call->program_] = state->target_.id_;
        dispatches.push_back({ call->id_, state->target_ });
        call = pool.queue_.erase(call);
    }
    return dispatches;
}

void dispatchEnded(TargetPool& pool, DispatchId id, DispatchEnd end, MonotonicTime now)
{
    auto running = pool.running_.find(id);
    if (running == pool.running_.end())
        return;
    auto target = pool.targets_.find(running->second);
    pool.running_.erase(running);
    if (target == pool.targets_.end())
        return;
    TargetState& state = target->second;
    --state.inFlight_;
    if (end == DispatchEnd::Answered)
        state.failures_ = 0;
    else if (end != DispatchEnd::Cancelled)
        backOff(state, now);
}

bool removeQueued(TargetPool& pool, DispatchId id)
{
    auto found = std::find_if(
        pool.queue_.begin(), pool.queue_.end(), [id](const QueuedCall& call) { return call.id_ == id; });
    if (found == pool.queue_.end())
        return false;
    pool.queue_.erase(found);
    return true;
}

void forgetProgram(TargetPool& pool, const ProgramId& program) { pool.lastTarget_.erase(program); }

} // namespace fescue
