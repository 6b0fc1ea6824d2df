#pragma once

/** \file
 * CapTerms: what the VMs of one zone may admit for a workspace with a cap, and the timing of permits.
 */

#include "ServingConfig.h"
#include "VmSettings.h"

namespace fescue {

/** Each VM tells its giver this often what permits it holds and needs. */
constexpr Milliseconds capPollInterval { 200 };
/** For this time after a vote, a VM does not vote for another giver. Three polls may be lost. */
constexpr Milliseconds capVoteTime { 800 };
/** A VM that got no answer for this long drops its permits. Longer than it takes to replace a lost giver. */
constexpr Milliseconds permitLifetime { 3000 };

/** Part of a cap that one zone has. Zones share nothing, so that each goes on when it is cut off. */
struct CapTerms {
    double perSecond_ = 0; ///< Permits; 0 for no cap.
    /** Permits that may exist at a time, at the giver or in the stocks of VMs. Then at most
     * `circulation_` + `perSecond_` x window requests are admitted in any window. */
    double circulation_ = 0;
};

/** The terms of a workspace in each of `zones` zones. Pure. */
CapTerms capTerms(const WorkspaceTerms& workspace, const CapTolerance& tolerance, std::size_t zones);

/** Permits that one of `vms` VMs may hold. Pure. */
std::uint32_t maxStock(const CapTerms& terms, std::size_t vms);

/** Permits of a workspace that a VM holds and needs. */
struct StockLine {
    WorkspaceId workspace_;
    std::uint32_t held_ = 0; ///< Without those returned.
    std::uint32_t returned_ = 0; ///< The VM has no use for them.
    std::uint32_t needed_ = 0; ///< For requests that wait.
    std::uint32_t wanted_ = 0; ///< In addition to those held and needed, for requests to come.
};

/** What a VM sends to its giver. */
struct StockReport {
    VmId vm_;
    WriterId writer_; ///< Process of the VM.
    std::uint64_t sequence_ = 0; ///< Grows with each report of the process.
    bool isVote_ = false;
    WriterId echoOf_; ///< Process whose last answer is echoed; empty if there was none.
    Milliseconds echo_ { 0 }; ///< `clock_` of that answer.
    std::vector<StockLine> lines_; ///< All workspaces of which the VM holds permits, and others.
};

/** Permits granted of a workspace. */
struct GrantLine {
    WorkspaceId workspace_;
    std::uint32_t granted_ = 0;
    Milliseconds retryAfter_ { 0 }; ///< Set if the giver has no more.
};

/** The answer to a `StockReport`. */
struct GrantReply {
    WriterId writer_; ///< Process that answers.
    Milliseconds clock_ { 0 }; ///< Its boot clock, to be echoed.
    bool isGiver_ = false; ///< Whether it gives out permits now.
    VmId giver_; ///< The VM that it believes to do so; empty if unknown.
    std::vector<GrantLine> lines_;
};

} // namespace fescue
