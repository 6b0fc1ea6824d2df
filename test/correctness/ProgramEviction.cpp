// Guards against memory that grows with each program that a VM has ever served.

#include "PeerExchange.h"
#include "PoolPrograms.h"
#include "Suite.h"
#include "TargetList.h"

#include <fmt/format.h>

using namespace fescue;

namespace {

MonotonicTime at(int seconds) { return MonotonicTime { std::chrono::seconds(1000000 + seconds) }; }

// Records a turn of a program that has ended.
void use(TargetPool& pool, int program, MonotonicTime now)
{
    ProgramId id { fmt::format("p{}", program) };
    QueuedCall call;
    call.program_ = id;
    chargeService(pool.queue_, call, 100, now);
    pool.cachedPrefixes_[id][{ "engine" }].usedAt_ = now;
}

} // namespace

class ProgramEviction : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgramEviction);
    CPPUNIT_TEST(idleProgramsAreDropped);
    CPPUNIT_TEST(programsIdleTheLongestAreDroppedBeyondTheBound);
    CPPUNIT_TEST(vmsThatHaveGoneLeaveNothing);
    CPPUNIT_TEST(versionsOfServicesThatHaveGoneAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void idleProgramsAreDropped()
    {
        TargetPool pool;
        use(pool, 1, at(0));
        use(pool, 2, at(200));
        evictPrograms(pool, {}, at(301));
        CHECK_EQUAL(std::size_t { 1 }, programCount(pool));
        CHECK(pool.cachedPrefixes_.count({ "p2" }) && pool.queue_.attained_.count({ "p2" }));
    }

    void programsIdleTheLongestAreDroppedBeyondTheBound()
    {
        ProgramBounds bounds;
        bounds.maxPrograms_ = 100;
        TargetPool pool;
        constexpr int programs = 250;
        for (int i = 0; i < programs; ++i)
            use(pool, i, at(i));
        evictPrograms(pool, bounds, at(programs));
        CHECK_EQUAL(bounds.maxPrograms_, programCount(pool));
        CHECK(pool.cachedPrefixes_.count({ "p249" }) && !pool.cachedPrefixes_.count({ "p149" }));
    }

    void vmsThatHaveGoneLeaveNothing()
    {
        asio::io_context io;
        PeerExchange exchange(io, { "own" }, "");
        for (int i = 0; i < 100; ++i) {
            VmId vm { fmt::format("vm-{}", i) };
            exchange.setPeers({ { vm, PeerEntry { vm, { "z" }, "127.0.0.1:9", {} } } });
            recordPeerOutcome(exchange.peers(), vm, false, at(i));
        }
        CHECK_EQUAL(std::size_t { 1 }, exchange.peers().backoffs_.size());
    }

    void versionsOfServicesThatHaveGoneAreDropped()
    {
        VersionHistory history;
        constexpr int secondsBetween = 10;
        for (int i = 0; i < 1000; ++i)
            recordVersion(history, { fmt::format("s{}", i) }, { "v" }, at(i * secondsBetween));
        CHECK(history.lastSeen_.size() < 40);
    }
};

REGISTER_SUITE(ProgramEviction);
