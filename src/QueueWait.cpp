#include "QueueWait.h"

#include "TargetChoice.h"

#include <algorithm>

namespace fescue {

namespace {

    bool isSameKind(const QueuedCall& a, const QueuedCall& b)
    {
        return a.model_ == b.model_ && a.service_ == b.service_;
    }

    double endsPerMsAt(const TargetState& state)
    {
        double byWindow = state.window_.size_ / std::max(1.0, state.load_.speed_.callMs_);
        if (!state.gate_.rate_)
            return byWindow;
        // Permits come irregularly, so a call that counted on all of them would often miss its deadline.
        constexpr double reliableShare = 0.5;
        constexpr double msPerSecond = 1000;
        double perSecond = state.gate_.expected_.value_or(*state.gate_.rate_).value_;
        return std::min(byWindow, perSecond / msPerSecond * reliableShare);
    }

    double freeSlotsAt(const TargetState& state, MonotonicTime now)
    {
        double inWindow = std::max(0.0, state.window_.size_ - state.inFlight_);
        if (!state.gate_.rate_)
            return inWindow;
        return isHeld(state.gate_, now) ? 0 : std::min(inWindow, 1.0);
    }

    // How soon the targets of a call take queued calls.
    struct Throughput {
        double endsPerMs_ = 0;
        double freeSlots_ = 0;
        bool isLimited_ = false; ///< One of the targets has named a rate.
    };

    // Estimates the rate at which slots become free by Little's law. Unlike a rate of past completions, it is
    // valid from the first call on and after idle periods.
    Throughput throughputFor(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
    {
        Throughput throughput;
        for (const auto& [id, state] : pool.targets_) {
            if (!acceptsNewCalls(pool, state, now) || !servesCall(state.target_, call))
                continue;
            throughput.endsPerMs_ += endsPerMsAt(state);
            throughput.freeSlots_ += freeSlotsAt(state, now);
            throughput.isLimited_ = throughput.isLimited_ || state.gate_.rate_;
        }
        return throughput;
    }

    Milliseconds waitBehind(const Throughput& throughput, std::ptrdiff_t callsAhead)
    {
        constexpr double minEndsPerMs = 0.0002;
        double waiting = std::max(0.0, static_cast<double>(callsAhead) - throughput.freeSlots_);
        double wait = waiting / std::max(minEndsPerMs, throughput.endsPerMs_);
        return Milliseconds { static_cast<std::int64_t>(wait) };
    }

    Milliseconds expectedWaitBehind(
        const TargetPool& pool, const QueuedCall& call, std::ptrdiff_t callsAhead, MonotonicTime now)
    {
        return waitBehind(throughputFor(pool, call, now), callsAhead);
    }

} // namespace

Milliseconds expectedWait(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
{
    auto callsAhead = static_cast<std::ptrdiff_t>(dispatchesBefore(pool.queue_, call, now));
    return expectedWaitBehind(pool, call, callsAhead, now);
}

Milliseconds expectedWaitAtEnd(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
{
    const auto& calls = pool.queue_.calls_;
    auto callsAhead = std::count_if(
        calls.begin(), calls.end(), [&call](const QueuedCall& other) { return isSameKind(other, call); });
    return expectedWaitBehind(pool, call, callsAhead, now);
}

std::vector<DispatchId> hopelessCalls(const TargetPool& pool, MonotonicTime now)
{
    struct Kind {
        Throughput throughput_;
        std::ptrdiff_t calls_ = 0;
    };
    std::map<std::pair<ModelId, ServiceId>, Kind> kinds;
    std::vector<DispatchId> hopeless;
    for (const QueuedCall& call : pool.queue_.calls_) {
        auto [entry, isNew] = kinds.try_emplace({ call.model_, call.service_ });
        Kind& kind = entry->second;
        if (isNew)
            kind.throughput_ = throughputFor(pool, call, now);
        bool isTooLate = call.deadline_ && now + waitBehind(kind.throughput_, kind.calls_) > *call.deadline_;
        if (isTooLate && kind.throughput_.isLimited_)
            hopeless.push_back(call.id_);
        else
            ++kind.calls_;
    }
    return hopeless;
}

} // namespace fescue
