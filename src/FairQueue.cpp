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
    for (const Ranked& next : ranked)
        ordered.push_back(std::move(*next.call_));
    queue.calls_ = std::move(ordered);
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

double rankOf(const FairQueue& queue, const QueuedCall& call, MonotonicTime now)
{
    auto found = queue.attained_.find(call.program_);
    double attained = found == queue.attained_.end() ? 0 : found->second.engineMs_;
    return attained - queue.agingRate_ * static_cast<double>((now - call.arrived_).count());
}

} // namespace fescue
