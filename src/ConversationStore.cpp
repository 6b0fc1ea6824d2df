#include "ConversationStore.h"

#include "BootClock.h"
#include "ConversationPeers.h"
#include "EventLog.h"
#include "Metrics.h"
#include "TurnArchive.h"
#include "TurnWriter.h"

#include <algorithm>
#include <list>
#include <set>

namespace fescue {

namespace {

    constexpr const char* chainPath = "/conversations/chain";
    constexpr const char* copyPath = "/conversations/copies";
    constexpr int httpOk = 200;
    // A directory answers from memory; a failed one costs each turn this time until it is in backoff.
    constexpr Milliseconds directoryTimeout { 80 };
    // A read of the store by this VM or a peer; longer than the read of a slow but working store.
    constexpr Milliseconds storeReadTimeout { 500 };
    // Beyond the time that the peer has for its read.
    constexpr Milliseconds peerMargin { 100 };
    constexpr std::size_t maxPeersToRead = 2;
    // Records live longer than the retention, so that turns of programs that go on need no second write. The
    // store frees their space later still.
    constexpr int lifeFactor = 2;
    // Turns of a program follow each other within seconds.
    constexpr Milliseconds cacheTimeToLive { 120000 };
    // Room in a record for ids, ancestors and the output of a turn.
    constexpr std::size_t maxInputDivisor = 2;

} // namespace

struct ConversationStore::Impl : std::enable_shared_from_this<ConversationStore::Impl> {
    // A search for a chain, one source after the other.
    struct Search {
        ChainSearch query_;
        OnFound done_;
        bool isForPeer_ = false; ///< Reads the store, and asks nobody.
        MonotonicTime startedAt_;
        bool isAtDirectory_ = false; ///< `call_` went to the directory VM, which does not read the store.
        std::shared_ptr<OutboundCall> call_;
        VmId peer_; ///< That `call_` was sent to.
        MonotonicTime callDeadline_;
        std::set<VmId> peersAsked_;
        std::map<AttemptId, StoredTurn> read_; ///< From the store or memory.
        std::size_t unread_ = 0;
        bool isIncomplete_ = false; ///< An ancestor could not be read.
    };
    using SearchPtr = std::shared_ptr<Search>;

    PacedStore& store_;
    PeerExchange& exchange_;
    ConversationOptions options_;
    TurnArchive archive_;
    TurnWriter writer_;
    ConversationCache cache_;
    std::list<SearchPtr> searches_;
    Counter found_ { "turn_searches_total", { "outcome", "found" } };
    Counter absent_ { "turn_searches_total", { "outcome", "absent" } };
    Counter unknown_ { "turn_searches_total", { "outcome", "unknown" } };
    Counter kept_ { "turns_kept_total", { "outcome", "kept" } };
    Counter lost_ { "turns_kept_total", { "outcome", "not-kept" } };

    Impl(asio::io_context& io, PacedStore& store, PeerExchange& exchange, const ConversationOptions& options)
        : store_(store)
        , exchange_(exchange)
        , options_(options)
        , archive_(io, store, { options.writer_, options.partitions_ })
        , writer_(store, archive_, exchange, options.zone_)
    {
        cache_.maxBytes_ = options.cacheBytes_;
        exchange_.serve(chainPath, [this](const FrontRequest& request, std::shared_ptr<FrontReply> reply) {
            handleChainQuery(request, std::move(reply));
        });
        exchange_.serve(
            copyPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                handleCopies(request, *reply);
            });
    }

    void find(const ChainSearch& query, OnFound done)
    {
        auto search = std::make_shared<Search>();
        search->query_ = query;
        search->done_ = std::move(done);
        search->startedAt_ = bootNow();
        if (auto chain = findChain(cache_, query.turn_, bootNow()))
            return finish(search, { ChainStatus::Found, std::move(*chain) }, "memory");
        searches_.push_back(search);
        auto directory = firstVmFor(exchange_.peers(), query.program_.value_, bootNow());
        if (!directory)
            return readStore(search);
        search->isAtDirectory_ = true;
        askForChain(search, *directory, Milliseconds { 0 });
    }

    // `storeTime` is how long the peer may read the store.
    void askForChain(const SearchPtr& search, const PeerEntry& peer, Milliseconds storeTime)
    {
        search->peer_ = peer.vm_;
        search->callDeadline_
            = bootNow() + (storeTime.count() > 0 ? storeTime + peerMargin : directoryTimeout);
        auto body = std::make_shared<std::string>();
        OutboundCallbacks callbacks;
        callbacks.onBody_ = [body](std::string part) { *body += part; };
        callbacks.onEnd_ = [weak = weak_from_this(), search, body](const OutboundResult& end) {
            auto self = weak.lock();
            if (!self || !search->done_)
                return;
            search->call_ = nullptr;
            bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
            // One that answers something else, such as an older release, is not lost.
            recordPeerOutcome(self->exchange_.peers(), search->peer_, isAnswered, bootNow());
            self->handleChainReply(search, isAnswered ? parseChainReply(*body, bootNow()) : std::nullopt);
        };
        search->call_ = exchange_.post(
            peer, chainPath, encode(ChainQuery { search->query_.turn_, storeTime }), std::move(callbacks));
        if (!search->call_)
            handleNoAnswer(search);
    }

    void handleNoAnswer(const SearchPtr& search)
    {
        recordPeerOutcome(exchange_.peers(), search->peer_, false, bootNow());
        handleChainReply(search, std::nullopt);
    }

    void handleChainReply(const SearchPtr& search, const std::optional<ChainReply>& reply)
    {
        bool isDirectory = std::exchange(search->isAtDirectory_, false);
        if (reply && reply->status_ == ChainStatus::Found) {
            cacheTurns(reply->chain_);
            return finish(search, *reply, isDirectory ? "directory" : "store, by a peer");
        }
        if (reply && reply->status_ == ChainStatus::Absent)
            return finish(search, *reply, "store, by a peer");
        if (isDirectory)
            return readStore(search);
        askNextPeer(search);
    }

    void readStore(const SearchPtr& search)
    {
        if (store_.isUnusable())
            return askNextPeer(search);
        archive_.read(search->query_.turn_, storeDeadline(*search),
            [weak = weak_from_this(), search](ChainStatus status, const KeptTurnPtr& turn) {
                auto self = weak.lock();
                if (self && search->done_)
                    self->handleTurnRead(search, status, turn);
            });
    }

    static MonotonicTime storeDeadline(const Search& search)
    {
        return std::min(search.query_.deadline_, bootNow() + storeReadTimeout);
    }

    void handleTurnRead(const SearchPtr& search, ChainStatus status, const KeptTurnPtr& turn)
    {
        if (status == ChainStatus::Absent)
            return finish(search, { ChainStatus::Absent, {} }, "store");
        if (status == ChainStatus::Unknown)
            return askNextPeer(search);
        // How long the store retains the turn is known only to the VM that wrote it.
        search->read_[turn->id_] = { turn, bootNow() };
        std::vector<AttemptId> unread;
        for (const AttemptId& ancestor : turn->ancestors_) {
            if (const StoredTurn* cached = findTurn(cache_, ancestor, bootNow()))
                search->read_[ancestor] = *cached;
            else
                unread.push_back(ancestor);
        }
        search->unread_ = unread.size();
        if (unread.empty())
            return handleAllRead(search);
        for (const AttemptId& ancestor : unread)
            readAncestor(search, ancestor);
    }

    void readAncestor(const SearchPtr& search, const AttemptId& ancestor)
    {
        archive_.read(ancestor, storeDeadline(*search),
            [weak = weak_from_this(), search, ancestor](ChainStatus status, const KeptTurnPtr& turn) {
                auto self = weak.lock();
                if (!self || !search->done_)
                    return;
                if (turn)
                    search->read_[ancestor] = { turn, bootNow() };
                else
                    search->isIncomplete_ = true;
                if (status == ChainStatus::Absent)
                    logWarning("turn-incomplete",
                        "the store has a turn but not one that it continues from; the caller has to begin a "
                        "new conversation",
                        { { "turn", search->query_.turn_.value_ }, { "ancestor", ancestor.value_ } });
                if (--search->unread_ == 0)
                    self->handleAllRead(search);
            });
    }

    void handleAllRead(const SearchPtr& search)
    {
        if (search->isIncomplete_)
            return askNextPeer(search);
        const AttemptId& id = search->query_.turn_;
        TurnChain chain;
        for (const AttemptId& ancestor : search->read_.at(id).turn_->ancestors_)
            chain.push_back(search->read_.at(ancestor));
        chain.push_back(search->read_.at(id));
        cacheTurns(chain);
        if (!search->isForPeer_)
            sendCopies(search->query_.program_, chain);
        finish(search, { ChainStatus::Found, std::move(chain) }, "store");
    }

    void askNextPeer(const SearchPtr& search)
    {
        MonotonicTime now = bootNow();
        auto peer = search->isForPeer_ || search->peersAsked_.size() >= maxPeersToRead
                || now >= search->query_.deadline_
            ? std::nullopt
            : peerWithStore(
                exchange_.peers(), options_.zone_, search->query_.turn_, search->peersAsked_, now);
        if (!peer)
            return finish(search, {}, "none");
        search->peersAsked_.insert(peer->vm_);
        askForChain(search, *peer, std::min(storeReadTimeout, search->query_.deadline_ - now));
    }

    void finish(const SearchPtr& search, const ChainReply& reply, const char* source)
    {
        (reply.status_ == ChainStatus::Found           ? found_
                : reply.status_ == ChainStatus::Absent ? absent_
                                                       : unknown_)
            .add();
        logEvent("turn-search",
            { { "request", search->query_.request_.value_ }, { "turn", search->query_.turn_.value_ },
                { "program", search->query_.program_.value_ }, { "outcome", nameOf(reply.status_) },
                { "source", source }, { "peer", search->peer_.value_ },
                { "turns", std::to_string(reply.chain_.size()) },
                { "bytes", std::to_string(textBytes(reply.chain_)) },
                { "took_ms", std::to_string((bootNow() - search->startedAt_).count()) } });
        searches_.remove(search);
        OnFound done = std::exchange(search->done_, nullptr);
        done(reply);
    }

    void cacheTurns(const TurnChain& turns)
    {
        for (const StoredTurn& stored : turns)
            storeTurn(cache_, stored, bootNow());
    }

    // A lost copy is not sent again: the store has the turns.
    void sendCopies(const ProgramId& program, const TurnChain& turns)
    {
        auto directory = firstVmFor(exchange_.peers(), program.value_, bootNow());
        if (!directory)
            return;
        OutboundCallbacks callbacks;
        callbacks.onEnd_ = [weak = weak_from_this(), vm = directory->vm_](const OutboundResult& end) {
            if (auto self = weak.lock())
                recordPeerOutcome(self->exchange_.peers(), vm,
                    end.outcome_ == OutboundResult::Outcome::Answered, bootNow());
        };
        exchange_.post(*directory, copyPath, encode(turns, bootNow()), std::move(callbacks));
    }

    void keep(const AnsweredTurn& answered, OnKept done)
    {
        MonotonicTime now = bootNow();
        Milliseconds life = lifeFactor * answered.retention_;
        TurnChain turns;
        for (const StoredTurn& ancestor : answered.ancestors_) {
            if (ancestor.keptUntil_ < now + answered.retention_)
                turns.push_back({ ancestor.turn_, now + life });
        }
        turns.push_back({ answered.turn_, now + life });
        writer_.write(turns, life, answered.deadline_,
            [this, answered, turns, now, done = std::move(done)](const VmId* writer) {
                logKept(answered, turns.size(), writer, bootNow() - now);
                if (writer) {
                    cacheTurns(turns);
                    sendCopies(answered.program_, turns);
                }
                done(writer != nullptr);
            });
    }

    void logKept(const AnsweredTurn& answered, std::size_t turns, const VmId* writer, Milliseconds took)
    {
        (writer ? kept_ : lost_).add();
        const KeptTurn& turn = *answered.turn_;
        logEvent("turn-kept",
            { { "request", turn.id_.value_ }, { "program", answered.program_.value_ },
                { "outcome", writer ? "kept" : "not-kept" }, { "by_peer", writer ? writer->value_ : "" },
                { "turns", std::to_string(turns) }, { "bytes", std::to_string(textBytes(turn)) },
                { "took_ms", std::to_string(took.count()) } });
    }

    void handleChainQuery(const FrontRequest& request, std::shared_ptr<FrontReply> reply)
    {
        auto query = parseChainQuery(request.body_);
        if (!query)
            return refuseMalformed(*reply, request);
        auto chain = findChain(cache_, query->turn_, bootNow());
        if (chain || query->storeTime_.count() == 0) {
            ChainReply message;
            if (chain)
                message = { ChainStatus::Found, std::move(*chain) };
            return answerPeer(*reply, httpOk, encode(message, bootNow()));
        }
        auto search = std::make_shared<Search>();
        search->query_ = { query->turn_, {}, {}, bootNow() + query->storeTime_ };
        search->isForPeer_ = true;
        search->startedAt_ = bootNow();
        auto isGone = watchDisconnect(*reply);
        search->done_ = [reply, isGone](const ChainReply& found) {
            if (!*isGone)
                answerPeer(*reply, httpOk, encode(found, bootNow()));
        };
        searches_.push_back(search);
        readStore(search);
    }

    void handleCopies(const FrontRequest& request, FrontReply& reply)
    {
        auto turns = parseTurns(request.body_, bootNow());
        if (!turns)
            return refuseMalformed(reply, request);
        cacheTurns(*turns);
        answerPeer(reply, httpOk, "");
    }

    void tick(bool isDraining, MonotonicTime now)
    {
        archive_.tick(now);
        writer_.tick(isDraining, now);
        std::vector<SearchPtr> unanswered;
        for (const SearchPtr& search : searches_) {
            if (search->call_ && now >= search->callDeadline_)
                unanswered.push_back(search);
        }
        for (const SearchPtr& search : unanswered) {
            search->call_->cancel();
            search->call_ = nullptr;
            handleNoAnswer(search);
        }
        evictUnused(cache_, now - cacheTimeToLive);
    }
};

ConversationStore::ConversationStore(
    asio::io_context& io, PacedStore& store, PeerExchange& exchange, const ConversationOptions& options)
    : impl_(std::make_shared<Impl>(io, store, exchange, options))
{
}

ConversationStore::~ConversationStore() = default;

void ConversationStore::find(const ChainSearch& search, OnFound done)
{
    impl_->find(search, std::move(done));
}

void ConversationStore::keep(const AnsweredTurn& answered, OnKept done)
{
    impl_->keep(answered, std::move(done));
}

bool ConversationStore::canKeep(std::size_t inputBytes) const
{
    return inputBytes <= impl_->options_.maxRecordBytes_ / maxInputDivisor;
}

std::size_t ConversationStore::maxOutputBytes() const { return impl_->options_.maxRecordBytes_; }

void ConversationStore::tick(bool isDraining, MonotonicTime now) { impl_->tick(isDraining, now); }

bool ConversationStore::isIdle() const { return impl_->writer_.isIdle(); }

std::size_t ConversationStore::cachedTurns() const { return impl_->cache_.entries_.size(); }

std::size_t ConversationStore::cachedBytes() const { return impl_->cache_.bytes_; }

std::size_t ConversationStore::records() const { return impl_->archive_.records(); }

} // namespace fescue
