#include "ProcessWitness.h"

#include "BootClock.h"

#include <asio/steady_timer.hpp>
#include <utility>

namespace fescue {

namespace {

    // All connections of a process that ends are closed within milliseconds of each other. Events of a stream
    // do not wait for this, only its end does.
    constexpr Milliseconds settleTime { 20 };

} // namespace

ProcessWitness::ProcessWitness(asio::io_context& io, OutboundPool& pool)
    : io_(io)
    , pool_(pool)
{
}

void ProcessWitness::prepare(const asio::ip::tcp::endpoint& peer)
{
    constexpr std::size_t ownConnection = 1;
    if (pool_.openConnectionsFromBefore(peer, MonotonicTime::max()) <= ownConnection)
        pool_.probe(peer, [](bool) {});
}

void ProcessWitness::judge(const asio::ip::tcp::endpoint& peer, std::function<void(const ProcessSigns&)> done)
{
    MonotonicTime closedAt = bootNow();
    if (pool_.openConnectionsFromBefore(peer, closedAt) > 0)
        return judgeAfterSettling(peer, closedAt, false, std::move(done));
    pool_.probe(peer, [this, peer, done = std::move(done)](bool isConnected) {
        if (!isConnected)
            return done({ false, 0, true });
        judgeAfterSettling(peer, MonotonicTime::max(), true, done);
    });
}

void ProcessWitness::judgeAfterSettling(const asio::ip::tcp::endpoint& peer, MonotonicTime openedBefore,
    bool wasConnectionOpened, std::function<void(const ProcessSigns&)> done)
{
    auto timer = std::make_shared<asio::steady_timer>(io_, settleTime);
    timer->async_wait([this, timer, peer, openedBefore, wasConnectionOpened, done = std::move(done)](
                          const asio::error_code& error) {
        if (error)
            return; // The process stops.
        std::size_t open = pool_.openConnectionsFromBefore(peer, openedBefore);
        done({ open > 0, open, wasConnectionOpened });
    });
}

} // namespace fescue
