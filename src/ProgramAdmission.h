#pragma once

/** \file
 * ProgramAdmission: admits new programs while the targets of their service are nearly full.
 *
 * A program is useful to its caller only if it completes in time; tokens spent on a late one are wasted. So
 * under overload the first turn of a new program is refused at once, with a retry time, while later turns of
 * admitted programs always proceed. Between two occupancy thresholds a growing share of new programs is
 * refused, so that VMs that do not coordinate do not all stop and resume admission at the same time.
 * `ProgramDemand` divides what is refused between ranks and workspaces.
 *
 * A program also fails with one call of a tool that fails. So the targets of the services that programs of
 * its route call count as well, but only once calls wait there: these calls are short, and their targets are
 * often busy for a moment.
 */

#include "ProgramDemand.h"
#include "ProgramId.h"
#include "Types.h"

namespace fescue {

/** Thresholds of occupancy: calls at all targets of the service divided by their slots. */
struct AdmissionOptions {
    double refuseSomeAbove_ = 0.60; ///< Above this, a growing share of new programs is refused.
    double refuseAllAbove_ = 0.80; ///< Above this, all are refused; each call would wait for a slot.
    /** Both thresholds are higher by this for priority 0, the most important, than for priority 1, etc. */
    double thresholdStepPerPriority_ = 0.05;
    std::uint32_t lowestPriority_ = 1; ///< Larger numbers are treated as this one.
    /** Both are higher by up to this if less urgent programs ask as well, or a crowd of another workspace of
     * the same rank; the more of them, the higher. Below full slots, so that no call waits for one. */
    double reserve_ = 0.10;
    /** The same for the services that programs call; above 1, calls wait there. */
    double refuseSomeAboveAtTools_ = 1.0;
    double refuseAllAboveAtTools_ = 1.6;
    Milliseconds retryAfter_ { 700 }; ///< If the duration of programs is unknown.
    Milliseconds minRetryAfter_ { 100 };
    DemandOptions demand_;
};

/** Calls divided by slots: at the engines, and at the fullest of the services that programs of a route call.
 */
struct ProgramOccupancy {
    double engines_ = 0;
    double tools_ = 0;
};

/** A program that asks to begin. */
struct ProgramApplicant {
    CallRank rank_;
    WorkspaceId workspace_;
    double weight_ = 1; ///< Of the workspace's share within its rank.
};

/** Whether to admit a new program. Pure except for `random`, like the functions below. */
bool shouldAdmitProgram(
    double occupancy, std::uint32_t priority, const AdmissionOptions& options, Random& random);

/** The share of all programs to refuse, as an applicant sees it. Pure. */
double refusedShare(const ProgramOccupancy& occupancy, const ProgramApplicant& applicant,
    const ProgramDemand& demand, const AdmissionOptions& options);

/** Whether to admit a new program, given who else has asked lately. */
bool shouldAdmitProgram(const ProgramOccupancy& occupancy, const ProgramApplicant& applicant,
    const ProgramDemand& demand, const AdmissionOptions& options, Random& random);

/** Why programs are refused. */
enum class ProgramRefusal {
    Engines, ///< They are nearly full.
    Tools, ///< Calls wait for a service that such programs call.
    WorkspaceShare, ///< The workspace asks for more than its share of the room.
};

/** Pure; for logs and metrics, like `nameOf`. */
ProgramRefusal causeOfRefusal(const ProgramOccupancy& occupancy, const ProgramApplicant& applicant,
    const ProgramDemand& demand, const AdmissionOptions& options);

const char* nameOf(ProgramRefusal refusal);

/** The time in which a refused program can expect room, from the programs that end meanwhile and the share of
 * those that come that is admitted. `meanProgram` is the mean duration of programs, 0 if unknown. Pure. */
Milliseconds retryAfterRefusal(
    const ProgramOccupancy& occupancy, Milliseconds meanProgram, const AdmissionOptions& options);

} // namespace fescue
