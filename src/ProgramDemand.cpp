#include "ProgramDemand.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace fescue {

namespace {

    using WorkspaceDemands = std::map<WorkspaceId, WorkspaceDemand>;

    double programsOf(const WorkspaceDemands& demands)
    {
        return std::accumulate(demands.begin(), demands.end(), 0.0,
            [](double sum, const auto& entry) { return sum + entry.second.programs_; });
    }

    double allPrograms(const ProgramDemand& demand)
    {
        return std::accumulate(demand.asked_.begin(), demand.asked_.end(), 0.0,
            [](double sum, const auto& entry) { return sum + programsOf(entry.second); });
    }

    // The most that may be refused of anybody.
    double maxRefusedShare(double refusedShare, const DemandOptions& options)
    {
        return 1 - options.minRelativeShare_ * (1 - refusedShare);
    }

    // Counts decay by the same factor, so only their proportions matter for the shares.
    void decay(ProgramDemand& demand, MonotonicTime now, const DemandOptions& options)
    {
        constexpr double negligible = 0.02;
        auto elapsed = static_cast<double>((now - demand.decayedAt_).count());
        double factor = std::exp(-elapsed / static_cast<double>(options.window_.count()));
        demand.decayedAt_ = now;
        for (auto rank = demand.asked_.begin(); rank != demand.asked_.end();) {
            WorkspaceDemands& workspaces = rank->second;
            for (auto entry = workspaces.begin(); entry != workspaces.end();) {
                entry->second.programs_ *= factor;
                entry = entry->second.programs_ < negligible ? workspaces.erase(entry) : std::next(entry);
            }
            rank = workspaces.empty() ? demand.asked_.erase(rank) : std::next(rank);
        }
    }

    // The programs per weight up to which workspaces are served, so that `room` programs are served in all.
    double servedPerWeight(const WorkspaceDemands& demands, double room)
    {
        std::vector<const WorkspaceDemand*> byNeed;
        double weights = 0;
        for (const auto& [id, demand] : demands) {
            byNeed.push_back(&demand);
            weights += demand.weight_;
        }
        auto needOf = [](const WorkspaceDemand& demand) { return demand.programs_ / demand.weight_; };
        std::sort(byNeed.begin(), byNeed.end(),
            [&needOf](const auto* a, const auto* b) { return needOf(*a) < needOf(*b); });
        double level = 0;
        for (const WorkspaceDemand* next : byNeed) {
            level = room / weights;
            if (needOf(*next) >= level)
                return level;
            room -= next->programs_;
            weights -= next->weight_;
        }
        return byNeed.empty() ? 0 : std::max(level, needOf(*byNeed.back()));
    }

} // namespace

void recordProgram(ProgramDemand& demand, CallRank rank, const WorkspaceId& workspace, double weight,
    MonotonicTime now, const DemandOptions& options)
{
    constexpr double minWeight = 0.01;
    decay(demand, now, options);
    WorkspaceDemand& entry = demand.asked_[rank][workspace];
    entry.programs_ += 1;
    entry.weight_ = std::max(minWeight, weight);
}

double lessUrgentShare(const ProgramDemand& demand, CallRank rank)
{
    double less = 0;
    for (auto other = demand.asked_.upper_bound(rank); other != demand.asked_.end(); ++other)
        less += programsOf(other->second);
    return less == 0 ? 0 : less / allPrograms(demand);
}

double crowdShareBeside(const ProgramDemand& demand, CallRank rank, const WorkspaceId& workspace)
{
    constexpr double crowdFactor = 2;
    auto demands = demand.asked_.find(rank);
    if (demands == demand.asked_.end())
        return 0;
    double weights = std::accumulate(demands->second.begin(), demands->second.end(), 0.0,
        [](double sum, const auto& entry) { return sum + entry.second.weight_; });
    double maxNeed = crowdFactor * programsOf(demands->second) / weights;
    double excess = 0;
    for (const auto& [id, other] : demands->second) {
        double own = std::max(0.0, other.programs_ - maxNeed * other.weight_);
        if (id == workspace && own > 0)
            return 0;
        excess += own;
    }
    return excess / allPrograms(demand);
}

double refusedShareOfRank(
    const ProgramDemand& demand, CallRank rank, double refusedShare, const DemandOptions& options)
{
    double toRefuse = refusedShare * allPrograms(demand);
    double most = maxRefusedShare(refusedShare, options);
    for (auto other = demand.asked_.rbegin(); other != demand.asked_.rend(); ++other) {
        double programs = programsOf(other->second);
        double refused = std::clamp(toRefuse, 0.0, most * programs);
        if (other->first == rank)
            return refused / programs;
        toRefuse -= refused;
    }
    return refusedShare;
}

double refusedShareOf(const ProgramDemand& demand, CallRank rank, const WorkspaceId& workspace,
    double refusedShare, const DemandOptions& options)
{
    double ofRank = refusedShareOfRank(demand, rank, refusedShare, options);
    auto demands = demand.asked_.find(rank);
    if (demands == demand.asked_.end())
        return ofRank;
    auto own = demands->second.find(workspace);
    if (own == demands->second.end())
        return ofRank;
    double level = servedPerWeight(demands->second, (1 - ofRank) * programsOf(demands->second));
    double refused = 1 - level * own->second.weight_ / own->second.programs_;
    return std::clamp(refused, 0.0, maxRefusedShare(refusedShare, options));
}

} // namespace fescue
