// Guards against an entry of a VM that stays in the store after the VM has removed it: the removal had the
// sequence number of a write whose answer was lost, and was taken for a repeat of it.

#include "BootClock.h"
#include "EventLoop.h"
#include "PlatformStore.h"
#include "StoreClient.h"
#include "StoreFollower.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::standin;

class WithdrawnEntry : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WithdrawnEntry);
    CPPUNIT_TEST(entryWhoseWriteWasNotAnsweredIsRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    void entryWhoseWriteWasNotAnsweredIsRemoved()
    {
        // The store's answer takes this long to be given up, and its retry has not begun yet.
        constexpr Milliseconds timeOfLoss { 1150 };
        constexpr Milliseconds timeToRemove { 4000 };
        asio::io_context io(1);
        PlatformStore store(io);
        platform::StoreClient client(io, { asio::ip::address_v4::loopback(), store.port() });
        StoreHealth health;
        std::map<VmId, PeerEntry> peers;
        FollowIntervals intervals;
        intervals.peerPollWait_ = Milliseconds { 40 };
        StoreFollower follower(client, health, intervals,
            { [](const ServingConfig&) {}, [](const TargetList&) {},
                [&peers](const std::map<VmId, PeerEntry>& read) { peers = read; },
                [](const auto&, bool) {} });
        auto tick = [&] {
            client.tick(bootNow());
            follower.tick(bootNow());
            store.tick(bootNow());
        };
        auto runFor = [&](Milliseconds time) {
            MonotonicTime end = bootNow() + time;
            fescue::test::runLoopUntil(io, tick, [end] { return bootNow() >= end; });
        };
        store.faults().answersToDrop_ = 1;
        follower.announce({ { "vm-a" }, { "z" }, "127.0.0.1:7380", { "vm-a#1" } });
        fescue::test::runLoopUntil(io, tick, [&store] { return store.appends() > 0; });
        runFor(timeOfLoss);
        follower.withdraw();
        runFor(timeToRemove);
        CHECK(peers.empty());
    }
};

REGISTER_SUITE(WithdrawnEntry);
