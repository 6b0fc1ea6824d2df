#include "PermitBroker.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"
#include "PeerPermits.h"

#include <algorithm>
#include <asio/post.hpp>
#include <fmt/format.h>
#include <list>

namespace fescue {

namespace {

    constexpr const char* permitsPath = "/permits";
    constexpr int httpOk = 200;
    constexpr Milliseconds replyTimeout { 150 };
    // The first VM of the zone, and the one that stands in for it; see `permitShare`.
    constexpr std::size_t maxPeersAsked = 2;
    // Until a VM that gives out permits may be reachable again.
    constexpr Milliseconds retryAfterFailure { 500 };
    constexpr Milliseconds evictionInterval { 10000 };

} // namespace

struct PermitBroker::Impl : std::enable_shared_from_this<PermitBroker::Impl> {
    // A request that waits for its reply.
    struct Pending {
        PermitRequest request_;
        OnReply done_; ///< Empty once it was called, or if nobody waits for a reply.
        std::vector<PeerEntry> ranked_; ///< VMs of the zone.
        std::size_t nextRank_ = 0;
        std::shared_ptr<OutboundCall> call_;
        VmId peer_; ///< That `call_` was sent to.
        MonotonicTime deadline_;
        std::string replyBody_;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    asio::io_context& io_;
    PeerExchange& exchange_;
    PeerList& peers_; ///< Of the exchange.
    RateBeliefs beliefs_;
    PermitTable table_; ///< Of the targets for which this VM gives out permits.
    std::list<PendingPtr> pending_;
    MonotonicTime evictAt_;
    Counter granted_ { "permits_total", { "outcome", "granted" } };
    Counter refused_ { "permits_total", { "outcome", "refused" } };
    Counter failures_ { "permit_requests_failed_total" };

    Impl(asio::io_context& io, PeerExchange& exchange, RateBeliefs beliefs)
        : io_(io)
        , exchange_(exchange)
        , peers_(exchange.peers())
        , beliefs_(std::move(beliefs))
    {
        // The exchange serves calls for as long as this broker exists.
        exchange_.serve(
            permitsPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                handlePeerRequest(request, *reply);
            });
    }

    void handlePeerRequest(const FrontRequest& request, FrontReply& reply)
    {
        auto message = parsePermitRequest(request.body_, bootNow());
        if (!message)
            return refuseMalformed(reply, request);
        beliefs_.record_(message->start_, message->last_);
        answerPeer(reply, httpOk, encode(grant(*message), bootNow()));
    }

    // Precondition: what the VM that asks has observed is recorded.
    PermitReply grant(const PermitRequest& request)
    {
        PermitReply reply;
        const RateObservation* last = beliefs_.last_(request.start_);
        if (last)
            reply.last_ = *last;
        if (!last || !last->rate_ || request.wanted_ == 0)
            return reply;
        std::vector<PeerEntry> ranked = rankedVms(peers_, request.zone_, request.start_.target_.value_);
        auto own = std::find_if(
            ranked.begin(), ranked.end(), [this](const PeerEntry& vm) { return vm.vm_ == peers_.own_; });
        if (own == ranked.end()) {
            reply.retryAfter_ = retryAfterFailure;
            return reply;
        }
        auto rank = static_cast<std::size_t>(own - ranked.begin());
        PermitReply permits = grantPermits(table_, request, *last->rate_, { rank, ranked.size() }, bootNow());
        permits.last_ = reply.last_;
        granted_.add(permits.granted_);
        refused_.add(request.wanted_ - permits.granted_);
        logEvent("permits",
            { { "target", request.start_.target_.value_ }, { "for", request.vm_.value_ },
                { "rank", std::to_string(rank) },
                { "per_second", fmt::format("{:.2f}", last->rate_->value_) },
                { "age_ms", std::to_string((bootNow() - last->observedAt_).count()) },
                { "wanted", std::to_string(request.wanted_) },
                { "granted", std::to_string(permits.granted_) },
                { "retry_after_ms", std::to_string(permits.retryAfter_.count()) } });
        return permits;
    }

    void request(const TargetStart& start, const ZoneId& zone, std::uint32_t wanted, OnReply done)
    {
        auto pending = std::make_shared<Pending>();
        pending->request_ = { peers_.own_, start, zone, {}, wanted };
        if (const RateObservation* last = beliefs_.last_(start))
            pending->request_.last_ = *last;
        pending->done_ = std::move(done);
        pending->ranked_ = rankedVms(peers_, zone, start.target_.value_);
        pending_.push_back(pending);
        askNext(pending);
    }

    void askNext(const PendingPtr& pending)
    {
        while (pending->nextRank_ < std::min(maxPeersAsked, pending->ranked_.size())) {
            const PeerEntry& vm = pending->ranked_[pending->nextRank_++];
            if (vm.vm_ == peers_.own_)
                return grantLocally(pending);
            if (isUsable(peers_, vm.vm_, bootNow()) && ask(pending, vm))
                return;
        }
        if (isOwnZone(*pending))
            return grantLocally(pending);
        fail(pending);
    }

    bool isOwnZone(const Pending& pending) const
    {
        return std::any_of(pending.ranked_.begin(), pending.ranked_.end(),
            [this](const PeerEntry& vm) { return vm.vm_ == peers_.own_; });
    }

    // Posted, since the caller may be in the middle of a dispatch.
    void grantLocally(const PendingPtr& pending)
    {
        asio::post(io_, [weak = weak_from_this(), pending] {
            if (auto self = weak.lock())
                self->finish(pending, self->grant(pending->request_));
        });
    }

    void fail(const PendingPtr& pending)
    {
        failures_.add();
        logEvent("permits-failed",
            { { "target", pending->request_.start_.target_.value_ },
                { "vms", std::to_string(pending->ranked_.size()) },
                { "reason", "no VM that gives out permits for the target can be reached" } });
        asio::post(io_, [weak = weak_from_this(), pending] {
            PermitReply reply;
            reply.retryAfter_ = retryAfterFailure;
            if (auto self = weak.lock())
                self->finish(pending, reply);
        });
    }

    bool ask(const PendingPtr& pending, const PeerEntry& vm)
    {
        pending->peer_ = vm.vm_;
        pending->deadline_ = bootNow() + replyTimeout;
        pending->replyBody_.clear();
        OutboundCallbacks callbacks;
        callbacks.onBody_ = [pending](std::string part) { pending->replyBody_ += part; };
        callbacks.onEnd_ = [weak = weak_from_this(), pending](const OutboundResult& end) {
            auto self = weak.lock();
            if (!self)
                return;
            pending->call_ = nullptr;
            bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
            // One that answers something else, such as an older release, is not lost.
            recordPeerOutcome(self->peers_, pending->peer_, isAnswered, bootNow());
            self->handleReply(pending,
                isAnswered ? parsePermitReply(pending->replyBody_, bootNow()) : std::nullopt,
                isAnswered ? "it does not give out permits" : end.reason_);
        };
        pending->call_
            = exchange_.post(vm, permitsPath, encode(pending->request_, bootNow()), std::move(callbacks));
        return pending->call_ != nullptr;
    }

    void handleReply(const PendingPtr& pending, const std::optional<PermitReply>& reply, const char* reason)
    {
        if (reply)
            return finish(pending, *reply);
        logEvent("peer-failed",
            { { "peer", pending->peer_.value_ }, { "target", pending->request_.start_.target_.value_ },
                { "reason", reason } });
        askNext(pending);
    }

    void finish(const PendingPtr& pending, const PermitReply& reply)
    {
        pending_.remove(pending);
        if (reply.last_)
            beliefs_.record_(pending->request_.start_, *reply.last_);
        if (pending->done_)
            std::exchange(pending->done_, nullptr)(reply);
    }

    void tick(MonotonicTime now)
    {
        std::vector<PendingPtr> expired;
        for (const PendingPtr& pending : pending_) {
            if (pending->call_ && now >= pending->deadline_)
                expired.push_back(pending);
        }
        for (const PendingPtr& pending : expired) {
            pending->call_->cancel();
            pending->call_ = nullptr;
            recordPeerOutcome(peers_, pending->peer_, false, bootNow());
            handleReply(pending, std::nullopt, "timed out");
        }
        if (now < evictAt_)
            return;
        evictAt_ = now + evictionInterval;
        evictIdleBuckets(table_, now);
    }
};

PermitBroker::PermitBroker(asio::io_context& io, PeerExchange& exchange, RateBeliefs beliefs)
    : impl_(std::make_shared<Impl>(io, exchange, std::move(beliefs)))
{
}

PermitBroker::~PermitBroker() = default;

void PermitBroker::request(const TargetStart& start, const ZoneId& zone, std::uint32_t wanted, OnReply done)
{
    impl_->request(start, zone, wanted, std::move(done));
}

void PermitBroker::publish(const TargetStart& start, const ZoneId& zone)
{
    impl_->request(start, zone, 0, nullptr);
}

void PermitBroker::tick(MonotonicTime now) { impl_->tick(now); }

} // namespace fescue
