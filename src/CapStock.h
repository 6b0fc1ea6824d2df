#pragma once

/** \file
 * CapStock: the permits that a VM holds of workspaces with caps, and its votes for a giver; see `CapGiver`.
 *
 * A VM that has recently had requests of a workspace holds a few permits, so that requests far below the cap
 * are admitted without a message. A VM cut off from its giver goes on with its stock for `permitLifetime`.
 */

#include "CapTerms.h"

#include <map>

namespace fescue {

/** Permits of one workspace. */
struct WorkspaceStock {
    std::uint32_t held_ = 0;
    std::uint32_t stated_ = 0; ///< Most that the giver may believe this VM to hold.
    std::uint32_t waiting_ = 0; ///< Requests that wait for a permit.
    std::uint32_t demanded_ = 0; ///< Requests since `measuredAt_`.
    double demandPerSecond_ = 0;
    MonotonicTime measuredAt_;
    MonotonicTime lastDemand_;
    MonotonicTime refusedUntil_; ///< The giver has no permits until then.
};

/** The permits and the vote of a VM. */
struct CapStock {
    VmId vm_;
    WriterId writer_; ///< This process.
    std::uint64_t sequence_ = 0;
    VmId followed_; ///< VM that is asked for permits; empty before the first report.
    bool isGiverKnown_ = false; ///< Whether the followed VM has said that it gives out permits.
    WriterId votedFor_; ///< Process that got the last vote. A new process does not know of an earlier vote.
    MonotonicTime votedUntil_;
    WriterId answeredBy_; ///< Process that gave the followed VM's last answer; empty if there was none.
    Milliseconds answerClock_ { 0 };
    MonotonicTime validUntil_; ///< Of all permits.
    std::map<WorkspaceId, WorkspaceStock> stocks_;
};

/** What becomes of a request of a workspace with a cap. */
struct PermitDecision {
    enum class Outcome {
        Admitted, ///< It has taken a permit.
        Waits, ///< The giver is to be asked at once; `WorkspaceStock::waiting_` counts the request.
        Refused, ///< The workspace is at its cap.
    };
    Outcome outcome_ = Outcome::Waits;
    Milliseconds retryAfter_ { 0 }; ///< When refused.
};

/** Returns the state of a process that starts now. */
CapStock newCapStock(const VmId& vm, const WriterId& writer, MonotonicTime now);

/** Decides on a request. Not thread-safe, like the functions below. */
PermitDecision demandPermit(CapStock& stock, const WorkspaceId& workspace, MonotonicTime now);
/** Takes a permit for a request that waits. */
bool takePermit(CapStock& stock, const WorkspaceId& workspace, MonotonicTime now);
/** Drops the permits of a workspace, whose cap has changed. */
void dropPermits(CapStock& stock, const WorkspaceId& workspace);
/** Whether another VM may have to be asked; `isUsable` tells whether the followed one can be reached. Pure.
 */
bool mustChooseGiver(const CapStock& stock, bool isUsable);
/** Asks another VM from now on. */
void followGiver(CapStock& stock, const VmId& vm);
/** Makes the next report to the followed VM, which is sent now. */
StockReport makeReport(CapStock& stock, MonotonicTime now);
/** When the next report is due if requests still wait after an answer: at once if they were not all in the
 * report or got a part, later if the giver has nothing yet. Pure. */
Milliseconds reportDelay(const StockReport& report, const GrantReply& reply);
/** Takes in the answer to the report that was made last, at `sentAt`. Precondition: the followed VM has not
 * changed since. If it knows another that gives out permits, that one is followed from now on. */
void applyGrants(CapStock& stock, const StockReport& report, const GrantReply& reply, MonotonicTime sentAt,
    MonotonicTime now);

} // namespace fescue
