#include "StreamResumption.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"
#include "PeerStreams.h"

#include <algorithm>
#include <list>

namespace fescue {

namespace {

    constexpr const char* copiesPath = "/streams";
    constexpr const char* queryPath = "/streams/origin";
    constexpr int httpOk = 200;
    constexpr std::size_t copyCount = 2;
    // One more than there are copies, since a VM may have left or come since a copy was sent.
    constexpr std::size_t maxAskedInZone = copyCount + 1;
    // Callers rarely change their zone.
    constexpr std::size_t maxAsked = 12;
    constexpr Milliseconds searchTimeout { 150 };
    // Bounds the messages to a peer. What began within this time before a VM is lost has no copy.
    constexpr Milliseconds copyInterval { 40 };

} // namespace

struct StreamResumption::Impl : std::enable_shared_from_this<StreamResumption::Impl> {
    // A search for the origin of a stream: in the list of targets, then at several peers.
    struct Search {
        OriginQuery query_;
        OnFound done_;
        bool isReadingList_ = false;
        std::optional<MonotonicTime> askedAt_; ///< When the peers were asked.
        std::vector<std::shared_ptr<OutboundCall>> calls_;
        std::size_t unanswered_ = 0;
        MonotonicTime startedAt_;
    };
    using SearchPtr = std::shared_ptr<Search>;

    PeerExchange& exchange_;
    ZoneId zone_;
    const TargetList& targets_;
    RefreshTargets refresh_;
    Milliseconds retention_ { 10000 }; ///< How long after its begin a stream may be taken up.
    StreamOrigins streams_; ///< Of this VM, and copies of others'.
    std::map<AttemptId, StreamOrigin> uncopied_; ///< Of this VM.
    std::list<SearchPtr> searches_;
    MonotonicTime nextCopiesAt_;
    Counter copied_ { "stream_origins_copied_total" };
    Counter found_ { "stream_origin_searches_total", { "outcome", "found" } };
    Counter unknown_ { "stream_origin_searches_total", { "outcome", "unknown" } };

    Impl(PeerExchange& exchange, const TargetList& targets, const ZoneId& zone, RefreshTargets refresh)
        : exchange_(exchange)
        , zone_(zone)
        , targets_(targets)
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
            auto version = self && isRead ? self->listedVersion(service) : std::nullopt;
            answerPeer(*reply, httpOk, encode(OriginReply { std::nullopt, version, version.has_value() }));
        });
    }

    std::optional<SoftwareVersion> listedVersion(const ServiceId& service) const
    {
        return soleVersion(targets_, service, retention_, bootNow());
    }

    void find(const AttemptId& attempt, const ServiceId& service, OnFound done)
    {
        auto search = std::make_shared<Search>();
        search->query_ = { attempt, service };
        search->done_ = std::move(done);
        search->startedAt_ = bootNow();
        if (auto origin = findOrigin(streams_, attempt))
            return finish(search, origin, "own table");
        searches_.push_back(search);
        if (!listedVersion(service))
            return askPeers(search);
        search->isReadingList_ = true;
        refresh_([weak = weak_from_this(), search](bool isRead) {
            if (auto self = weak.lock())
                self->handleList(search, isRead);
        });
    }

    void handleList(const SearchPtr& search, bool isRead)
    {
        search->isReadingList_ = false;
        if (!search->done_)
            return;
        const ServiceId& service = search->query_.service_;
        auto version = isRead ? listedVersion(service) : std::nullopt;
        if (version)
            return finish(search, StreamOrigin { service, *version }, "only version");
        if (!search->askedAt_)
            return askPeers(search);
        finishIfUnknown(search);
    }

    void askPeers(const SearchPtr& search)
    {
        search->askedAt_ = bootNow();
        for (const PeerEntry& peer : peersToAsk(search->query_.attempt_))
            ask(search, peer);
        finishIfUnknown(search);
    }

    void finishIfUnknown(const SearchPtr& search)
    {
        if (search->unanswered_ > 0 || search->isReadingList_)
            return;
        finish(search, std::nullopt, search->calls_.empty() ? "no peer to ask" : "no peer knows it");
    }

    std::vector<PeerEntry> peersToAsk(const AttemptId& attempt) const
    {
        const PeerList& list = exchange_.peers();
        std::set<ZoneId> zones;
        for (const auto& [vm, peer] : list.peers_)
            zones.insert(peer.zone_);
        std::vector<PeerEntry> peers = peersFor(list, zone_, attempt.value_, maxAskedInZone, bootNow());
        zones.erase(zone_);
        for (const ZoneId& zone : zones) {
            for (PeerEntry& peer : peersFor(list, zone, attempt.value_, maxAskedInZone, bootNow())) {
                if (peers.size() < maxAsked)
                    peers.push_back(std::move(peer));
            }
        }
        return peers;
    }

    void ask(const SearchPtr& search, const PeerEntry& peer)
    {
        auto body = std::make_shared<std::string>();
        OutboundCallbacks callbacks;
        callbacks.onBody_ = [body](std::string part) { *body += part; };
        callbacks.onEnd_ = [weak = weak_from_this(), search, body, vm = peer.vm_](const OutboundResult& end) {
            auto self = weak.lock();
            if (!self || !search->done_)
                return;
            --search->unanswered_;
            bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
            recordPeerOutcome(self->exchange_.peers(), vm, isAnswered, bootNow());
            self->handleReply(search, isAnswered ? parseOriginReply(*body) : std::nullopt);
        };
        auto call = exchange_.post(peer, queryPath, encode(search->query_), std::move(callbacks));
        if (!call)
            return;
        ++search->unanswered_;
        search->calls_.push_back(std::move(call));
    }

    void handleReply(const SearchPtr& search, const std::optional<OriginReply>& reply)
    {
        if (reply && reply->origin_)
            return finish(search, reply->origin_, "a peer's table");
        if (reply && reply->soleVersion_ && reply->isSoleCurrent_) {
            // A version that this VM has seen may have left before the peer began to follow the list.
            std::set<SoftwareVersion> seen
                = recentVersions(targets_, search->query_.service_, retention_, bootNow());
            seen.insert(*reply->soleVersion_);
            if (seen.size() == 1)
                return finish(search, StreamOrigin { search->query_.service_, *reply->soleVersion_ },
                    "only version at a peer");
        }
        finishIfUnknown(search);
    }

    void finish(const SearchPtr& search, const std::optional<StreamOrigin>& origin, const char* source)
    {
        (origin ? found_ : unknown_).add();
        logEvent("stream-origin",
            { { "resumes", search->query_.attempt_.value_ }, { "service", search->query_.service_.value_ },
                { "version", origin ? origin->version_.value_ : "" }, { "source", source },
                { "list_age_ms", std::to_string((bootNow() - targets_.readAt_).count()) },
                { "took_ms", std::to_string((bootNow() - search->startedAt_).count()) } });
        searches_.remove(search);
        OnFound done = std::move(search->done_);
        search->done_ = nullptr;
        for (const auto& call : search->calls_)
            call->cancel();
        done(origin);
    }

    void recordBegin(const BegunStream& stream)
    {
        recordStream(streams_, stream, bootNow());
        uncopied_.emplace(stream.attempt_, stream.origin_);
    }

    // Streams of services with a single version wait, in case that another version comes.
    void sendCopies(MonotonicTime now)
    {
        std::map<VmId, std::pair<PeerEntry, std::vector<BegunStream>>> batches;
        std::map<ServiceId, bool> needsCopies;
        for (auto stream = uncopied_.begin(); stream != uncopied_.end();) {
            const auto& [attempt, origin] = *stream;
            auto [needed, isNew] = needsCopies.emplace(origin.service_, false);
            if (isNew)
                needed->second = !soleVersion(targets_, origin.service_, retention_, now);
            auto peers = needed->second ? peersFor(exchange_.peers(), zone_, attempt.value_, copyCount, now)
                                        : std::vector<PeerEntry>();
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
        copied_.add(streams.size());
        std::string body = encode(streams);
        OutboundCallbacks callbacks;
        callbacks.onEnd_ = [weak = weak_from_this(), vm = peer.vm_, streams = std::move(streams)](
                               const OutboundResult& end) {
            auto self = weak.lock();
            if (!self)
                return;
            bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
            recordPeerOutcome(self->exchange_.peers(), vm, isAnswered, bootNow());
            // Other peers get the copies then.
            for (const BegunStream& stream : streams) {
                if (!isAnswered)
                    self->uncopied_.emplace(stream.attempt_, stream.origin_);
            }
        };
        exchange_.post(peer, copiesPath, std::move(body), std::move(callbacks));
    }

    // Goes on with a search that has waited for too long. Reads of a slow store may still be answered.
    void endStep(const SearchPtr& search)
    {
        if (!search->askedAt_)
            askPeers(search);
        else if (!search->isReadingList_)
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
        if (now < nextCopiesAt_)
            return;
        nextCopiesAt_ = now + copyInterval;
        dropStreamsBefore(streams_, now - retention_);
        sendCopies(now);
    }
};

StreamResumption::StreamResumption(
    PeerExchange& exchange, const TargetList& targets, const ZoneId& zone, RefreshTargets refresh)
    : impl_(std::make_shared<Impl>(exchange, targets, zone, std::move(refresh)))
{
}

StreamResumption::~StreamResumption() = default;

void StreamResumption::setRetention(Milliseconds retention) { impl_->retention_ = retention; }

void StreamResumption::recordBegin(const BegunStream& stream) { impl_->recordBegin(stream); }

void StreamResumption::find(const AttemptId& attempt, const ServiceId& service, OnFound done)
{
    impl_->find(attempt, service, std::move(done));
}

std::size_t StreamResumption::streams() const { return impl_->streams_.origins_.size(); }

void StreamResumption::tick(MonotonicTime now) { impl_->tick(now); }

} // namespace fescue
