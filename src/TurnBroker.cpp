#include "TurnBroker.h"

#include "BootClock.h"
#include "EventLog.h"
#include "FrontServer.h"
#include "Metrics.h"
#include "OutboundPool.h"
#include "TcpLink.h"

#include <algorithm>
#include <set>

namespace fescue {

namespace {

    constexpr const char* turnPath = "/turns";
    constexpr const char* endPath = "/turns/ended";
    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int unavailable = 503;
    // A home answers in this time, if only that it is still writing; a VM that is gone costs a turn the
    // time-out.
    constexpr Milliseconds homeAnswersWithin { 150 };
    constexpr Milliseconds peerTimeout { 300 };
    constexpr Milliseconds peerConnectTimeout { 150 };
    // Homes that one turn is asked at before this VM decides itself.
    constexpr int mostHomes = 3;
    // Turns of a program end some hundred milliseconds apart.
    constexpr Milliseconds askAgainAfter { 120 };
    // A turn of a peer that has not been reported as ended by then counts as having used all.
    constexpr Milliseconds grantMargin { 1500 };
    // Pauses between two turns are shorter; a prompt that rested for longer may have been evicted.
    constexpr Milliseconds targetMemory { 10000 };

} // namespace

struct TurnBroker::Impl : std::enable_shared_from_this<TurnBroker::Impl> {
    // A turn that waits for its decision.
    struct Ask {
        TurnRequest request_;
        OnGrant done_;
        int homesAsked_ = 0;
        std::vector<WriterId> holders_; ///< Still to be asked.
        std::shared_ptr<OutboundCall> call_;
        VmId asked_; ///< The peer of `call_`.
        MonotonicTime callUntil_;
        MonotonicTime until_; ///< The turn is of no use afterwards.
        std::optional<MonotonicTime> askAgainAt_;
        bool mayAskHolders_ = true;
        bool isForPeer_ = false;
        MonotonicTime answerBy_; ///< A peer is told by then.
        std::string answer_;
    };
    using AskPtr = std::shared_ptr<Ask>;

    // A turn of a peer that was granted here.
    struct PeerGrant {
        ProgramId program_;
        TokenCount most_;
        MonotonicTime expiresAt_;
    };

    // Where a program's prompt is cached.
    struct LastTarget {
        TargetId target_;
        MonotonicTime at_;
    };

    TurnBrokerOptions options_;
    StoreHealth& health_;
    OutboundPool outbound_;
    BudgetKeeper keeper_;
    PeerList peers_;
    std::unique_ptr<FrontServer> server_;
    std::map<TurnId, AskPtr> asks_;
    std::map<std::uint64_t, PeerGrant> grants_;
    std::map<ProgramId, LastTarget> lastTargets_; ///< Of programs whose turns were granted here.
    MonotonicTime forgetTargetsAt_;
    std::uint64_t lastTurn_ = 0;
    std::uint64_t lastGrant_ = 0;
    bool isDraining_ = false;
    Counter peerAsks_ { "peer_turns_asked_total" };
    Counter peerFailures_ { "peer_failures_total" };
    Counter expired_ { "peer_grants_expired_total" };

    Impl(asio::io_context& io, platform::StoreClient& store, StoreHealth& health,
        const TurnBrokerOptions& options)
        : options_(options)
        , health_(health)
        , outbound_(io)
        , keeper_(store, health, options.writer_, options.partitions_,
              [this](TurnId turn, TurnDecision decision) { decidedHere(turn, decision); })
    {
        peers_.own_ = options.vm_;
        if (options.address_.empty())
            return;
        server_ = std::make_unique<FrontServer>(
            io, options.address_,
            [this](FrontRequest request, std::shared_ptr<FrontReply> reply) {
                takePeerRequest(request, std::move(reply));
            },
            [](int status, const char* reason, const HttpHead*) {
                logWarning("peer-request-refused", reason, { { "status", std::to_string(status) } });
            });
    }

    TurnId ask(const TurnRequest& request, OnGrant done)
    {
        TurnId id { ++lastTurn_ };
        auto entry = std::make_shared<Ask>();
        entry->request_ = request;
        entry->done_ = std::move(done);
        entry->until_ = bootNow() + request.left_;
        asks_[id] = entry;
        askHome(id, entry);
        return id;
    }

    void askHome(TurnId id, const AskPtr& entry)
    {
        auto home = homeOf(peers_, options_.zone_, entry->request_.program_, bootNow());
        bool isHere = !home || home->vm_ == options_.vm_ || entry->homesAsked_ >= mostHomes;
        if (isHere)
            return askHere(id, entry);
        ++entry->homesAsked_;
        askPeer(id, entry, *home);
    }

    void askHere(TurnId id, const AskPtr& entry)
    {
        const TurnRequest& request = entry->request_;
        if (!request.mayBegin_ && !hasBegun(request.program_)) {
            TurnReply reply;
            reply.decision_ = TurnDecision::NotAdmitted;
            return decided(id, entry, { reply, options_.vm_, request.program_, request.most_ });
        }
        WaitingTurn turn { id, request.most_, !entry->isForPeer_ };
        keeper_.turnArrived(request.program_, request.budget_, request.retention_, turn);
    }

    bool hasBegun(const ProgramId& program) const
    {
        const ProgramBudget* budget = keeper_.find(program);
        return budget && (budget->spent_ + budget->reserved_ + budget->othersClaimed_).value_ > 0;
    }

    void askPeer(TurnId id, const AskPtr& entry, const PeerEntry& peer)
    {
        peerAsks_.add();
        entry->asked_ = peer.vm_;
        entry->callUntil_ = bootNow() + peerTimeout;
        entry->answer_.clear();
        HttpHead head;
        head.method_ = "POST";
        head.target_ = turnPath;
        OutboundCallbacks callbacks;
        callbacks.onBody_ = [entry](std::string part) { entry->answer_ += part; };
        callbacks.onEnd_ = [weak = weak_from_this(), id, entry](const OutboundResult& end) {
            auto self = weak.lock();
            if (!self || !self->asks_.count(id))
                return;
            entry->call_ = nullptr;
            if (end.outcome_ == OutboundResult::Outcome::Answered)
                self->tookReply(id, entry);
            else
                self->peerFailed(id, entry, end.reason_);
        };
        entry->call_ = send(peer, std::move(head), encode(entry->request_), std::move(callbacks));
        if (!entry->call_)
            peerFailed(id, entry, "its address cannot be used");
    }

    std::shared_ptr<OutboundCall> send(
        const PeerEntry& peer, HttpHead head, std::string body, OutboundCallbacks callbacks)
    {
        auto address = parseEndpoint(peer.address_);
        if (!address)
            return nullptr;
        head.headers_.push_back({ "Host", peer.address_ });
        OutboundRequest request { *address, std::move(head), std::move(body), peerConnectTimeout };
        return outbound_.send(std::move(request), std::move(callbacks));
    }

    void peerFailed(TurnId id, const AskPtr& entry, const char* reason)
    {
        peerFailures_.add();
        notePeerOutcome(peers_, entry->asked_, false, bootNow());
        logEvent("peer-failed",
            { { "peer", entry->asked_.value_ }, { "program", entry->request_.program_.value_ },
                { "reason", reason } });
        askNext(id, entry);
    }

    void askNext(TurnId id, const AskPtr& entry)
    {
        if (entry->mayAskHolders_)
            return askHome(id, entry);
        askHolders(id, entry);
    }

    void tookReply(TurnId id, const AskPtr& entry)
    {
        auto reply = parseTurnReply(entry->answer_);
        if (!reply)
            return peerFailed(id, entry, "its reply cannot be read");
        notePeerOutcome(peers_, entry->asked_, true, bootNow());
        // A home that drains or has lost the store says so; another one may fare better.
        if (reply->decision_ == TurnDecision::Unavailable) {
            notePeerOutcome(peers_, entry->asked_, false, bootNow());
            return askNext(id, entry);
        }
        decided(id, entry, { *reply, entry->asked_, entry->request_.program_, entry->request_.most_ });
    }

    void decidedHere(TurnId id, TurnDecision decision)
    {
        auto found = asks_.find(id);
        if (found == asks_.end())
            return;
        AskPtr entry = found->second;
        TurnReply reply = replyHere(entry->request_.program_, decision);
        decided(id, entry, { reply, options_.vm_, entry->request_.program_, entry->request_.most_ });
    }

    TurnReply replyHere(const ProgramId& program, TurnDecision decision) const
    {
        TurnReply reply;
        reply.decision_ = decision;
        auto last = lastTargets_.find(program);
        if (last != lastTargets_.end())
            reply.lastTarget_ = last->second.target_;
        const ProgramBudget* budget = keeper_.find(program);
        if (!budget)
            return reply;
        reply.spent_ = budget->spent_;
        reply.claimed_ = budget->usable_;
        reply.othersClaimed_ = budget->othersClaimed_;
        if (decision == TurnDecision::HeldElsewhere)
            reply.holders_ = budget->holders_;
        return reply;
    }

    void decided(TurnId id, const AskPtr& entry, const TurnGrant& grant)
    {
        if (grant.reply_.decision_ == TurnDecision::HeldElsewhere && entry->mayAskHolders_) {
            entry->mayAskHolders_ = false;
            entry->holders_ = grant.reply_.holders_;
            return askHolders(id, entry);
        }
        if (grant.reply_.decision_ == TurnDecision::HeldElsewhere && !entry->holders_.empty())
            return askHolders(id, entry);
        if (grant.reply_.decision_ == TurnDecision::Writing && !entry->isForPeer_) {
            entry->askAgainAt_ = bootNow();
            return;
        }
        bool isInUse = grant.reply_.decision_ == TurnDecision::InUse && !entry->isForPeer_;
        if (isInUse && bootNow() + askAgainAfter < entry->until_) {
            entry->askAgainAt_ = bootNow() + askAgainAfter;
            return;
        }
        asks_.erase(id);
        entry->done_(grant);
    }

    void askAgain(TurnId id, const AskPtr& entry)
    {
        entry->askAgainAt_.reset();
        entry->homesAsked_ = 0;
        entry->mayAskHolders_ = true;
        entry->holders_.clear();
        askHome(id, entry);
    }

    void askHolders(TurnId id, const AskPtr& entry)
    {
        while (!entry->holders_.empty()) {
            WriterId holder = entry->holders_.back();
            entry->holders_.pop_back();
            if (holder == options_.writer_)
                return askHere(id, entry);
            if (auto peer = peerOfWriter(peers_, holder, bootNow()))
                return askPeer(id, entry, *peer);
        }
        TurnReply reply;
        reply.decision_ = TurnDecision::HeldElsewhere;
        asks_.erase(id);
        entry->done_({ reply, options_.vm_, entry->request_.program_, entry->request_.most_ });
    }

    std::string describe(TurnId id) const
    {
        auto found = asks_.find(id);
        if (found == asks_.end())
            return {};
        const Ask& entry = *found->second;
        if (entry.call_)
            return "the home " + entry.asked_.value_;
        if (entry.askAgainAt_)
            return "other turns of the program";
        return keeper_.describe(entry.request_.program_);
    }

    void abandon(TurnId id)
    {
        auto found = asks_.find(id);
        if (found == asks_.end())
            return;
        AskPtr entry = found->second;
        asks_.erase(found);
        if (entry->call_)
            entry->call_->cancel();
        keeper_.turnAbandoned(entry->request_.program_, id);
    }

    void ended(const TurnGrant& grant, TokenCount used, const TargetId& target)
    {
        if (grant.granter_ == options_.vm_) {
            noteTarget(grant.program_, target);
            return keeper_.turnEnded(grant.program_, grant.most_, used);
        }
        auto peer = peers_.peers_.find(grant.granter_);
        if (peer == peers_.peers_.end())
            return; // It has drained; its claim stands as it was written last.
        HttpHead head;
        head.method_ = "POST";
        head.target_ = endPath;
        OutboundCallbacks callbacks;
        callbacks.onEnd_ = [weak = weak_from_this(), vm = grant.granter_](const OutboundResult& end) {
            // Without this message the granter counts the turn at its most once it has expired.
            auto self = weak.lock();
            if (self && end.outcome_ != OutboundResult::Outcome::Answered)
                notePeerOutcome(self->peers_, vm, false, bootNow());
        };
        send(peer->second, std::move(head), encode(TurnEnd { grant.reply_.grant_, used, target }),
            std::move(callbacks));
    }

    void takePeerRequest(const FrontRequest& request, std::shared_ptr<FrontReply> reply)
    {
        if (request.head_.target_ == endPath)
            return takePeerEnd(request.body_, *reply);
        auto turn = parseTurnRequest(request.body_);
        if (request.head_.target_ != turnPath || !turn)
            return answer(*reply, badRequest, "");
        if (isDraining_)
            return answer(*reply, ok, encode(TurnReply {}));
        grantToPeer(*turn, std::move(reply));
    }

    void grantToPeer(const TurnRequest& turn, std::shared_ptr<FrontReply> reply)
    {
        TurnId id { ++lastTurn_ };
        auto entry = std::make_shared<Ask>();
        entry->request_ = turn;
        entry->isForPeer_ = true;
        entry->answerBy_ = bootNow() + homeAnswersWithin;
        entry->mayAskHolders_ = false; // The asking VM does that; otherwise requests could go round.
        entry->done_ = [this, turn, reply](const TurnGrant& grant) {
            TurnReply message = grant.reply_;
            if (message.decision_ == TurnDecision::Granted) {
                message.grant_ = ++lastGrant_;
                grants_[message.grant_] = { turn.program_, turn.most_, bootNow() + turn.left_ + grantMargin };
            }
            answer(*reply, ok, encode(message));
        };
        asks_[id] = entry;
        reply->onGone([this, id] { abandon(id); });
        askHere(id, entry);
    }

    void takePeerEnd(const std::string& body, FrontReply& reply)
    {
        auto end = parseTurnEnd(body);
        auto grant = end ? grants_.find(end->grant_) : grants_.end();
        if (grant != grants_.end()) {
            PeerGrant ended = grant->second;
            grants_.erase(grant);
            noteTarget(ended.program_, end->target_);
            keeper_.turnEnded(ended.program_, ended.most_, end->used_);
        }
        answer(reply, ok, "");
    }

    void noteTarget(const ProgramId& program, const TargetId& target)
    {
        if (!target.empty())
            lastTargets_[program] = { target, bootNow() };
    }

    void forgetTargets(MonotonicTime now)
    {
        if (now < forgetTargetsAt_)
            return;
        forgetTargetsAt_ = now + targetMemory;
        for (auto last = lastTargets_.begin(); last != lastTargets_.end();)
            last = now > last->second.at_ + targetMemory ? lastTargets_.erase(last) : std::next(last);
    }

    // The claim goes on, so that the peer's next question finds it written.
    void tellWriting(TurnId id)
    {
        AskPtr entry = asks_.at(id);
        asks_.erase(id);
        keeper_.turnAbandoned(entry->request_.program_, id);
        entry->done_({ replyHere(entry->request_.program_, TurnDecision::Writing), options_.vm_, {}, {} });
    }

    static void answer(FrontReply& reply, int status, const std::string& body)
    {
        HttpHead head;
        head.status_ = status;
        reply.answer(std::move(head), body);
    }

    void tick(bool isDraining, MonotonicTime now)
    {
        isDraining_ = isDraining;
        peers_.hasStore_ = health_.isUp_;
        outbound_.tick(now);
        if (server_)
            server_->tick(now);
        expireCalls(now);
        forgetTargets(now);
        for (auto grant = grants_.begin(); grant != grants_.end();) {
            if (now < grant->second.expiresAt_) {
                ++grant;
                continue;
            }
            PeerGrant late = grant->second;
            grant = grants_.erase(grant);
            expired_.add();
            keeper_.turnEnded(late.program_, late.most_, late.most_);
        }
        keeper_.tick(isDraining, now);
    }

    void expireCalls(MonotonicTime now)
    {
        std::vector<TurnId> late;
        std::vector<TurnId> again;
        std::vector<TurnId> writing;
        for (const auto& [id, entry] : asks_) {
            if (entry->call_ && now >= entry->callUntil_)
                late.push_back(id);
            else if (entry->askAgainAt_ && now >= *entry->askAgainAt_)
                again.push_back(id);
            else if (entry->isForPeer_ && now >= entry->answerBy_)
                writing.push_back(id);
        }
        for (TurnId id : writing)
            tellWriting(id);
        for (TurnId id : again) {
            auto found = asks_.find(id);
            if (found != asks_.end())
                askAgain(id, AskPtr(found->second));
        }
        for (TurnId id : late) {
            auto found = asks_.find(id);
            if (found == asks_.end())
                continue;
            AskPtr entry = found->second;
            entry->call_->cancel();
            entry->call_ = nullptr;
            peerFailed(id, entry, "no reply in time");
        }
    }
};

TurnBroker::TurnBroker(
    asio::io_context& io, platform::StoreClient& store, StoreHealth& health, const TurnBrokerOptions& options)
    : impl_(std::make_shared<Impl>(io, store, health, options))
{
}

TurnBroker::~TurnBroker() = default;

TurnId TurnBroker::ask(const TurnRequest& request, OnGrant done)
{
    return impl_->ask(request, std::move(done));
}

std::string TurnBroker::describe(TurnId turn) const { return impl_->describe(turn); }

void TurnBroker::abandon(TurnId turn) { impl_->abandon(turn); }

void TurnBroker::ended(const TurnGrant& grant, TokenCount used, const TargetId& target)
{
    impl_->ended(grant, used, target);
}

void TurnBroker::setPeers(const std::map<VmId, PeerEntry>& peers) { impl_->peers_.peers_ = peers; }

void TurnBroker::tick(bool isDraining, MonotonicTime now) { impl_->tick(isDraining, now); }

bool TurnBroker::isQuiet() const { return impl_->keeper_.isQuiet(); }

std::size_t TurnBroker::programs() const { return impl_->keeper_.programs(); }

} // namespace fescue
