#include "TurnBroker.h"

#include "BootClock.h"
#include "EventLog.h"
#include "LastTargets.h"
#include "Metrics.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace fescue {

namespace {

    constexpr const char* turnPath = "/turns";
    constexpr const char* endPath = "/turns/ended";
    constexpr int httpOk = 200;
    // A home replies within this time, if only with `ClaimPending`; a failed VM costs a turn `peerTimeout`.
    constexpr Milliseconds homeReplyTimeout { 150 };
    constexpr Milliseconds peerTimeout { 300 };
    // After this many homes have failed, the VM decides on the turn itself.
    constexpr int maxHomesTried = 3;
    // VMs that a turn is passed on to when the store does not serve this one. Where it turns away a third of
    // the VMs, one turn in 27 finds none that it serves.
    constexpr int maxDetours = 3;
    // Matches the interval of some 100 ms at which turns of a program end.
    constexpr Milliseconds retryInterval { 120 };
    // Grants to peers expire this long after the deadline of the turn and then count as fully used.
    constexpr Milliseconds grantMargin { 1500 };

    // Where a process begins to number its grants. An end of a turn names its grant by the number alone, and
    // may come after the process that granted it has ended. So each process has numbers of its own: a hash of
    // its writer id in the upper half, below the sign bit, which not all readers take.
    std::uint64_t grantNumbersOf(const WriterId& writer)
    {
        constexpr std::uint64_t upperHalf = 0x7fffffff00000000;
        return XXH64(writer.value_.data(), writer.value_.size(), 0) & upperHalf;
    }

} // namespace

struct TurnBroker::Impl : std::enable_shared_from_this<TurnBroker::Impl> {
    // A turn that waits for a decision.
    struct PendingTurn {
        TurnRequest request_;
        OnGrant done_;
        int homesTried_ = 0;
        int detours_ = 0;
        std::set<VmId> tried_; ///< VMs that did not answer, or that the store does not serve.
        std::vector<WriterId> holders_; ///< Not asked yet.
        std::shared_ptr<OutboundCall> call_;
        VmId peer_; ///< The peer that `call_` was sent to.
        MonotonicTime callDeadline_;
        MonotonicTime deadline_; ///< Of the turn.
        std::optional<MonotonicTime> retryAt_;
        bool canAskHolders_ = true;
        bool isForPeer_ = false;
        MonotonicTime replyDeadline_; ///< For the reply to a peer.
        std::string replyBody_;
    };
    using PendingTurnPtr = std::shared_ptr<PendingTurn>;

    // A grant to a turn of a peer.
    struct PeerGrant {
        ProgramId program_;
        TokenCount maxTokens_;
        MonotonicTime expiresAt_;
    };

    TurnBrokerOptions options_;
    const PacedStore& store_;
    BudgetStore budgets_;
    PeerExchange& exchange_;
    PeerList& peers_; ///< Of the exchange.
    std::map<TurnId, PendingTurnPtr> pending_;
    std::map<std::uint64_t, PeerGrant> grants_;
    LastTargets lastTargets_; ///< Of programs whose turns this VM granted.
    MonotonicTime evictLastTargetsAt_;
    std::uint64_t lastTurn_ = 0;
    std::uint64_t lastGrant_; ///< See `grantNumbersOf`.
    bool isDraining_ = false;
    Counter peerRequests_ { "peer_turns_asked_total" };
    Counter peerFailures_ { "peer_failures_total" };
    Counter detours_ { "turn_detours_total" };
    Counter expired_ { "peer_grants_expired_total" };
    Counter unknown_ { "peer_grants_unknown_total" };

    Impl(PeerExchange& exchange, PacedStore& store, const TurnBrokerOptions& options)
        : options_(options)
        , store_(store)
        , budgets_(store, options.writer_, options.partitions_,
              [this](TurnId turn, TurnDecision decision) { onLocalDecision(turn, decision); })
        , exchange_(exchange)
        , peers_(exchange.peers())
        , lastGrant_(grantNumbersOf(options.writer_))
    {
        // The exchange serves calls for as long as this broker exists.
        exchange_.serve(turnPath, [this](const FrontRequest& request, std::shared_ptr<FrontReply> reply) {
            handlePeerTurn(request, std::move(reply));
        });
        exchange_.serve(
            endPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                handlePeerEnd(request, *reply);
            });
    }

    TurnId requestTurn(const TurnRequest& request, OnGrant done)
    {
        TurnId id { ++lastTurn_ };
        auto entry = std::make_shared<PendingTurn>();
        entry->request_ = request;
        entry->done_ = std::move(done);
        entry->deadline_ = bootNow() + request.timeLeft_;
        pending_[id] = entry;
        requestFromHome(id, entry);
        return id;
    }

    void requestFromHome(TurnId id, const PendingTurnPtr& entry)
    {
        auto home = homeOf(peers_, options_.zone_, entry->request_.program_, bootNow());
        bool isLocal = !home || home->vm_ == options_.vm_ || entry->tried_.count(home->vm_)
            || entry->homesTried_ >= maxHomesTried;
        if (isLocal)
            return requestLocally(id, entry);
        ++entry->homesTried_;
        requestFromPeer(id, entry, *home);
    }

    void requestLocally(TurnId id, const PendingTurnPtr& entry)
    {
        const TurnRequest& request = entry->request_;
        if (!request.canStartProgram_ && !hasStarted(request.program_)) {
            TurnReply reply;
            reply.decision_ = TurnDecision::NotAdmitted;
            return onDecision(id, entry, { reply, options_.vm_, request.program_, request.maxTokens_ });
        }
        WaitingTurn turn { id, request.maxTokens_, !entry->isForPeer_ };
        budgets_.onTurnRequested(request.program_, request.budget_, request.retention_, turn);
    }

    bool hasStarted(const ProgramId& program) const
    {
        const ProgramBudget* budget = budgets_.find(program);
        return budget && (budget->spent_ + budget->reserved_ + budget->othersClaimed_).value_ > 0;
    }

    // Requests the turn from a VM that the store may serve. Returns whether there is one.
    bool requestByDetour(TurnId id, const PendingTurnPtr& entry)
    {
        if (entry->detours_ >= maxDetours || bootNow() >= entry->deadline_)
            return false;
        auto detours
            = detoursOf(peers_, options_.zone_, entry->request_.program_, entry->tried_, 1, bootNow());
        if (detours.empty())
            return false;
        ++entry->detours_;
        detours_.add();
        requestFromPeer(id, entry, detours.front());
        return true;
    }

    void requestFromPeer(TurnId id, const PendingTurnPtr& entry, const PeerEntry& peer)
    {
        peerRequests_.add();
        entry->peer_ = peer.vm_;
        entry->callDeadline_ = bootNow() + peerTimeout;
        entry->replyBody_.clear();
        OutboundCallbacks callbacks;
        callbacks.onBody_ = [entry](std::string part) { entry->replyBody_ += part; };
        callbacks.onEnd_ = [weak = weak_from_this(), id, entry](const OutboundResult& end) {
            auto self = weak.lock();
            if (!self || !self->pending_.count(id))
                return;
            entry->call_ = nullptr;
            if (end.outcome_ == OutboundResult::Outcome::Answered)
                self->onReply(id, entry);
            else
                self->onPeerFailure(id, entry, end.reason_);
        };
        entry->call_ = exchange_.post(peer, turnPath, encode(entry->request_), std::move(callbacks));
        if (!entry->call_)
            onPeerFailure(id, entry, "peer address is not a valid endpoint");
    }

    void onPeerFailure(TurnId id, const PendingTurnPtr& entry, const char* reason)
    {
        peerFailures_.add();
        recordPeerOutcome(peers_, entry->peer_, false, bootNow());
        entry->tried_.insert(entry->peer_);
        logEvent("peer-failed",
            { { "peer", entry->peer_.value_ }, { "program", entry->request_.program_.value_ },
                { "reason", reason } });
        requestFromNext(id, entry);
    }

    void requestFromNext(TurnId id, const PendingTurnPtr& entry)
    {
        if (entry->canAskHolders_)
            return requestFromHome(id, entry);
        requestFromHolders(id, entry);
    }

    void onReply(TurnId id, const PendingTurnPtr& entry)
    {
        auto reply = parseTurnReply(entry->replyBody_);
        if (!reply)
            return onPeerFailure(id, entry, "malformed reply");
        recordPeerOutcome(peers_, entry->peer_, true, bootNow());
        // The home is draining or has lost the store; another one may be able to grant the turn.
        bool isServed = reply->decision_ != TurnDecision::Unavailable;
        recordPeerStore(peers_, entry->peer_, isServed, bootNow());
        if (!isServed) {
            entry->tried_.insert(entry->peer_);
            return requestFromNext(id, entry);
        }
        onDecision(id, entry, { *reply, entry->peer_, entry->request_.program_, entry->request_.maxTokens_ });
    }

    void onLocalDecision(TurnId id, TurnDecision decision)
    {
        auto found = pending_.find(id);
        if (found == pending_.end())
            return;
        PendingTurnPtr entry = found->second;
        bool isRefused = decision == TurnDecision::Unavailable && !entry->isForPeer_;
        if (isRefused && requestByDetour(id, entry))
            return;
        // Nobody is known to be served, but the store may answer soon.
        if (isRefused && !store_.isFailing() && bootNow() + retryInterval < entry->deadline_) {
            entry->retryAt_ = bootNow() + retryInterval;
            return;
        }
        TurnReply reply = replyFor(entry->request_.program_, decision);
        onDecision(id, entry, { reply, options_.vm_, entry->request_.program_, entry->request_.maxTokens_ });
    }

    TurnReply replyFor(const ProgramId& program, TurnDecision decision) const
    {
        TurnReply reply;
        reply.decision_ = decision;
        auto last = lastTargets_.find(program);
        if (last != lastTargets_.end())
            reply.lastTarget_ = last->second.target_;
        const ProgramBudget* budget = budgets_.find(program);
        if (!budget)
            return reply;
        reply.spent_ = budget->spent_;
        reply.claimed_ = budget->usable_;
        reply.othersClaimed_ = budget->othersClaimed_;
        if (decision == TurnDecision::HeldElsewhere)
            reply.holders_ = budget->holders_;
        return reply;
    }

    void onDecision(TurnId id, const PendingTurnPtr& entry, const TurnGrant& grant)
    {
        if (grant.reply_.decision_ == TurnDecision::HeldElsewhere && entry->canAskHolders_) {
            entry->canAskHolders_ = false;
            entry->holders_ = grant.reply_.holders_;
            return requestFromHolders(id, entry);
        }
        if (grant.reply_.decision_ == TurnDecision::HeldElsewhere && !entry->holders_.empty())
            return requestFromHolders(id, entry);
        if (grant.reply_.decision_ == TurnDecision::ClaimPending && !entry->isForPeer_) {
            // A home says so after `homeReplyTimeout`; one that says so at once is not asked more often.
            entry->retryAt_ = std::max(bootNow(), entry->callDeadline_ - peerTimeout + homeReplyTimeout);
            return;
        }
        bool isInUse = grant.reply_.decision_ == TurnDecision::InUse && !entry->isForPeer_;
        if (isInUse && bootNow() + retryInterval < entry->deadline_) {
            entry->retryAt_ = bootNow() + retryInterval;
            return;
        }
        pending_.erase(id);
        entry->done_(grant);
    }

    void retry(TurnId id, const PendingTurnPtr& entry)
    {
        entry->retryAt_.reset();
        entry->homesTried_ = 0;
        entry->detours_ = 0;
        entry->tried_.clear();
        entry->canAskHolders_ = true;
        entry->holders_.clear();
        requestFromHome(id, entry);
    }

    void requestFromHolders(TurnId id, const PendingTurnPtr& entry)
    {
        while (!entry->holders_.empty()) {
            WriterId holder = entry->holders_.back();
            entry->holders_.pop_back();
            if (holder == options_.writer_)
                return requestLocally(id, entry);
            if (auto peer = findPeerByWriter(peers_, holder, bootNow()))
                return requestFromPeer(id, entry, *peer);
        }
        TurnReply reply;
        reply.decision_ = TurnDecision::HeldElsewhere;
        pending_.erase(id);
        entry->done_({ reply, options_.vm_, entry->request_.program_, entry->request_.maxTokens_ });
    }

    std::string describe(TurnId id) const
    {
        auto found = pending_.find(id);
        if (found == pending_.end())
            return {};
        const PendingTurn& entry = *found->second;
        if (entry.call_)
            return "the home " + entry.peer_.value_;
        if (entry.retryAt_)
            return "other turns of the program";
        return budgets_.describe(entry.request_.program_);
    }

    void abandonTurn(TurnId id)
    {
        auto found = pending_.find(id);
        if (found == pending_.end())
            return;
        PendingTurnPtr entry = found->second;
        pending_.erase(found);
        if (entry->call_)
            entry->call_->cancel();
        budgets_.onTurnAbandoned(entry->request_.program_, id);
    }

    void endTurn(const TurnGrant& grant, TokenCount used, const TargetId& target)
    {
        if (grant.granter_ == options_.vm_) {
            recordLastTarget(lastTargets_, grant.program_, target, bootNow());
            return budgets_.onTurnEnded(grant.program_, grant.maxTokens_, used);
        }
        auto peer = peers_.peers_.find(grant.granter_);
        if (peer == peers_.peers_.end())
            return; // The peer has drained; its claim remains as last written.
        OutboundCallbacks callbacks;
        callbacks.onEnd_ = [weak = weak_from_this(), vm = grant.granter_](const OutboundResult& end) {
            // If this message is lost, the grant expires at the granter and counts as fully used.
            auto self = weak.lock();
            if (self && end.outcome_ != OutboundResult::Outcome::Answered)
                recordPeerOutcome(self->peers_, vm, false, bootNow());
        };
        exchange_.post(peer->second, endPath, encode(TurnEnd { grant.reply_.grant_, used, target }),
            std::move(callbacks));
    }

    void handlePeerTurn(const FrontRequest& request, std::shared_ptr<FrontReply> reply)
    {
        auto turn = parseTurnRequest(request.body_);
        if (!turn)
            return refuseMalformed(*reply, request);
        if (isDraining_)
            return answerPeer(*reply, httpOk, encode(TurnReply {}));
        grantToPeer(*turn, std::move(reply));
    }

    void grantToPeer(const TurnRequest& turn, std::shared_ptr<FrontReply> reply)
    {
        TurnId id { ++lastTurn_ };
        auto entry = std::make_shared<PendingTurn>();
        entry->request_ = turn;
        entry->isForPeer_ = true;
        entry->replyDeadline_ = bootNow() + homeReplyTimeout;
        entry->canAskHolders_ = false; // The requesting VM does that; forwarding here could form a loop.
        entry->done_ = [this, turn, reply](const TurnGrant& grant) {
            TurnReply message = grant.reply_;
            if (message.decision_ == TurnDecision::Granted) {
                message.grant_ = ++lastGrant_;
                grants_[message.grant_]
                    = { turn.program_, turn.maxTokens_, bootNow() + turn.timeLeft_ + grantMargin };
            }
            answerPeer(*reply, httpOk, encode(message));
        };
        pending_[id] = entry;
        reply->onDisconnect([this, id] { abandonTurn(id); });
        requestLocally(id, entry);
    }

    void handlePeerEnd(const FrontRequest& request, FrontReply& reply)
    {
        auto end = parseTurnEnd(request.body_);
        if (!end)
            return refuseMalformed(reply, request);
        answerPeer(reply, httpOk, "");
        auto grant = grants_.find(end->grant_);
        if (grant == grants_.end())
            return recordUnknownGrant(*end);
        PeerGrant ended = grant->second;
        grants_.erase(grant);
        recordLastTarget(lastTargets_, ended.program_, end->target_, bootNow());
        budgets_.onTurnEnded(ended.program_, ended.maxTokens_, end->usedTokens_);
    }

    // The grant has expired, and counts as fully used, or is of an earlier process, whose claim counts.
    void recordUnknownGrant(const TurnEnd& end)
    {
        unknown_.add();
        logEvent("turn-end-unknown",
            { { "grant", std::to_string(end.grant_) }, { "used", std::to_string(end.usedTokens_.value_) },
                { "grants", std::to_string(grants_.size()) } });
    }

    // The write of the claim continues, so that a retry of the peer finds it done.
    void replyClaimPending(TurnId id)
    {
        PendingTurnPtr entry = pending_.at(id);
        pending_.erase(id);
        budgets_.onTurnAbandoned(entry->request_.program_, id);
        entry->done_(
            { replyFor(entry->request_.program_, TurnDecision::ClaimPending), options_.vm_, {}, {} });
    }

    void tick(bool isDraining, MonotonicTime now)
    {
        isDraining_ = isDraining;
        peers_.isStoreReachable_ = !store_.isBetterAvoided();
        expireCalls(now);
        if (now >= evictLastTargetsAt_) {
            evictLastTargetsAt_ = now + lastTargetRetention;
            evictLastTargets(lastTargets_, now);
        }
        auto isExpired = [now](const auto& grant) { return now >= grant.second.expiresAt_; };
        auto next = [&] { return std::find_if(grants_.begin(), grants_.end(), isExpired); };
        // The end of a turn may decide others, and so end further grants.
        for (auto grant = next(); grant != grants_.end(); grant = next()) {
            PeerGrant expired = grant->second;
            grants_.erase(grant);
            expired_.add();
            budgets_.onTurnEnded(expired.program_, expired.maxTokens_, expired.maxTokens_);
        }
        budgets_.tick(isDraining, now);
    }

    void expireCalls(MonotonicTime now)
    {
        std::vector<TurnId> expired;
        std::vector<TurnId> retries;
        std::vector<TurnId> claimPending;
        for (const auto& [id, entry] : pending_) {
            if (entry->call_ && now >= entry->callDeadline_)
                expired.push_back(id);
            else if (entry->retryAt_ && now >= *entry->retryAt_)
                retries.push_back(id);
            else if (entry->isForPeer_ && now >= entry->replyDeadline_)
                claimPending.push_back(id);
        }
        for (TurnId id : claimPending) {
            if (pending_.count(id)) // A reply may let a request in that decides others.
                replyClaimPending(id);
        }
        for (TurnId id : retries) {
            auto found = pending_.find(id);
            if (found != pending_.end())
                retry(id, PendingTurnPtr(found->second));
        }
        for (TurnId id : expired) {
            auto found = pending_.find(id);
            if (found == pending_.end())
                continue;
            PendingTurnPtr entry = found->second;
            entry->call_->cancel();
            entry->call_ = nullptr;
            onPeerFailure(id, entry, "timed out");
        }
    }
};

TurnBroker::TurnBroker(PeerExchange& exchange, PacedStore& store, const TurnBrokerOptions& options)
    : impl_(std::make_shared<Impl>(exchange, store, options))
{
}

TurnBroker::~TurnBroker() = default;

TurnId TurnBroker::requestTurn(const TurnRequest& request, OnGrant done)
{
    return impl_->requestTurn(request, std::move(done));
}

std::string TurnBroker::describe(TurnId turn) const { return impl_->describe(turn); }

void TurnBroker::abandonTurn(TurnId turn) { impl_->abandonTurn(turn); }

void TurnBroker::endTurn(const TurnGrant& grant, TokenCount used, const TargetId& target)
{
    impl_->endTurn(grant, used, target);
}

void TurnBroker::tick(bool isDraining, MonotonicTime now) { impl_->tick(isDraining, now); }

bool TurnBroker::isIdle() const { return impl_->budgets_.isIdle(); }

std::size_t TurnBroker::programs() const { return impl_->budgets_.programs(); }

} // namespace fescue
