// Writing claims to a faulty store: every granted turn is covered by a stored claim, even if calls are lost
// or refused.

#include "BootClock.h"
#include "BudgetStore.h"
#include "EventLoop.h"
#include "PlatformStore.h"
#include "StoreClient.h"
#include "Suite.h"

#include <set>

using namespace fescue;
using namespace fescue::standin;

namespace {

constexpr const char* claimTopics = "keyed.budget-";
constexpr Milliseconds retention { 60000 };
constexpr TokenCount budget { 4000 };
constexpr TokenCount maxTokens { 500 };

} // namespace

class BudgetLanes : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BudgetLanes);
    CPPUNIT_TEST(grantedTurnHasAStoredClaimAfterLostAndRefusedCalls);
    CPPUNIT_TEST(claimsOfRefusedTurnsAreNotWrittenLater);
    CPPUNIT_TEST(storeOverItsRateLimitStillCountsAsReachable);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<asio::io_context> io_;
    std::unique_ptr<PlatformStore> store_;
    std::unique_ptr<platform::StoreClient> client_;
    std::unique_ptr<PacedStore> paced_;
    std::unique_ptr<BudgetStore> budgets_;
    StoreHealth health_;
    std::map<TurnId, ProgramId> asked_;
    std::map<ProgramId, TurnDecision> decided_;
    std::uint64_t lastTurn_ = 0;

    void ask(const std::string& program)
    {
        TurnId id { ++lastTurn_ };
        asked_[id] = { program };
        budgets_->onTurnRequested({ program }, budget, retention, { id, maxTokens, true });
    }

    template <typename Condition> void runUntil(const Condition& holds)
    {
        auto tick = [this] {
            client_->tick(bootNow());
            budgets_->tick(false, bootNow());
            store_->tick(bootNow());
        };
        fescue::test::runLoopUntil(*io_, tick, holds);
    }

    std::set<ProgramId> programsInStore()
    {
        std::set<ProgramId> programs;
        for (const auto& [key, value] : store_->newestOfAll(claimTopics)) {
            if (auto claim = parseClaim(key, value))
                programs.insert(claim->program_);
        }
        return programs;
    }

public:
    void setUp() override
    {
        io_ = std::make_unique<asio::io_context>(1);
        store_ = std::make_unique<PlatformStore>(*io_);
        health_ = {};
        asked_.clear();
        decided_.clear();
        asio::ip::tcp::endpoint address(asio::ip::make_address_v4("127.0.0.1"), store_->port());
        client_ = std::make_unique<platform::StoreClient>(*io_, address);
        // One partition per topic, so that programs share partition queues.
        paced_ = std::make_unique<PacedStore>(*client_, health_, 1);
        budgets_ = std::make_unique<BudgetStore>(*paced_, WriterId { "vm-a#1" }, 1,
            [this](TurnId turn, TurnDecision decision) { decided_[asked_.at(turn)] = decision; });
    }

    void tearDown() override
    {
        budgets_.reset();
        paced_.reset();
        client_.reset();
        store_.reset();
        io_.reset();
    }

    // The records of a call with unknown outcome must not change: if the store has applied it, it treats the
    // next call with the same sequence number as a duplicate, and new records would be lost.
    void grantedTurnHasAStoredClaimAfterLostAndRefusedCalls()
    {
        constexpr int programs = 64; // Two per partition queue.
        for (int i = 0; i < programs / 2; ++i)
            ask("early-" + std::to_string(i));
        store_->faults().answersToDrop_ = programs;
        constexpr int lost = 8;
        runUntil([&] { return store_->faults().answersToDrop_ <= programs - lost; });
        store_->faults().answersToDrop_ = 0;
        store_->faults().isDown_ = true;
        // Long enough for each lost call to time out and its retry to be refused.
        MonotonicTime outageEnd = bootNow() + Milliseconds { 4000 };
        runUntil([&] { return bootNow() >= outageEnd; });
        store_->faults().isDown_ = false;
        for (int i = 0; i < programs / 2; ++i) {
            ProgramId late { "late-" + std::to_string(i) };
            runUntil([&] {
                if (!decided_.count(late) || decided_.at(late) == TurnDecision::Unavailable) {
                    decided_[late] = TurnDecision::HeldElsewhere; // Marks a pending request.
                    ask(late.value_);
                }
                return decided_.at(late) == TurnDecision::Granted;
            });
        }
        runUntil([&] { return budgets_->isIdle(); });
        std::set<ProgramId> stored = programsInStore();
        int granted = 0;
        for (const auto& [program, decision] : decided_) {
            if (decision != TurnDecision::Granted)
                continue;
            ++granted;
            CPPUNIT_ASSERT_MESSAGE(program.value_, stored.count(program) > 0);
        }
        CHECK(granted >= programs / 2);
    }

    void claimsOfRefusedTurnsAreNotWrittenLater()
    {
        store_->faults().isDown_ = true;
        constexpr std::size_t programs = 64;
        for (std::size_t i = 0; i < programs; ++i)
            ask("p-" + std::to_string(i));
        runUntil([&] { return decided_.size() == programs; });
        for (const auto& [program, decision] : decided_)
            CHECK(decision == TurnDecision::Unavailable);
        store_->faults().isDown_ = false;
        std::uint64_t before = store_->appends();
        runUntil([&] { return budgets_->isIdle(); });
        CHECK_EQUAL(before, store_->appends());
        CHECK_EQUAL(std::size_t { 0 }, budgets_->programs());
    }

    void storeOverItsRateLimitStillCountsAsReachable()
    {
        store_->faults().isDown_ = true;
        store_->faults().downStatus_ = 429;
        ask("p");
        runUntil([&] { return decided_.size() == 1; });
        // The turn is refused and retries later; the store still counts as reachable.
        CHECK(decided_.at({ "p" }) == TurnDecision::Unavailable);
        CHECK(health_.isUp_);
    }
};

REGISTER_SUITE(BudgetLanes);
