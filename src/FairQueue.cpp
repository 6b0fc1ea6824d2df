#include "FairQueue.h"

#include <algorithm>
#include <vector>

namespace fescue {

namespace {

    double weightOf(const FairQueue& queue, const WorkspaceId& workspace)
    {
        constexpr double minWeight = 0.01;
        auto found = queue.weights_.find(workspace);
        return found == queue.weights_.end() ? 1 : std::max(minWeight, found->second);
    }

    // A call with its sort keys: the virtual time at which its workspace reaches it, then its rank.
    struct Ranked {
        double rank_ = 0;
        double virtualMs_ = 0;
        QueuedCall* call_ = nullptr;
    };

    // Sets the virtual time at which each workspace reaches each of its calls, charging a mean duration per
    // call.
    void setVirtualTimes(const FairQueue& queue, std::vector<Ranked>& calls)
    {
        constexpr double meanCallMs = 5000;
        std::map<WorkspaceId, double> reached = queue.virtualTimeMs_;
        for (Ranked& ranked : calls) {
            double& virtualMs = reached[ranked.call_->workspace_];
            ranked.virtualMs_ = virtualMs;
            virtualMs += meanCallMs / weightOf(queue, ranked.call_->workspace_);
        }
    }

    DispatchKind kindOf(const QueuedCall& call) { return { call.model_, call.service_ }; }

    // Merges the classes of calls; within a class the order stays.
    std::vector<QueuedCall*> orderedByClass(
        const FairQueue& queue, const std::vector<Ranked>& ranked, MonotonicTime now)
    {
        using Class = std::vector<QueuedCall*>;
        std::map<DispatchKind, std::map<CallClass, Class>> kinds;
        std::set<CallClass> classes;
        Class ordered;
        for (const Ranked& next : ranked) {
            CallClass callClass = classOf(*next.call_, now);
            kinds[kindOf(*next.call_)][callClass].push_back(next.call_);
            classes.insert(callClass);
            ordered.push_back(next.call_);
        }
        if (classes.size() < 2)
            return ordered;
        ordered.clear();
        for (const auto& [kind, members] : kinds) {
            auto found = queue.earned_.find(kind);
            EarnedDispatches earned = found == queue.earned_.end() ? EarnedDispatches {} : found->second;
            WaitingCalls waiting;
            for (const auto& [callClass, calls] : members)
                waiting[callClass] = calls.size();
            while (!waiting.empty()) {
                CallClass next = nextClass(waiting, earned);
                const Class& calls = members.at(next);
                ordered.push_back(calls[calls.size() - waiting.at(next)]);
                recordDispatch(earned, waiting, next);
                if (--waiting[next] == 0)
                    waiting.erase(next);
            }
        }
        return ordered;
    }

} // namespace

void pushCall(FairQueue& queue, QueuedCall call)
{
    bool isWaiting = false;
    double minVirtualTime = -1;
    for (const QueuedCall& other : queue.calls_) {
        isWaiting = isWaiting || other.workspace_ == call.workspace_;
        double virtualTime = queue.virtualTimeMs_[other.workspace_];
        minVirtualTime = minVirtualTime < 0 ? virtualTime : std::min(minVirtualTime, virtualTime);
    }
    double& virtualTime = queue.virtualTimeMs_[call.workspace_];
    if (!isWaiting && minVirtualTime >= 0)
        virtualTime = std::max(virtualTime, minVirtualTime);
    queue.bytes_ += call.bytes_;
    queue.calls_.push_back(std::move(call));
}

void orderCalls(FairQueue& queue, MonotonicTime now)
{
    if (queue.calls_.size() < 2)
        return;
    std::vector<Ranked> ranked;
    ranked.reserve(queue.calls_.size());
    for (QueuedCall& call : queue.calls_) {
        double rank = rankOf(queue, call, now);
        ranked.push_back({ rank, 0, &call });
    }
    std::stable_sort(
        ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) { return a.rank_ < b.rank_; });
    setVirtualTimes(queue, ranked);
    std::stable_sort(ranked.begin(), ranked.end(),
        [](const Ranked& a, const Ranked& b) { return a.virtualMs_ < b.virtualMs_; });
    std::deque<QueuedCall> ordered;
    for (QueuedCall* next : orderedByClass(queue, ranked, now))
        ordered.push_back(std::move(*next));
    queue.calls_ = std::move(ordered);
}

void recordDispatch(FairQueue& queue, const QueuedCall& call, MonotonicTime now)
{
    DispatchKind kind = kindOf(call);
    if (queue.calls_.size() < 2) {
        queue.earned_.clear();
        return;
    }
    WaitingCalls waiting;
    for (const QueuedCall& other : queue.calls_) {
        if (kindOf(other) == kind)
            ++waiting[classOf(other, now)];
    }
    recordDispatch(queue.earned_[kind], waiting, classOf(call, now));
}

void chargeService(FairQueue& queue, const QueuedCall& call, double engineMs, MonotonicTime now)
{
    if (!call.program_.empty()) {
        AttainedService& attained = queue.attained_[call.program_];
        attained.engineMs_ += engineMs;
        attained.lastUse_ = now;
    }
    queue.virtualTimeMs_[call.workspace_] += engineMs / weightOf(queue, call.workspace_);
}

void evictIdlePrograms(FairQueue& queue, MonotonicTime before)
{
    for (auto program = queue.attained_.begin(); program != queue.attained_.end();) {
        if (program->second.lastUse_ < before)
            program = queue.attained_.erase(program);
        else
            ++program;
    }
}

bool goesBefore(const FairQueue& queue, const QueuedCall& call, const QueuedCall& other, MonotonicTime now)
{
    if (kindOf(call) != kindOf(other))
        return false;
    CallClass first = classOf(call, now);
    CallClass second = classOf(other, now);
    if (first < second || second < first)
        return first < second;
    return rankOf(queue, call, now) <= rankOf(queue, other, now);
}

double dispatchesBefore(const FairQueue& queue, const QueuedCall& call, MonotonicTime now)
{
    CallClass own = classOf(call, now);
    double before = 0;
    double beforeInClass = 0;
    double inClass = 1; // With the call itself.
    double all = 1;
    for (const QueuedCall& other : queue.calls_) {
        if (kindOf(other) != kindOf(call) || other.id_ == call.id_)
            continue;
        CallClass callClass = classOf(other, now);
        bool isOfClass = !(callClass < own) && !(own < callClass);
        bool goesFirst = goesBefore(queue, other, call, now);
        all += 1;
        inClass += isOfClass ? 1 : 0;
        before += goesFirst ? 1 : 0;
        beforeInClass += isOfClass && goesFirst ? 1 : 0;
    }
    double byShare = (beforeInClass + 1) * all / (minRelativeShare * inClass);
    return std::min(before, byShare);
}

double rankOf(const FairQueue& queue, const QueuedCall& call, MonotonicTime now)
{
    auto found = queue.attained_.find(call.program_);
    double attained = found == queue.attained_.end() ? 0 : found->second.engineMs_;
    return attained - queue.agingRate_ * static_cast<double>((now - call.arrived_).count());
}

} // namespace fescue
