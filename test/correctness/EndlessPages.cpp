// Reads of the newest records end, or pause, whatever a store says of its pages.

#include "BootClock.h"
#include "BudgetStore.h"
#include "EventLoop.h"
#include "OddStore.h"
#include "PagedRead.h"
#include "StoreClient.h"
#include "StoreFollower.h"
#include "Suite.h"

#include <chrono>
#include <fmt/format.h>
#include <optional>

using namespace fescue;
using namespace fescue::test;

namespace {

// Of the 2,000 reads that a store takes in a second from ten VMs.
constexpr int maxCallsPerSecond = 200;
constexpr Milliseconds measuredTime { 1500 };
constexpr int gone = 410;

std::string pageOf(const std::string& key, int end, bool hasMore)
{
    return fmt::format(
        R"({{"end-offset":{},"items":[{{"key":"{}","value":"dg==","offset":0}}],"has-more":{}}})", end, key,
        hasMore);
}

// The head of a page of records that ends at an offset.
std::string emptyRecords(char end)
{
    std::string body(16, '\0');
    body[7] = end;
    return body;
}

} // namespace

class EndlessPages : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndlessPages);
    CPPUNIT_TEST(pagesThatEndAreReadToTheirEnd);
    CPPUNIT_TEST(pagesThatRepeatAreToldFromOthers);
    CPPUNIT_TEST(followerPausesWhenAPageRepeats);
    CPPUNIT_TEST(followerPausesWhenPagesTakeTurns);
    CPPUNIT_TEST(followerPausesWhenNewestRecordsAreGone);
    CPPUNIT_TEST(followerPausesWhenHistoryIsAlwaysGone);
    CPPUNIT_TEST(followerPausesWhenHistoryIsAlwaysShorter);
    CPPUNIT_TEST(budgetPausesWhenAPageRepeats);
    CPPUNIT_TEST(budgetPausesWhenPagesTakeTurns);
    CPPUNIT_TEST(followerPacesPagesWithoutAnEnd);
    CPPUNIT_TEST(budgetRefusesTurnsThatWaitForPagesWithoutAnEnd);
    CPPUNIT_TEST_SUITE_END();

    static void checkFollowerPauses(const OddStore::Script& script)
    {
        asio::io_context io(1);
        OddStore store(io, script);
        platform::StoreClient client(io, store.address());
        StoreHealth health;
        StoreFollower follower(client, health, {},
            { [](const ServingConfig&) {}, [](const TargetList&) {}, [](const auto&) {},
                [](const auto&, bool) {} });
        MonotonicTime end = bootNow() + measuredTime;
        runLoopUntil(
            io,
            [&] {
                client.tick(bootNow());
                follower.tick(bootNow());
            },
            [&] { return bootNow() >= end; });
        checkPaced(store);
    }

    static void checkPaced(const OddStore& store, double callsPerSecond = maxCallsPerSecond)
    {
        double seconds = std::chrono::duration<double>(measuredTime).count();
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("{} calls", store.calls()), store.calls() < callsPerSecond * seconds);
        CHECK(store.calls() > 0);
    }

    // A claim is written, and the claims are then read.
    static void checkBudgetPauses(const OddStore::Script& newest, double callsPerSecond = maxCallsPerSecond)
    {
        asio::io_context io(1);
        OddStore store(io, [&newest](const std::string& call, int number) {
            bool isAppend = call.find("append") != std::string::npos;
            return isAppend ? Answer { ok, R"({"offset":0,"end-offset":1})" } : newest(call, number);
        });
        platform::StoreClient client(io, store.address());
        StoreHealth health;
        PacedStore paced(client, health, 1);
        std::optional<TurnDecision> decided;
        BudgetStore budgets(
            paced, WriterId { "vm-a#1" }, 1, [&](TurnId, TurnDecision decision) { decided = decision; });
        budgets.onTurnRequested(
            { "p" }, TokenCount { 4000 }, Milliseconds { 60000 }, { TurnId { 1 }, TokenCount { 500 }, true });
        MonotonicTime end = bootNow() + measuredTime;
        runLoopUntil(
            io,
            [&] {
                client.tick(bootNow());
                budgets.tick(false, bootNow());
            },
            [&] { return bootNow() >= end; });
        checkPaced(store, callsPerSecond);
        CHECK(decided == TurnDecision::Unavailable);
    }

public:
    void pagesThatEndAreReadToTheirEnd()
    {
        PagedRead read;
        platform::NewestPage page;
        page.hasMore_ = true;
        page.end_ = 5;
        page.records_ = { { "a", "" }, { "b", "" } };
        CHECK(takePage(read, page) == PageOutcome::More);
        CHECK_EQUAL(std::string("b"), read.after_);
        page.records_ = { { "c", "" }, { "d", "" } };
        CHECK(takePage(read, page) == PageOutcome::More);
        page.records_ = { { "e", "" } };
        page.hasMore_ = false;
        CHECK(takePage(read, page) == PageOutcome::Last);
    }

    void pagesThatRepeatAreToldFromOthers()
    {
        PagedRead read;
        platform::NewestPage page;
        page.hasMore_ = true;
        page.end_ = 3;
        page.records_ = { { "a", "" }, { "b", "" } };
        CHECK(takePage(read, page) == PageOutcome::More);
        CHECK(takePage(read, page) == PageOutcome::Endless);
        PagedRead turns;
        CHECK(takePage(turns, page) == PageOutcome::More);
        page.records_ = { { "a", "" }, { "a", "" } };
        CHECK(takePage(turns, page) == PageOutcome::Endless);
        // Where to go on would not be known, and what came so far is not all.
        PagedRead empty;
        page.records_.clear();
        CHECK(takePage(empty, page) == PageOutcome::Endless);
    }

    // Guards against a read that was sent again at once, without an end, for as long as its answer stayed
    // the same.
    void followerPausesWhenAPageRepeats()
    {
        checkFollowerPauses([](const std::string&, int) {
            return Answer { ok, pageOf("k", 1000000, true) };
        });
    }

    void followerPausesWhenPagesTakeTurns()
    {
        checkFollowerPauses([](const std::string&, int number) {
            return Answer { ok, pageOf(number % 2 == 0 ? "k" : "l", 1000000, true) };
        });
    }

    void followerPausesWhenNewestRecordsAreGone()
    {
        checkFollowerPauses([](const std::string&, int) { return Answer { gone, "{}" }; });
    }

    void followerPausesWhenHistoryIsAlwaysGone()
    {
        checkFollowerPauses([](const std::string& call, int) {
            bool isNewest = call.find("newest") != std::string::npos;
            return isNewest ? Answer { ok, pageOf("k", 1, false) } : Answer { gone, "{}" };
        });
    }

    void followerPausesWhenHistoryIsAlwaysShorter()
    {
        checkFollowerPauses([](const std::string& call, int) {
            bool isNewest = call.find("newest") != std::string::npos;
            return Answer { ok, isNewest ? pageOf("k", 9, false) : emptyRecords(1) };
        });
    }

    void budgetPausesWhenAPageRepeats()
    {
        checkBudgetPauses([](const std::string&, int) { return Answer { ok, pageOf("k", 1000000, true) }; });
    }

    void budgetPausesWhenPagesTakeTurns()
    {
        checkBudgetPauses([](const std::string&, int number) {
            return Answer { ok, pageOf(number % 2 == 0 ? "k" : "l", 1000000, true) };
        });
    }

    // Each page has another key, so nothing tells that there is no end.
    void followerPacesPagesWithoutAnEnd()
    {
        checkFollowerPauses([](const std::string&, int number) {
            return Answer { ok, pageOf(fmt::format("k{}", number), 1000000, true) };
        });
    }

    void budgetRefusesTurnsThatWaitForPagesWithoutAnEnd()
    {
        checkBudgetPauses(
            [](const std::string&, int number) {
                return Answer { ok, pageOf(fmt::format("k{}", number), 1000000, true) };
            },
            StoreThrottleOptions {}.maxRate_.value_);
    }
};

REGISTER_SUITE(EndlessPages);
