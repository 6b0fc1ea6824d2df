#pragma once

/** \file
 * WorkspaceCapsImpl: the state of `WorkspaceCaps`, for its source files only.
 *
 * `CapLoans.cpp` has the requests to other zones.
 */

#include "WorkspaceCaps.h"

#include "BootClock.h"
#include "EventLog.h"
#include "PeerCaps.h"

#include <algorithm>
#include <list>

namespace fescue {

constexpr const char* capsPath = "/caps";
constexpr const char* rankingKey = "caps";
constexpr int httpOk = 200;
constexpr Milliseconds replyTimeout { 250 };
// A request waits no longer for a giver; callers come back within this time.
constexpr Milliseconds maxWait { 900 };
// A workspace that has got no permit of any zone is at its cap for about this time.
constexpr Milliseconds borrowPause { 300 };
constexpr Milliseconds unknownRetryAfter { 300 };
constexpr int maxFailuresInRow = 2;
// Until the list of VMs is complete, when many start at the same moment.
constexpr Milliseconds settleTime { 600 };
// Much shorter than `settleTime`.
constexpr Milliseconds viewInterval { 200 };
// Requests over the cap are answered at once; more than this wait only while there is no giver.
constexpr std::size_t maxWaiting = 2000;

/** Confined to the thread of the event loop. */
struct WorkspaceCaps::Impl : std::enable_shared_from_this<WorkspaceCaps::Impl> {
    struct Waiting {
        WorkspaceId workspace_;
        OnDecision done_;
        MonotonicTime until_;
        bool isBorrowing_ = false; ///< The own zone has no permit; others are asked.
        std::size_t zonesAsked_ = 0;
    };
    // A request for spare permits of another zone, under way if `call_` is set.
    struct Loan {
        std::shared_ptr<OutboundCall> call_;
        VmId vm_;
        ZoneId zone_;
        std::size_t zonesAsked_ = 0; ///< Of the requests that it is for, before.
        StockReport report_;
        MonotonicTime sentAt_;
        std::string replyBody_;
    };
    struct Counts {
        std::uint64_t admitted_ = 0;
        std::uint64_t refused_ = 0;
    };

    PeerExchange& exchange_;
    PeerList& peers_; ///< Of the exchange.
    ZoneId zone_;
    CapTolerance tolerance_;
    CapGiver giver_;
    CapStock stock_;
    std::map<WorkspaceId, WorkspaceTerms> caps_; ///< Workspaces with caps.
    CapZone view_;
    std::list<Waiting> waiting_;
    std::map<WorkspaceId, Counts> counts_;
    // The report under way, if `call_` is set.
    std::shared_ptr<OutboundCall> call_;
    StockReport report_;
    MonotonicTime sentAt_;
    std::string replyBody_;
    MonotonicTime nextReport_;
    MonotonicTime nextView_;
    Loan loan_;
    std::vector<ZoneId> otherZones_;
    std::map<ZoneId, VmId> lenders_; ///< VMs that were named as givers of other zones.
    std::map<WorkspaceId, MonotonicTime> borrowAfter_; ///< Other zones have no permits until then.
    int failuresInRow_ = 0; ///< Of reports to the giver.
    bool isReporting_ = false; ///< Avoids a recursion when this VM is its own giver.
    std::uint64_t loans_ = 0; ///< Requests to other zones.
    Counter borrowed_ { "caps_borrowed_total" };
    Counter unknown_ { "caps_unknown_total" };
    Counter reports_ { "cap_reports_total" };
    Counter failures_ { "cap_reports_failed_total" };

    Impl(PeerExchange& exchange, const VmSettings& settings, const WriterId& writer)
        : exchange_(exchange)
        , peers_(exchange.peers())
        , zone_(settings.zone_)
        , tolerance_(settings.capTolerance_)
        , stock_(newCapStock(settings.vm_, writer, bootNow()))
    {
        giver_.writer_ = writer;
        exchange_.serve(
            capsPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                auto report = parseStockReport(request.body_);
                if (!report)
                    return refuseMalformed(*reply, request);
                answerPeer(*reply, httpOk, encode(answer(*report)));
            });
    }

    void setConfig(const ServingConfig& config)
    {
        if (giver_.settledAt_ == MonotonicTime {})
            giver_.settledAt_ = bootNow() + settleTime;
        std::map<WorkspaceId, WorkspaceTerms> caps;
        for (const auto& [workspace, terms] : config.workspaces_) {
            if (terms.ratePerSecond_ > 0)
                caps[workspace] = terms;
        }
        for (const auto& [workspace, terms] : caps_) {
            auto now = caps.find(workspace);
            bool isSame = now != caps.end() && now->second.ratePerSecond_ == terms.ratePerSecond_
                && now->second.burst_ == terms.burst_;
            if (!isSame)
                dropPermits(stock_, workspace);
            if (now == caps.end()) {
                giver_.buckets_.erase(workspace);
                counts_.erase(workspace);
                borrowAfter_.erase(workspace);
            }
        }
        caps_ = std::move(caps);
        updateView(bootNow());
    }

    void updateView(MonotonicTime now)
    {
        nextView_ = now + viewInterval;
        view_.vms_ = { peers_.own_ };
        std::set<ZoneId> zones { zone_ };
        for (const auto& [vm, peer] : peers_.peers_) {
            zones.insert(peer.zone_);
            if (peer.zone_ == zone_)
                view_.vms_.insert(vm);
        }
        zones.erase(zone_);
        otherZones_.assign(zones.begin(), zones.end());
        view_.terms_.clear();
        for (const auto& [workspace, terms] : caps_)
            view_.terms_[workspace] = capTerms(terms, tolerance_, otherZones_.size() + 1);
        for (auto reporter = giver_.reporters_.begin(); reporter != giver_.reporters_.end();)
            reporter = view_.vms_.count(reporter->first) > 0 ? std::next(reporter)
                                                             : giver_.reporters_.erase(reporter);
    }

    GrantReply answer(const StockReport& report)
    {
        bool wasGiver = giver_.wasGiver_;
        GrantReply reply = grantCapPermits(giver_, view_, report, bootNow());
        if (giver_.wasGiver_ != wasGiver)
            logEvent(giver_.wasGiver_ ? "caps-giver" : "caps-giver-ended",
                { { "vms", std::to_string(view_.vms_.size()) },
                    { "workspaces", std::to_string(view_.terms_.size()) } });
        if (!reply.isGiver_ && stock_.isGiverKnown_)
            reply.giver_ = stock_.followed_;
        return reply;
    }

    void admit(const WorkspaceId& workspace, OnDecision done)
    {
        if (workspace.empty() || caps_.count(workspace) == 0)
            return done(CapOutcome::Admitted, Milliseconds { 0 });
        MonotonicTime now = bootNow();
        PermitDecision decision = demandPermit(stock_, workspace, now);
        if (decision.outcome_ == PermitDecision::Outcome::Admitted)
            return finish(workspace, done, CapOutcome::Admitted, Milliseconds { 0 });
        bool isRefused = decision.outcome_ == PermitDecision::Outcome::Refused;
        if (isRefused && mayBorrow(workspace, now)) {
            waiting_.push_back({ workspace, std::move(done), now + maxWait, true });
            return borrow(now);
        }
        if (isRefused)
            return finish(workspace, done, CapOutcome::OverCap, decision.retryAfter_);
        if (waiting_.size() >= maxWaiting) {
            --stock_.stocks_[workspace].waiting_;
            return finish(workspace, done, CapOutcome::Unknown, unknownRetryAfter);
        }
        waiting_.push_back({ workspace, std::move(done), now + maxWait });
        if (stock_.isGiverKnown_ && stock_.stocks_[workspace].waiting_ == 1)
            report(now);
    }

    void finish(
        const WorkspaceId& workspace, const OnDecision& done, CapOutcome outcome, Milliseconds retryAfter)
    {
        Counts& counts = counts_[workspace];
        if (outcome == CapOutcome::Unknown)
            unknown_.add();
        else
            ++(outcome == CapOutcome::Admitted ? counts.admitted_ : counts.refused_);
        done(outcome, retryAfter);
    }

    // The first VM of the zone that answers.
    VmId expectedGiver(MonotonicTime now) const
    {
        for (const PeerEntry& vm : rankedVms(peers_, zone_, rankingKey)) {
            if (vm.vm_ == peers_.own_ || (vm.zone_ == zone_ && isUsable(peers_, vm.vm_, now)))
                return vm.vm_;
        }
        return peers_.own_;
    }

    void chooseFollowed(MonotonicTime now)
    {
        const VmId& followed = stock_.followed_;
        bool isOwn = followed == peers_.own_;
        bool isUsableNow = !followed.empty()
            && (isOwn || (peers_.peers_.count(followed) > 0 && isUsable(peers_, followed, now)));
        if (!mustChooseGiver(stock_, isUsableNow))
            return;
        VmId expected = expectedGiver(now);
        if (expected != followed)
            followGiver(stock_, expected);
    }

    void report(MonotonicTime now)
    {
        if (call_ || isReporting_)
            return;
        chooseFollowed(now);
        nextReport_ = now + capPollInterval;
        reports_.add();
        report_ = makeReport(stock_, now);
        sentAt_ = now;
        if (stock_.followed_ == peers_.own_) {
            isReporting_ = true;
            applyReply(answer(report_));
            isReporting_ = false;
            return;
        }
        send(peers_.peers_.at(stock_.followed_));
    }

    void send(const PeerEntry& vm)
    {
        replyBody_.clear();
        OutboundCallbacks callbacks;
        std::uint64_t sequence = report_.sequence_;
        callbacks.onBody_ = [weak = weak_from_this(), sequence](const std::string& part) {
            auto self = weak.lock();
            if (self && self->report_.sequence_ == sequence)
                self->replyBody_ += part;
        };
        callbacks.onEnd_ = [weak = weak_from_this(), sequence](const OutboundResult& end) {
            auto self = weak.lock();
            if (!self || self->report_.sequence_ != sequence || !self->call_)
                return;
            self->call_ = nullptr;
            bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
            auto reply = isAnswered ? parseGrantReply(self->replyBody_) : std::nullopt;
            if (!reply)
                return self->failReport(end.reason_);
            recordPeerOutcome(self->peers_, self->stock_.followed_, true, bootNow());
            self->failuresInRow_ = 0;
            self->applyReply(*reply);
        };
        call_ = exchange_.post(vm, capsPath, encode(report_), std::move(callbacks));
        if (!call_)
            failReport("its address is not valid");
    }

    // A peer that answers something else, such as an older release, cannot give out permits either.
    void failReport(const char* reason)
    {
        failures_.add();
        logEvent("peer-failed",
            { { "peer", stock_.followed_.value_ }, { "for", "caps" }, { "reason", reason ? reason : "" } });
        nextReport_ = {};
        // A giver that is only slow for a moment is asked again, since another would need the votes first.
        if (stock_.isGiverKnown_ && ++failuresInRow_ < maxFailuresInRow)
            return;
        failuresInRow_ = 0;
        recordPeerOutcome(peers_, stock_.followed_, false, bootNow());
        stock_.isGiverKnown_ = false;
    }

    void applyReply(const GrantReply& reply)
    {
        MonotonicTime now = bootNow();
        applyGrants(stock_, report_, reply, sentAt_, now);
        if (!reply.isGiver_)
            return;
        serveWaiting(now);
        bool isWaiting = std::any_of(
            waiting_.begin(), waiting_.end(), [](const Waiting& entry) { return !entry.isBorrowing_; });
        if (isWaiting)
            nextReport_ = now + reportDelay(report_, reply);
    }

    // Ends waiting and returns the entry behind; `outcomes` has one for each in `decided`.
    struct Decided {
        std::list<Waiting> entries_;
        std::vector<std::pair<CapOutcome, Milliseconds>> outcomes_;
    };

    std::list<Waiting>::iterator decide(
        Decided& decided, std::list<Waiting>::iterator entry, CapOutcome outcome, Milliseconds retryAfter)
    {
        auto next = std::next(entry);
        decided.entries_.splice(decided.entries_.end(), waiting_, entry);
        decided.outcomes_.emplace_back(outcome, retryAfter);
        return next;
    }

    void finishAll(const Decided& decided)
    {
        std::size_t index = 0;
        for (const Waiting& entry : decided.entries_) {
            const auto& [outcome, retryAfter] = decided.outcomes_[index++];
            finish(entry.workspace_, entry.done_, outcome, retryAfter);
        }
    }

    bool mayBorrow(const WorkspaceId& workspace, MonotonicTime now) const
    {
        auto after = borrowAfter_.find(workspace);
        return !otherZones_.empty() && waiting_.size() < maxWaiting
            && (after == borrowAfter_.end() || now >= after->second);
    }

    // Defined in CapLoans.cpp.
    void borrow(MonotonicTime now);
    std::optional<PeerEntry> lenderOf(const ZoneId& zone, MonotonicTime now) const;
    void sendLoan(const PeerEntry& vm);
    void endLoan(const GrantReply& reply);

    void serveWaiting(MonotonicTime now)
    {
        Decided decided;
        for (auto entry = waiting_.begin(); entry != waiting_.end();) {
            WorkspaceStock& own = stock_.stocks_[entry->workspace_];
            bool isAdmitted = !entry->isBorrowing_ && takePermit(stock_, entry->workspace_, now);
            if (entry->isBorrowing_ || (!isAdmitted && now >= own.refusedUntil_)) {
                ++entry;
                continue;
            }
            --own.waiting_;
            if (isAdmitted) {
                entry = decide(decided, entry, CapOutcome::Admitted, Milliseconds { 0 });
            } else if (mayBorrow(entry->workspace_, now)) {
                entry->isBorrowing_ = true;
                ++entry;
            } else {
                entry = decide(decided, entry, CapOutcome::OverCap, own.refusedUntil_ - now);
            }
        }
        finishAll(decided);
        borrow(now);
    }

    void expireWaiting(MonotonicTime now)
    {
        while (!waiting_.empty() && now >= waiting_.front().until_) {
            Waiting entry = std::move(waiting_.front());
            waiting_.pop_front();
            if (!entry.isBorrowing_)
                --stock_.stocks_[entry.workspace_].waiting_;
            finish(entry.workspace_, entry.done_,
                entry.isBorrowing_ ? CapOutcome::OverCap : CapOutcome::Unknown, unknownRetryAfter);
        }
    }

    void tick(MonotonicTime now)
    {
        if (caps_.empty() && waiting_.empty())
            return;
        if (now >= nextView_)
            updateView(now);
        if (call_ && now >= sentAt_ + replyTimeout) {
            auto call = std::exchange(call_, nullptr);
            call->cancel();
            failReport("timed out");
        }
        if (loan_.call_ && now >= loan_.sentAt_ + replyTimeout) {
            loan_.call_->cancel();
            recordPeerOutcome(peers_, loan_.vm_, false, now);
            endLoan({});
        }
        if (now >= nextReport_)
            report(now);
        expireWaiting(now);
    }
};

} // namespace fescue
