// Claims on their way to the store: what is granted stands there, whatever became of single calls.

#include "BootClock.h"
#include "BudgetStore.h"
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
    CPPUNIT_TEST(granteeHasItsClaimInTheStoreAfterLostAndRefusedCalls);
    CPPUNIT_TEST(claimsOfRefusedTurnsAreNotWrittenLater);
    CPPUNIT_TEST(storeOverItsRateIsNotTakenForLost);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<asio::io_context> io_;
    std::unique_ptr<PlatformStore> store_;
    std::unique_ptr<platform::StoreClient> client_;
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
        constexpr int mostTurns = 20000;
        for (int turn = 0; turn < mostTurns && !holds(); ++turn) {
            io_->run_for(std::chrono::milliseconds(1));
            io_->restart();
            client_->tick(bootNow());
            budgets_->tick(false, bootNow());
            store_->tick(bootNow());
        }
        CHECK(holds());
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
        // One partition a topic, so that programs share lanes.
        budgets_ = std::make_unique<BudgetStore>(*client_, health_, WriterId { "vm-a#1" }, 1,
            [this](TurnId turn, TurnDecision decision) { decided_[asked_.at(turn)] = decision; });
    }

    void tearDown() override
    {
        budgets_.reset();
        client_.reset();
        store_.reset();
        io_.reset();
    }

    // The records of a call that may have been taken must not change: the store would take the next call
    // under the same number for a repeat, and the new records would be lost.
    void granteeHasItsClaimInTheStoreAfterLostAndRefusedCalls()
    {
        constexpr int programs = 64; // Two a lane.
        for (int i = 0; i < programs / 2; ++i)
            ask("early-" + std::to_string(i));
        store_->faults().answersToDrop_ = programs;
        constexpr int lost = 8;
        runUntil([&] { return store_->faults().answersToDrop_ <= programs - lost; });
        store_->faults().answersToDrop_ = 0;
        store_->faults().isDown_ = true;
        // Until each lost call has timed out and its repeat was refused.
        MonotonicTime back = bootNow() + Milliseconds { 4000 };
        runUntil([&] { return bootNow() >= back; });
        store_->faults().isDown_ = false;
        for (int i = 0; i < programs / 2; ++i) {
            ProgramId late { "late-" + std::to_string(i) };
            runUntil([&] {
                if (!decided_.count(late) || decided_.at(late) == TurnDecision::Unavailable) {
                    decided_[late] = TurnDecision::HeldElsewhere; // Asked, and not decided yet.
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

    void storeOverItsRateIsNotTakenForLost()
    {
        store_->faults().isDown_ = true;
        store_->faults().downStatus_ = 429;
        ask("p");
        runUntil([&] { return decided_.size() == 1; });
        // The turn is told soon that it has to come back, and nothing else is given up.
        CHECK(decided_.at({ "p" }) == TurnDecision::Unavailable);
        CHECK(health_.isUp_);
    }
};

REGISTER_SUITE(BudgetLanes);
