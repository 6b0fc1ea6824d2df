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
    // A search for the origin of a stream at several peers.
    struct Search {
        OriginQuery query_;
        OnFound done_;
        std::vector<std::shared_ptr<OutboundCall>> calls_;
        std::size_t unanswered_ = 0;
        MonotonicTime startedAt_;
    };
    using SearchPtr = std::shared_ptr<Search>;

    PeerExchange& exchange_;
    ZoneId zone_;
    const TargetList& targets_;
    Milliseconds retention_ { 10000 }; ///< How long after its begin a stream may be taken up.
    StreamOrigins streams_; ///< Of this VM, and copies of others'.
    std::map<AttemptId, StreamOrigin> uncopied_; ///< Of this VM.
    std::list<SearchPtr> searches_;
    MonotonicTime nextCopiesAt_;
    Counter copied_ { "stream_origins_copied_total" };
    Counter found_ { "stream_origin_searches_total", { "outcome", "found" } };
    Counter unknown_ { "stream_origin_searches_total", { "outcome", "unknown" } };

    Impl(PeerExchange& exchange, const TargetList& targets, const ZoneId& zone)
        : exchange_(exchange)
        , zone_(zone)
        , targets_(targets)
    {
        exchange_.serve(
            copiesPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                handleCopies(request, *reply);
            });
        exchange_.serve(
            queryPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                handleQuery(request, *reply);
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

    void handleQuery(const FrontRequest& request, FrontReply& reply)
    {
        auto query = parseOriginQuery(request.body_);
        if (!query)
            return refuseMalformed(reply, request);
        answerPeer(reply, httpOk,
            encode(OriginReply { findOrigin(streams_, query->attempt_),
                soleVersion(targets_, query->service_, retention_, bootNow()) }));
    }

    void find(const AttemptId& attempt, const ServiceId& service, OnFound done)
    {
        auto search = std::make_shared<Search>();
        search->query_ = { attempt, service };
        search->done_ = std::move(done);
        search->startedAt_ = bootNow();
        if (auto origin = findOrigin(streams_, attempt))
            return finish(search, origin, "own table");
        if (auto version = soleVersion(targets_, service, retention_, bootNow()))
            return finish(search, StreamOrigin { service, *version }, "only version");
        searches_.push_back(search);
        for (const PeerEntry& peer : peersToAsk(attempt))
            ask(search, peer);
        if (search->unanswered_ == 0)
            finish(search, std::nullopt, "no peer to ask");
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
        if (reply && reply->soleVersion_) {
            // A peer that has not seen a version that this VM has is not up to date.
            std::set<SoftwareVersion> seen
                = recentVersions(targets_, search->query_.service_, retention_, bootNow());
            seen.insert(*reply->soleVersion_);
            if (seen.size() == 1)
                return finish(search, StreamOrigin { search->query_.service_, *reply->soleVersion_ },
                    "only version at a peer");
        }
        if (search->unanswered_ == 0)
            finish(search, std::nullopt, "no peer knows it");
    }

    void finish(const SearchPtr& search, const std::optional<StreamOrigin>& origin, const char* source)
    {
        (origin ? found_ : unknown_).add();
        logEvent("stream-origin",
            { { "resumes", search->query_.attempt_.value_ }, { "service", search->query_.service_.value_ },
                { "version", origin ? origin->version_.value_ : "" }, { "source", source },
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

    void tick(MonotonicTime now)
    {
        std::vector<SearchPtr> overdue;
        for (const SearchPtr& search : searches_) {
            if (now >= search->startedAt_ + searchTimeout)
                overdue.push_back(search);
        }
        for (const SearchPtr& search : overdue)
            finish(search, std::nullopt, "timed out");
        if (now < nextCopiesAt_)
            return;
        nextCopiesAt_ = now + copyInterval;
        dropStreamsBefore(streams_, now - retention_);
        sendCopies(now);
    }
};

StreamResumption::StreamResumption(PeerExchange& exchange, const TargetList& targets, const ZoneId& zone)
    : impl_(std::make_shared<Impl>(exchange, targets, zone))
{
}

StreamResumption::~StreamResumption() = default;

void StreamResumption::setRetention(Milliseconds retention) { impl_->retention_ = retention; }

void StreamResumption::recordBegin(const BegunStream& stream) { impl_->recordBegin(stream); }

void StreamResumption::find(const AttemptId& attempt, const ServiceId& service, OnFound done)
{
    impl_->find(attempt, service, std::move(done));
}

void StreamResumption::tick(MonotonicTime now) { impl_->tick(now); }

} // namespace fescue
