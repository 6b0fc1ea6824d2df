#include "ProgramAdmission.h"

#include <algorithm>

namespace fescue {

namespace {

    double shareBetween(double occupancy, double none, double all)
    {
        return std::clamp((occupancy - none) / (all - none), 0.0, 1.0);
    }

    bool isAdmitted(double refused, Random& random)
    {
        return refused <= 0 || std::uniform_real_distribution<double>(0, 1)(random) >= refused;
    }

    double refusedByEngines(double occupancy, double offset, const AdmissionOptions& options)
    {
        return shareBetween(occupancy, options.refuseSomeAbove_ + offset, options.refuseAllAbove_ + offset);
    }

    double offsetOf(std::uint32_t priority, const AdmissionOptions& options)
    {
        return options.thresholdStepPerPriority_
            * (options.lowestPriority_ - std::min(priority, options.lowestPriority_));
    }

    // The share of those running that has to end before no more are refused.
    double excess(double occupancy, double threshold)
    {
        return occupancy <= threshold ? 0 : (occupancy - threshold) / occupancy;
    }

} // namespace

bool shouldAdmitProgram(
    double occupancy, std::uint32_t priority, const AdmissionOptions& options, Random& random)
{
    return isAdmitted(refusedByEngines(occupancy, offsetOf(priority, options), options), random);
}

double refusedShare(const ProgramOccupancy& occupancy, const ProgramApplicant& applicant,
    const ProgramDemand& demand, const AdmissionOptions& options)
{
    double yielding = lessUrgentShare(demand, applicant.rank_)
        + crowdShareBeside(demand, applicant.rank_, applicant.workspace_);
    double offset = offsetOf(applicant.rank_ == CallRank {} ? 0 : options.lowestPriority_, options)
        + options.reserve_ * yielding;
    double byTools
        = shareBetween(occupancy.tools_, options.refuseSomeAboveAtTools_, options.refuseAllAboveAtTools_);
    return std::max(refusedByEngines(occupancy.engines_, offset, options), byTools);
}

bool shouldAdmitProgram(const ProgramOccupancy& occupancy, const ProgramApplicant& applicant,
    const ProgramDemand& demand, const AdmissionOptions& options, Random& random)
{
    double ofAll = refusedShare(occupancy, applicant, demand, options);
    if (ofAll <= 0)
        return true;
    ProgramDemand all = demand;
    recordProgram(all, applicant.rank_, applicant.workspace_, applicant.weight_, all.decayedAt_);
    return isAdmitted(
        refusedShareOf(all, applicant.rank_, applicant.workspace_, ofAll, options.demand_), random);
}

ProgramRefusal causeOfRefusal(const ProgramOccupancy& occupancy, const ProgramApplicant& applicant,
    const ProgramDemand& demand, const AdmissionOptions& options)
{
    constexpr double margin = 0.01;
    double ofAll = refusedShare(occupancy, applicant, demand, options);
    ProgramDemand all = demand;
    recordProgram(all, applicant.rank_, applicant.workspace_, applicant.weight_, all.decayedAt_);
    double own = refusedShareOf(all, applicant.rank_, applicant.workspace_, ofAll, options.demand_);
    if (own > refusedShareOfRank(all, applicant.rank_, ofAll, options.demand_) + margin)
        return ProgramRefusal::WorkspaceShare;
    double byEngines = refusedShare({ occupancy.engines_, 0 }, applicant, demand, options);
    return byEngines < ofAll ? ProgramRefusal::Tools : ProgramRefusal::Engines;
}

const char* nameOf(ProgramRefusal refusal)
{
    switch (refusal) {
    case ProgramRefusal::Engines:
        return "engines";
    case ProgramRefusal::Tools:
        return "tools";
    case ProgramRefusal::WorkspaceShare:
        return "workspace-share";
    }
    return "unknown";
}

Milliseconds retryAfterRefusal(
    const ProgramOccupancy& occupancy, Milliseconds meanProgram, const AdmissionOptions& options)
{
    if (meanProgram.count() <= 0)
        return options.retryAfter_;
    double toEnd = std::max(excess(occupancy.engines_, options.refuseSomeAbove_),
        excess(occupancy.tools_, options.refuseSomeAboveAtTools_));
    constexpr double minAdmitted = 0.1;
    double admitted = std::max(minAdmitted,
        1 - refusedShare(occupancy, { { options.lowestPriority_, options.lowestPriority_ } }, {}, options));
    // Programs have begun at different times, so as many end in each part of their duration.
    auto wait = static_cast<std::int64_t>(toEnd / admitted * static_cast<double>(meanProgram.count()));
    return std::clamp(
        Milliseconds { wait }, options.minRetryAfter_, std::max(options.minRetryAfter_, meanProgram));
}

} // namespace fescue
