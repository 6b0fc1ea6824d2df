#include "ProcessWitness.h"

#include "BootClock.h"

#include <asio/steady_timer.hpp>
#include <utility>

namespace fescue {

namespace {

    // Hundreds of connections of a process that ends are closed within some 25 ms. Events of a stream do not
    // wait for this, only its end does.
    constexpr Milliseconds settleTime { 50 };
    // An answer that ends sooner after its request may be the first one of its target that has no framing.
    constexpr Milliseconds maxTimeWithoutWitness { 100 };
    // A target at its limit of connections closes each witness at once.
    constexpr Milliseconds attemptInterval { 250 };
    // Of a watch after the begin of the last answer. Longer streams renew it.
    constexpr Milliseconds watchTime { 5000 };

} // namespace

struct ProcessWitness::Judgement {
    ClosedAnswer answer_;
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
    Watch& watch = watches_[peer];
    watch.endsAt_ = now + watchTime;
    keepWitness(peer, watch, now);
}

void ProcessWitness::tick(MonotonicTime now)
{
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        keepWitness(watch->first, watch->second, now);
        watch = now >= watch->second.endsAt_ ? watches_.erase(watch) : std::next(watch);
    }
}

void ProcessWitness::keepWitness(const asio::ip::tcp::endpoint& peer, Watch& watch, MonotonicTime now)
{
    PeerConnections known = pool_.connectionsTo(peer, MonotonicTime::max());
    bool wasLost = known.lostAt_ && now < *known.lostAt_ + attemptInterval;
    if (known.lasting_ > 0 || wasLost || now < watch.nextAttemptAt_)
        return;
    watch.nextAttemptAt_ = now + attemptInterval;
    pool_.probe(peer, [this, peer](bool isConnected) {
        auto found = watches_.find(peer);
        if (isConnected && found != watches_.end())
            found->second.nextAttemptAt_ = {}; // A request may take the connection at once.
    });
}

void ProcessWitness::judge(const ClosedAnswer& answer, std::function<void(const ProcessSigns&)> done)
{
    auto judgement = std::make_shared<Judgement>(Judgement { answer, bootNow(), std::move(done) });
    if (pool_.connectionsTo(answer.peer_, answer.openAt_).open_ == 0)
        return judgeByKnownConnections(judgement);
    afterSettling([this, judgement] { judgeByKnownConnections(judgement); });
}

void ProcessWitness::judgeByKnownConnections(const JudgementPtr& judgement)
{
    const ClosedAnswer& answer = judgement->answer_;
    PeerConnections known = pool_.connectionsTo(answer.peer_, answer.openAt_);
    bool mayHaveHadNone = judgement->closedAt_ < answer.requestedAt_ + maxTimeWithoutWitness
        && (!known.lostAt_ || *known.lostAt_ < answer.requestedAt_);
    if (known.open_ == 0 && mayHaveHadNone)
        return judgeByNewConnection(judgement);
    judgement->done_({ known.open_ > 0, known.open_, false });
}

void ProcessWitness::judgeByNewConnection(const JudgementPtr& judgement)
{
    pool_.probe(judgement->answer_.peer_, [this, judgement](bool isConnected) {
        if (!isConnected)
            return judgement->done_({ false, 0, true });
        afterSettling([this, judgement] {
            PeerConnections known = pool_.connectionsTo(judgement->answer_.peer_, MonotonicTime::max());
            // An earlier connection may have been closed only now, and a later one lead to the next process.
            bool wasLost = known.lostAt_ && *known.lostAt_ >= judgement->answer_.requestedAt_;
            judgement->done_({ known.open_ > 0 && !wasLost, known.open_, true });
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
