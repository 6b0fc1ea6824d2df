// Guards against an event loop that stands still when thousands of connections to targets end within a
// moment: each end is judged by the connections that are still open, and recorded beside all other crashes.

#include "BootClock.h"
#include "CrashTracker.h"
#include "EventLoop.h"
#include "LoopWatch.h"
#include "OutboundPool.h"
#include "StoreClient.h"
#include "Suite.h"

#include <asio/ip/tcp.hpp>
#include <vector>

using namespace fescue;

namespace {

using asio::ip::tcp;

constexpr std::size_t maxWatched = 4096;
constexpr std::size_t maxDigests = 4096;
// Two ticks: a VM with half of a processor then stays far below a standstill of 250 ms.
constexpr Milliseconds maxStep { 50 };
// Within which the ends of a process's connections arrive.
constexpr Milliseconds endSpread { 100 };

struct Vm {
    asio::io_context io_ { 1 };
    platform::StoreClient store_ { io_, { asio::ip::address_v4::loopback(), 1 } };
    Quarantine quarantine_;
    CrashTracker tracker_ { quarantine_, store_, { "vm-a#1" } };
    TargetList targets_;
};

void endConnections(Vm& vm, std::size_t targets, std::size_t firstDigest, MonotonicTime at)
{
    for (std::size_t i = 0; i < maxWatched; ++i)
        vm.tracker_.onConnectionEnded({ { firstDigest + i }, { "i-" + std::to_string(i % targets) },
            Milliseconds { 1 }, at, false, {} });
}

// Accepts connections and keeps them.
struct Acceptor {
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> accepted_;

    explicit Acceptor(asio::io_context& io)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    void accept()
    {
        acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
            if (error)
                return;
            accepted_.push_back(std::move(socket));
            accept();
        });
    }
};

template <typename Step> Milliseconds timeOf(const Step& step)
{
    Milliseconds begin = usedProcessorTime();
    step();
    return usedProcessorTime() - begin;
}

void checkStep(Milliseconds time)
{
    CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()) + " ms", time < maxStep);
}

} // namespace

class ManyLostConnections : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ManyLostConnections);
    CPPUNIT_TEST(endsBesideManyOpenConnectionsAreJudgedAtOnce);
    CPPUNIT_TEST(endsBesideAsManyRecordsAsAreKeptAreRecordedAtOnce);
    CPPUNIT_TEST(answersBesideManyEndsAreCountedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void endsBesideManyOpenConnectionsAreJudgedAtOnce()
    {
        constexpr std::size_t targets = 10;
        constexpr std::size_t connections = 300;
        Vm vm;
        OutboundPool pool(vm.io_);
        std::vector<std::unique_ptr<Acceptor>> acceptors;
        std::size_t connected = 0;
        for (std::size_t i = 0; i < targets; ++i) {
            acceptors.push_back(std::make_unique<Acceptor>(vm.io_));
            for (std::size_t k = 0; k < connections; ++k)
                pool.probe(acceptors[i]->acceptor_.local_endpoint(),
                    [&connected](bool isConnected) { connected += isConnected ? 1 : 0; });
        }
        while (connected < targets * connections)
            vm.io_.run_one();
        MonotonicTime endedAt = bootNow() + Milliseconds { 1 };
        endConnections(vm, targets, 1, endedAt);
        auto connectedSince = [&](const TargetId& target) {
            std::size_t index = std::stoul(target.value_.substr(2));
            return pool.connectedSince(acceptors[index]->acceptor_.local_endpoint());
        };
        checkStep(timeOf([&] { vm.tracker_.tick(vm.targets_, connectedSince, endedAt + endSpread); }));
        CHECK_EQUAL(std::size_t { 0 }, vm.quarantine_.records_.size());
    }

    void endsBesideAsManyRecordsAsAreKeptAreRecordedAtOnce()
    {
        Vm vm;
        MonotonicTime now = bootNow();
        auto connectedSince = [](const TargetId&) { return std::optional<MonotonicTime>(); };
        for (std::size_t i = 0; i < maxDigests; ++i)
            recordCrash(vm.quarantine_, { 1 + i }, { "i-0@1" }, now);
        CHECK_EQUAL(maxDigests, vm.quarantine_.records_.size());
        endConnections(vm, 1, 1 + maxDigests, now);
        checkStep(timeOf([&] { vm.tracker_.tick(vm.targets_, connectedSince, now + endSpread); }));
        CHECK_EQUAL(maxDigests, vm.quarantine_.records_.size());
    }

    void answersBesideManyEndsAreCountedAtOnce()
    {
        // Answers that may arrive in one step.
        constexpr std::size_t answers = 500;
        Vm vm;
        MonotonicTime now = bootNow();
        deferAttribution(vm.quarantine_);
        for (std::size_t i = 0; i < maxDigests; ++i) {
            recordCrash(vm.quarantine_, { 1 + i }, { "i-" + std::to_string(i) + "@1" }, now);
            recordCrash(vm.quarantine_, { 1 + i }, { "i-" + std::to_string(i) + "@2" }, now);
        }
        resumeAttribution(vm.quarantine_);
        CHECK_EQUAL(maxDigests, vm.quarantine_.quarantined_.size());
        endConnections(vm, 1, 1 + maxDigests, now);
        checkStep(timeOf([&] {
            for (std::size_t i = 0; i < answers; ++i)
                vm.tracker_.onCompleted({ 1 + 2 * maxDigests + i });
        }));
    }
};

REGISTER_SUITE(ManyLostConnections);
