// Appends that a store rejects, whatever it answers, are not sent again without a pause.

#include "BootClock.h"
#include "BudgetStore.h"
#include "CrashTracker.h"
#include "EventLoop.h"
#include "OddStore.h"
#include "StoreClient.h"
#include "StoreFollower.h"
#include "Suite.h"

#include <chrono>
#include <fmt/format.h>
#include <optional>

using namespace fescue;
using namespace fescue::test;

namespace {

// Of the 800 writes that a store takes in a second from ten VMs.
constexpr int maxCallsPerSecond = 80;
constexpr Milliseconds measuredTime { 500 };

const std::vector<Answer> rejections { { 409, R"({"why":"seq","seq":7})" }, { 409, "" }, { 409, "odd" },
    { 409, R"({"why":"fenced"})" }, { 412, R"({"end-offset":3})" }, { 412, "odd" }, { 400, "" }, { 404, "" },
    { 410, "{}" }, { 413, "" }, { 429, "" }, { 500, "" }, { 503, "" }, { 507, "" }, { ok, "odd" },
    { ok, R"({"offset":-1})" }, { ok, "" }, { 204, "" }, { 302, "" } };

} // namespace

class RejectedAppends : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RejectedAppends);
    CPPUNIT_TEST(budgetsPause);
    CPPUNIT_TEST(ownEntryPauses);
    CPPUNIT_TEST(crashRecordsPause);
    CPPUNIT_TEST_SUITE_END();

    // Checks how often a user of the store calls it, for each answer to its appends. `start` returns what to
    // do at each tick.
    using Tick = std::function<void(MonotonicTime)>;
    static void checkPauses(const std::function<Tick(asio::io_context&, platform::StoreClient&)>& start)
    {
        for (const Answer& rejection : rejections) {
            asio::io_context io(1);
            int appends = 0;
            OddStore store(io, [&](const std::string& call, int) {
                bool isAppend = call.find("append") != std::string::npos;
                appends += isAppend ? 1 : 0;
                return isAppend ? rejection
                                : Answer { ok, R"({"end-offset":0,"items":[],"has-more":false})" };
            });
            platform::StoreClient client(io, store.address());
            Tick tick = start(io, client);
            MonotonicTime end = bootNow() + measuredTime;
            runLoopUntil(
                io,
                [&] {
                    client.tick(bootNow());
                    tick(bootNow());
                },
                [end] { return bootNow() >= end; });
            std::string what
                = fmt::format("{} appends after {} {}", appends, rejection.status_, rejection.body_);
            CPPUNIT_ASSERT_MESSAGE(what, appends > 0);
            CPPUNIT_ASSERT_MESSAGE(what, appends <= maxCallsPerSecond * measuredTime.count() / 1000);
        }
    }

public:
    void budgetsPause()
    {
        checkPauses([](asio::io_context&, platform::StoreClient& client) -> Tick {
            struct Store {
                explicit Store(platform::StoreClient& client)
                    : paced_(client, health_, 1)
                    , budgets_(paced_, WriterId { "vm-a#1" }, 4, [](TurnId, TurnDecision) {})
                {
                }
                StoreHealth health_;
                PacedStore paced_;
                BudgetStore budgets_;
            };
            auto store = std::make_shared<Store>(client);
            for (std::uint64_t i = 1; i <= 20; ++i)
                store->budgets_.onTurnRequested({ fmt::format("p{}", i) }, { 1000 }, Milliseconds { 60000 },
                    WaitingTurn { TurnId { i }, { 300 }, true });
            return [store](MonotonicTime now) { store->budgets_.tick(false, now); };
        });
    }

    void ownEntryPauses()
    {
        checkPauses([](asio::io_context&, platform::StoreClient& client) -> Tick {
            auto health = std::make_shared<StoreHealth>();
            auto follower = std::make_shared<StoreFollower>(client, *health, FollowIntervals {},
                StoreFollower::Callbacks { [](const ServingConfig&) {}, [](const TargetList&) {},
                    [](const auto&) {}, [](const auto&, bool) {} });
            follower->announce({ { "vm-a" }, { "z" }, "127.0.0.1:7380", { "vm-a#1" } });
            return [health, follower](MonotonicTime now) { follower->tick(now); };
        });
    }

    // A record that another writer has left behind long ago is deleted.
    void crashRecordsPause()
    {
        checkPauses([](asio::io_context&, platform::StoreClient& client) -> Tick {
            auto quarantine = std::make_shared<Quarantine>();
            auto tracker = std::make_shared<CrashTracker>(*quarantine, client, WriterId { "vm-a#1" });
            tracker->applyRecords({ { "crash:00000000000012ab:vm-b#1", R"([5,["t@1"]])" } }, true);
            return [quarantine, tracker](MonotonicTime now) {
                tracker->tick(
                    {}, [](const TargetId&) { return std::optional<MonotonicTime> {}; }, now);
            };
        });
    }
};

REGISTER_SUITE(RejectedAppends);
