#pragma once

/** \file
 * ProgramDemand: divides room for new programs between ranks and workspaces.
 *
 * Answers bursts, in which programs ask for about twice the room that there is for a few seconds, and crowds,
 * in which one workspace asks for several times its usual share. A VM counts the programs that have asked it
 * lately. What has to be refused is taken from the least urgent rank first, and within a rank from the
 * workspaces that ask for more than their share (max-min fairness by weight). Nobody is refused altogether
 * while others are served.
 */

#include "CallOrder.h"

#include <map>

namespace fescue {

/** Programs of one workspace that have asked lately. */
struct WorkspaceDemand {
    double programs_ = 0; ///< Old ones count less.
    double weight_ = 1; ///< Of the workspace's share; positive.
};

/** Programs that have asked this VM lately, by rank and workspace. */
struct ProgramDemand {
    std::map<CallRank, std::map<WorkspaceId, WorkspaceDemand>> asked_;
    MonotonicTime decayedAt_;
};

/** Parameters of the shares. */
struct DemandOptions {
    /** Time in which the count of a program falls to a third: bursts last 3 to 6 seconds. */
    Milliseconds window_ { 4000 };
    /** Everybody is served at least this share of what is served of all programs. */
    double minRelativeShare_ = minRelativeShare;
};

/** Counts a program that asks. Thread safety: none, like the functions below; those are pure. */
void recordProgram(ProgramDemand& demand, CallRank rank, const WorkspaceId& workspace, double weight,
    MonotonicTime now, const DemandOptions& options = {});

/** The share of the programs that have asked lately that are less urgent than a rank. */
double lessUrgentShare(const ProgramDemand& demand, CallRank rank);

/** The share of the programs that have asked lately that other workspaces of a rank ask for beyond twice
 * their share of it; 0 for a workspace that does so itself. */
double crowdShareBeside(const ProgramDemand& demand, CallRank rank, const WorkspaceId& workspace);

/** The share of a rank's programs to refuse if `refusedShare` of all have to be. */
double refusedShareOfRank(
    const ProgramDemand& demand, CallRank rank, double refusedShare, const DemandOptions& options = {});

/** The share of a workspace's programs to refuse if `refusedShare` of all have to be. Precondition of both: a
 * program of this rank and workspace has been recorded. */
double refusedShareOf(const ProgramDemand& demand, CallRank rank, const WorkspaceId& workspace,
    double refusedShare, const DemandOptions& options = {});

} // namespace fescue
