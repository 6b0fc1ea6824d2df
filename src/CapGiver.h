#pragma once

/** \file
 * CapGiver: decides which VM of a zone gives out the permits for workspaces with caps, and how many.
 *
 *     each VM: report (permits held, wanted; vote) --> giver --> grants
 *
 * A VM gives out permits only while it has the votes of more than half of the zone's VMs. A vote counts from
 * the answer that it echoes, and the VM that sent it votes for no other within `capVoteTime` of sending it;
 * so at no time do two VMs of a zone give out permits, however they are cut apart, frozen or restarted.
 * Permits circulate: those at the giver and in all stocks together never exceed `CapTerms::circulation_`.
 */

#include "CapTerms.h"

#include <map>
#include <set>

namespace fescue {

/** Permits of one workspace. */
struct CapBucket {
    double permits_ = 0; ///< Not given out; those of a new giver are none.
    MonotonicTime filledAt_;
    std::map<VmId, std::uint32_t> held_; ///< At most what each VM holds.
};

/** A VM that reports to this one. */
struct CapReporter {
    WriterId writer_;
    std::uint64_t sequence_ = 0; ///< Of its last report.
    MonotonicTime reportedAt_;
    MonotonicTime votesUntil_;
};

/** Permits that this VM gives out. */
struct CapGiver {
    WriterId writer_; ///< This process.
    MonotonicTime settledAt_; ///< Until then the list of VMs may be incomplete, so no votes are counted.
    std::map<VmId, CapReporter> reporters_;
    bool wasGiver_ = false;
    MonotonicTime since_; ///< When this VM became the giver.
    std::map<WorkspaceId, CapBucket> buckets_;
};

/** The zone as this VM sees it. */
struct CapZone {
    std::set<VmId> vms_;
    std::map<WorkspaceId, CapTerms> terms_; ///< Of the workspaces with caps.
};

/** Whether this VM gives out permits now. Pure. */
bool isGiver(const CapGiver& giver, const CapZone& zone, MonotonicTime now);

/** Takes in a report and answers it. `GrantReply::giver_` is left empty. Not thread-safe. */
GrantReply grantCapPermits(
    CapGiver& giver, const CapZone& zone, const StockReport& report, MonotonicTime now);

} // namespace fescue
