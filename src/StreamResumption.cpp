#include "StreamResumption.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"
#include "OriginHolders.h"
#include "PeerStreams.h"

#include <algorithm>
#include <list>

namespace fescue {

namespace {

    constexpr const char* copiesPath = "/streams";
    constexpr const char* queryPath = "/streams/origin";
    constexpr int httpOk = 200;
    constexpr Milliseconds searchTimeout { 150 };
    // A VM that works replies at once. One that is paused keeps connections open, and its copies may be lost.
    constexpr Milliseconds copyTimeout { 300 };
    // Bounds the messages to a peer. What began within this time before a VM is lost has no copy.
    constexpr Milliseconds copyInterval { 40 };

    std::string describe(const std::set<ServiceId>& services)
    {
        std::string names;
        for (const ServiceId& service : services)
            names += (names.empty() ? "" : ",") + service.value_;
        return names;
    }

    std::string describe(const std::map<ZoneId, std::size_t>& peersByZone)
    {
        std::string counts;
        for (const auto& [zone, peers] : peersByZone)
            counts += (counts.empty() ? "" : ",") + zone.value_ + ":" + std::to_string(peers);
        return counts;
    }

} // namespace

struct StreamResumption::Impl : std::enable_shared_from_this<StreamResumption::Impl> {
    // A search for the origin of a stream: in what the store lists, then at several peers.
    struct Search {
        AttemptId attempt_;
        StreamPlace place_;
        OnFound done_;
        bool isReading_ = false; ///< The store.
        std::optional<MonotonicTime> askedAt_; ///< When the peers were asked.
        std::vector<std::shared_ptr<OutboundCall>> calls_;
        std::size_t unanswered_ = 0;
        std::size_t replies_ = 0;
        std::map<ZoneId, std::size_t> askedByZone_; ///< Peers asked.
        MonotonicTime startedAt_;
    };
    using SearchPtr = std::shared_ptr<Search>;

    // A stream of this VM that no peer has a copy of.
    struct Uncopied {
        StreamOrigin origin_;
        StreamPlace place_;
        std::uint64_t checkedGeneration_ = 0; ///< Of the routes for which `hasOneService_` holds.
        bool hasOneService_ = false; ///< It can have begun at one service only.
    };

    // Copies on their way to a peer.
    struct Batch {
        VmId peer_;
        std::vector<BegunStream> streams_;
        std::shared_ptr<OutboundCall> call_;
        MonotonicTime deadline_;
    };
    using BatchPtr = std::shared_ptr<Batch>;

    PeerExchange& exchange_;
    ZoneId zone_;
    const TargetList& targets_;
    const RouteHistory& routes_;
    Refresh refresh_;
    Milliseconds retention_ { 10000 }; ///< How long after its begin a stream may be taken up.
    StreamOrigins streams_; ///< Of this VM, and copies of others'.
    std::map<AttemptId, Uncopied> uncopied_;
    std::list<SearchPtr> searches_;
    std::list<BatchPtr> batches_;
    MonotonicTime nextCopiesAt_;
    Counter copiedInZone_ { "stream_origins_copied_total", { "zone", "own" } };
    Counter copiedElsewhere_ { "stream_origins_copied_total", { "zone", "other" } };
    Counter found_ { "stream_origin_searches_total", { "outcome", "found" } };
    Counter unknown_ { "stream_origin_searches_total", { "outcome", "unknown" } };

    Impl(PeerExchange& exchange, const TargetList& targets, const RouteHistory& routes, const ZoneId& zone,
        Refresh refresh)
        : exchange_(exchange)
        , zone_(zone)
        , targets_(targets)
        , routes_(routes)
        , refresh_(std::move(refresh))
    {
        exchange_.serve(
            copiesPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                handleCopies(request, *reply);
            });
        exchange_.serve(
            queryPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                handleQuery(request, reply);
            });
    }

    void handleCopies(const FrontRequest& request, FrontReply& reply)
    {
        auto streams = parseStreams(request.body_);
        if (!streams)
            return refuseMalformed(reply, request);
        for (const BegunStream& stream : *streams)
            recordStream(streams_, stream, bootNow());
        answerPeer(reply, httpOk, "");
    }

    void handleQuery(const FrontRequest& request, const std::shared_ptr<FrontReply>& reply)
    {
        auto query = parseOriginQuery(request.body_);
        if (!query)
            return refuseMalformed(*reply, request);
        auto origin = findOrigin(streams_, query->attempt_);
        if (origin || !listedVersion(query->service_))
            return answerPeer(*reply, httpOk, encode(OriginReply { origin, std::nullopt }));
        refresh_([weak = weak_from_this(), service = query->service_, reply](bool isRead) {
            auto self = weak.lock();
            OriginReply known;
            if (self && isRead) {
                known.soleVersion_ = self->listedVersion(service);
                known.isSoleCurrent_ = known.soleVersion_.has_value();
                known.routesFrom_ = coveredFrom(self->routes_, self->retention_, bootNow());
            }
            answerPeer(*reply, httpOk, encode(known), headersOf(known));
        });
    }

    std::optional<SoftwareVersion> listedVersion(const ServiceId& service) const
    {
        return soleVersion(targets_, service, retention_, bootNow());
    }

    // The only service at which a stream can have begun, as far as this VM knows the routes.
    std::optional<ServiceId> onlyService(const StreamPlace& place) const
    {
        std::set<ServiceId> services = possibleServices(routes_, place, bootNow());
        return services.size() == 1 ? std::optional(*services.begin()) : std::nullopt;
    }

    // What can only have begun a stream, as of the last reads of the store.
    std::optional<StreamOrigin> onlyOrigin(const StreamPlace& place) const
    {
        auto service = onlyService(place);
        if (!service || !isCovered(routes_, retention_, bootNow()))
            return std::nullopt;
        auto version = listedVersion(*service);
        return version ? std::optional(StreamOrigin { *service, *version }) : std::nullopt;
    }

    void find(const AttemptId& attempt, const StreamPlace& place, OnFound done)
    {
        auto search = std::make_shared<Search>();
        search->attempt_ = attempt;
        search->place_ = place;
        search->done_ = std::move(done);
        search->startedAt_ = bootNow();
        if (auto origin = findOrigin(streams_, attempt))
            return finish(search, origin, "own table");
        searches_.push_back(search);
        if (!onlyOrigin(place))
            return askPeers(search);
        search->isReading_ = true;
        refresh_([weak = weak_from_this(), search](bool isRead) {
            if (auto self = weak.lock())
                self->handleStore(search, isRead);
        });
    }

    void handleStore(const SearchPtr& search, bool isRead)
    {
        search->isReading_ = false;
        if (!search->done_)
            return;
        if (auto origin = isRead ? onlyOrigin(search->place_) : std::nullopt)
            return finish(search, origin, "only version");
        if (!search->askedAt_)
            return askPeers(search);
        finishIfUnknown(search);
    }

    void askPeers(const SearchPtr& search)
    {
        search->askedAt_ = bootNow();
        for (const PeerEntry& peer :
            originPeersToAsk(exchange_.peers(), zone_, search->attempt_, *search->askedAt_))
            ask(search, peer);
        finishIfUnknown(search);
    }

    void finishIfUnknown(const SearchPtr& search)
    {
        if (search->unanswered_ > 0 || search->isReading_)
            return;
        finish(search, std::nullopt, search->calls_.empty() ? "no peer to ask" : "no peer knows it");
    }

    void ask(const SearchPtr& search, const PeerEntry& peer)
    {
        auto body = std::make_shared<std::string>();
        auto routesFrom = std::make_shared<std::optional<std::uint64_t>>();
        // Without a single service the peer's only version is of no use.
        ServiceId service = onlyService(search->place_).value_or(ServiceId {});
        OutboundCallbacks callbacks;
        callbacks.onHead_ = [routesFrom](const HttpHead& head) { *routesFrom = parseRoutesFrom(head); };
        callbacks.onBody_ = [body](std::string part) { *body += part; };
        callbacks.onEnd_ = [weak = weak_from_this(), search, body, routesFrom, service, vm = peer.vm_](
                               const OutboundResult& end) {
            auto self = weak.lock();
            if (!self || !search->done_)
                return;
            --search->unanswered_;
            bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
            recordPeerOutcome(self->exchange_.peers(), vm, isAnswered, bootNow());
            auto reply = isAnswered ? parseOriginReply(*body) : std::nullopt;
            search->replies_ += reply ? 1 : 0;
            if (reply)
                reply->routesFrom_ = *routesFrom;
            self->handleReply(search, service, reply);
        };
        auto call = exchange_.post(
            peer, queryPath, encode(OriginQuery { search->attempt_, service }), std::move(callbacks));
        if (!call)
            return;
        ++search->unanswered_;
        ++search->askedByZone_[peer.zone_];
        search->calls_.push_back(std::move(call));
    }

    // What can only have begun a stream, with what a peer has said of the time before this VM's start.
    std::optional<StreamOrigin> onlyOriginWith(
        const OriginReply& reply, const ServiceId& service, const StreamPlace& place) const
    {
        bool isServiceCertain = onlyService(place) == service && reply.routesFrom_ && routes_.coveredSince_
            && routes_.coveredFrom_ <= *reply.routesFrom_;
        if (!isServiceCertain || !reply.soleVersion_ || !reply.isSoleCurrent_)
            return std::nullopt;
        // A version that this VM has seen may have left before the peer began to follow the list.
        std::set<SoftwareVersion> seen = recentVersions(targets_, service, retention_, bootNow());
        seen.insert(*reply.soleVersion_);
        return seen.size() == 1 ? std::optional(StreamOrigin { service, *reply.soleVersion_ }) : std::nullopt;
    }

    void handleReply(
        const SearchPtr& search, const ServiceId& service, const std::optional<OriginReply>& reply)
    {
        if (reply && reply->origin_)
            return finish(search, reply->origin_, "a peer's table");
        if (auto origin = reply ? onlyOriginWith(*reply, service, search->place_) : std::nullopt)
            return finish(search, origin, "only version at a peer");
        finishIfUnknown(search);
    }

    void finish(const SearchPtr& search, const std::optional<StreamOrigin>& origin, const char* source)
    {
        (origin ? found_ : unknown_).add();
        logEvent("stream-origin",
            { { "resumes", search->attempt_.value_ }, { "service", origin ? origin->service_.value_ : "" },
                { "version", origin ? origin->version_.value_ : "" }, { "source", source },
                { "candidates", describe(possibleServices(routes_, search->place_, bootNow())) },
                { "list_age_ms", std::to_string((bootNow() - targets_.readAt_).count()) },
                { "asked", describe(search->askedByZone_) }, { "replies", std::to_string(search->replies_) },
                { "took_ms", std::to_string((bootNow() - search->startedAt_).count()) } });
        searches_.remove(search);
        OnFound done = std::move(search->done_);
        search->done_ = nullptr;
        for (const auto& call : search->calls_)
            call->cancel();
        done(origin);
    }

    void recordBegin(const BegunStream& stream, const StreamPlace& place)
    {
        recordStream(streams_, stream, bootNow());
        uncopied_.emplace(stream.attempt_, Uncopied { stream.origin_, place });
    }

    bool hasOneService(Uncopied& stream) const
    {
        if (stream.checkedGeneration_ != routes_.generation_) {
            stream.hasOneService_ = onlyService(stream.place_) == stream.origin_.service_;
            stream.checkedGeneration_ = routes_.generation_;
        }
        return stream.hasOneService_;
    }

    // Streams that can have begun at one version of one service only wait, in case that another one comes.
    void sendCopies(MonotonicTime now)
    {
        std::map<VmId, std::pair<PeerEntry, std::vector<BegunStream>>> batches;
        std::map<ServiceId, bool> hasVersions; // Several, or maybe so.
        bool areRoutesCovered = isCovered(routes_, retention_, now);
        for (auto stream = uncopied_.begin(); stream != uncopied_.end();) {
            const AttemptId& attempt = stream->first;
            const StreamOrigin& origin = stream->second.origin_;
            auto [several, isNew] = hasVersions.emplace(origin.service_, false);
            if (isNew)
                several->second = !soleVersion(targets_, origin.service_, retention_, now);
            bool isNeeded = several->second || !areRoutesCovered || !hasOneService(stream->second);
            auto peers
                = isNeeded ? originHolders(exchange_.peers(), zone_, attempt, now) : std::vector<PeerEntry>();
            for (const PeerEntry& peer : peers) {
                auto& batch = batches[peer.vm_];
                batch.first = peer;
                batch.second.push_back({ attempt, origin });
            }
            bool isDone = !peers.empty() || !findOrigin(streams_, attempt);
            stream = isDone ? uncopied_.erase(stream) : std::next(stream);
        }
        for (auto& [vm, batch] : batches)
            sendBatch(batch.first, std::move(batch.second));
    }

    void sendBatch(const PeerEntry& peer, std::vector<BegunStream> streams)
    {
        (peer.zone_ == zone_ ? copiedInZone_ : copiedElsewhere_).add(streams.size());
        auto batch = std::make_shared<Batch>();
        batch->peer_ = peer.vm_;
        batch->streams_ = std::move(streams);
        batch->deadline_ = bootNow() + copyTimeout;
        batches_.push_back(batch);
        OutboundCallbacks callbacks;
        callbacks.onEnd_ = [weak = weak_from_this(), batch](const OutboundResult& end) {
            if (auto self = weak.lock())
                self->endBatch(batch, end.outcome_ == OutboundResult::Outcome::Answered);
        };
        batch->call_ = exchange_.post(peer, copiesPath, encode(batch->streams_), std::move(callbacks));
        if (!batch->call_)
            endBatch(batch, false);
    }

    void endBatch(const BatchPtr& batch, bool isAnswered)
    {
        batches_.remove(batch);
        recordPeerOutcome(exchange_.peers(), batch->peer_, isAnswered, bootNow());
        if (isAnswered)
            return;
        logEvent("stream-copies-failed",
            { { "peer", batch->peer_.value_ }, { "streams", std::to_string(batch->streams_.size()) },
                { "after_ms", std::to_string((bootNow() - batch->deadline_ + copyTimeout).count()) } });
        // Other peers get the copies then. Without a place a stream counts as one of several services.
        for (const BegunStream& stream : batch->streams_)
            uncopied_.emplace(stream.attempt_, Uncopied { stream.origin_, {} });
    }

    void cancelStalledBatches(MonotonicTime now)
    {
        std::vector<BatchPtr> stalled;
        for (const BatchPtr& batch : batches_) {
            if (now >= batch->deadline_)
                stalled.push_back(batch);
        }
        for (const BatchPtr& batch : stalled) {
            batch->call_->cancel();
            endBatch(batch, false);
        }
    }

    // Goes on with a search that has waited for too long. Reads of a slow store may still be answered.
    void endStep(const SearchPtr& search)
    {
        if (!search->askedAt_)
            askPeers(search);
        else if (!search->isReading_)
            finish(search, std::nullopt, "timed out");
    }

    void tick(MonotonicTime now)
    {
        std::vector<SearchPtr> overdue;
        for (const SearchPtr& search : searches_) {
            if (now >= search->askedAt_.value_or(search->startedAt_) + searchTimeout)
                overdue.push_back(search);
        }
        for (const SearchPtr& search : overdue)
            endStep(search);
        cancelStalledBatches(now);
        if (now < nextCopiesAt_)
            return;
        nextCopiesAt_ = now + copyInterval;
        dropStreamsBefore(streams_, now - retention_);
        sendCopies(now);
    }
};

StreamResumption::StreamResumption(PeerExchange& exchange, const TargetList& targets,
    const RouteHistory& routes, const ZoneId& zone, Refresh refresh)
    : impl_(std::make_shared<Impl>(exchange, targets, routes, zone, std::move(refresh)))
{
}

StreamResumption::~StreamResumption() = default;

void StreamResumption::setRetention(Milliseconds retention) { impl_->retention_ = retention; }

void StreamResumption::recordBegin(const BegunStream& stream, const StreamPlace& place)
{
    impl_->recordBegin(stream, place);
}

void StreamResumption::find(const AttemptId& attempt, const StreamPlace& place, OnFound done)
{
    impl_->find(attempt, place, std::move(done));
}

std::size_t StreamResumption::streams() const { return impl_->streams_.origins_.size(); }

void StreamResumption::tick(MonotonicTime now) { impl_->tick(now); }

} // namespace fescue
