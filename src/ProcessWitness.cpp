#include "ProcessWitness.h"

#include "BootClock.h"

#include <asio/steady_timer.hpp>
#include <utility>

namespace fescue {

namespace {

    // Hundreds of connections of a process that ends are closed within some 25 ms. Events of a stream do not
    // wait for this, only its end does.
    constexpr Milliseconds settleTime { 50 };
    // A connection that the peer closed earlier than this before the end of an answer has timed out there.
    constexpr Milliseconds sameEndTime { 150 };
    // A target at its limit of connections closes each witness at once.
    constexpr Milliseconds witnessRetryInterval { 250 };

} // namespace

struct ProcessWitness::Judgement {
    asio::ip::tcp::endpoint peer_;
    MonotonicTime closedAt_;
    std::function<void(const ProcessSigns&)> done_;
};

ProcessWitness::ProcessWitness(asio::io_context& io, OutboundPool& pool)
    : io_(io)
    , pool_(pool)
{
}

void ProcessWitness::prepare(const asio::ip::tcp::endpoint& peer)
{
    MonotonicTime now = bootNow();
    for (auto entry = retryAt_.begin(); entry != retryAt_.end();)
        entry = now >= entry->second ? retryAt_.erase(entry) : std::next(entry);
    if (retryAt_.count(peer) || pool_.connectionsTo(peer, MonotonicTime::max()).lasting_ > 0)
        return;
    retryAt_[peer] = now + witnessRetryInterval;
    pool_.probe(peer, [](bool) {});
}

void ProcessWitness::judge(const asio::ip::tcp::endpoint& peer, std::function<void(const ProcessSigns&)> done)
{
    auto judgement = std::make_shared<Judgement>(Judgement { peer, bootNow(), std::move(done) });
    if (pool_.connectionsTo(peer, judgement->closedAt_).open_ == 0)
        return judgeByKnownConnections(judgement);
    afterSettling([this, judgement] { judgeByKnownConnections(judgement); });
}

void ProcessWitness::judgeByKnownConnections(const JudgementPtr& judgement)
{
    PeerConnections known = pool_.connectionsTo(judgement->peer_, judgement->closedAt_);
    bool hasEnded = known.lostAt_ && *known.lostAt_ + sameEndTime >= judgement->closedAt_;
    if (known.open_ == 0 && !hasEnded)
        return judgeByNewConnection(judgement);
    judgement->done_({ known.open_ > 0, known.open_, false });
}

void ProcessWitness::judgeByNewConnection(const JudgementPtr& judgement)
{
    pool_.probe(judgement->peer_, [this, judgement](bool isConnected) {
        if (!isConnected)
            return judgement->done_({ false, 0, true });
        afterSettling([this, judgement] {
            std::size_t open = pool_.connectionsTo(judgement->peer_, MonotonicTime::max()).open_;
            judgement->done_({ open > 0, open, true });
        });
    });
}

void ProcessWitness::afterSettling(std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(io_, settleTime);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
        if (!error)
            action();
    });
}

} // namespace fescue
