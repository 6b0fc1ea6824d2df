// What callers hold stays within the budget for any sequence of requests, and what gives way is never a
// request that may have run.

#include "Fuzz.h"
#include "MemoryBudget.h"
#include "Suite.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>

using namespace fescue;
using namespace fescue::test;

class MemoryBudgets : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemoryBudgets);
    CPPUNIT_TEST(grantedRequestsStayWithinTheBudget);
    CPPUNIT_TEST(largeRequestsLeaveRoomForSmallOnes);
    CPPUNIT_TEST(requestThatFitsNowhereElseFitsAlone);
    CPPUNIT_TEST(noRunningRequestGivesWayToRoom);
    CPPUNIT_TEST(noUnreadAnswerIsDroppedWhileUnfinishedOnesWouldDo);
    CPPUNIT_TEST(largestHoldersGiveWayFirst);
    CPPUNIT_TEST(noServedCallerIsClosedWhileAStalledOneIsLeft);
    CPPUNIT_TEST(callersThatSendAreNotTakenForStalled);
    CPPUNIT_TEST(answersHaveRoomThatNothingElseTakes);
    CPPUNIT_TEST(longestUnreadAnswersGiveWayToOnesUnderWay);
    CPPUNIT_TEST(requestsAndAnswersStayWithinTheBudgetTogether);
    CPPUNIT_TEST_SUITE_END();

    static constexpr MonotonicTime now { Milliseconds { 100000 } };

    static MemoryBudget smallestVm() { return callerBudget(88); }

    static std::vector<Holder> holders(const std::vector<std::uint32_t>& seeds)
    {
        std::vector<Holder> made;
        for (std::uint32_t seed : seeds) {
            Holder holder;
            holder.stage_ = static_cast<HolderStage>(seed % 4);
            holder.bytes_ = seed / 4 % 100000;
            holder.lastProgress_ = now - Milliseconds { seed / 7 % 2000 };
            holder.wasServed_ = seed / 3 % 2 == 0;
            made.push_back(holder);
        }
        return made;
    }

    static bool isShed(HolderStage stage)
    {
        return stage == HolderStage::Idle || stage == HolderStage::Unfinished;
    }

    static std::size_t bytesOf(const std::vector<Holder>& all, const std::vector<std::size_t>& chosen)
    {
        return std::accumulate(chosen.begin(), chosen.end(), std::size_t { 0 },
            [&](std::size_t sum, std::size_t index) { return sum + all[index].bytes_; });
    }

public:
    void grantedRequestsStayWithinTheBudget()
    {
        fuzz("never over the budget", [](const std::vector<std::uint32_t>& steps) {
            MemoryBudget budget = smallestVm();
            HeldMemory held;
            std::vector<std::pair<std::size_t, bool>> running;
            for (std::uint32_t step : steps) {
                if (step % 5 == 0 && !running.empty()) {
                    auto [bytes, isLarge] = running[step / 5 % running.size()];
                    running.erase(running.begin() + static_cast<std::ptrdiff_t>(step / 5 % running.size()));
                    held.total_ -= bytes;
                    held.large_ -= isLarge ? bytes : 0;
                    continue;
                }
                std::size_t body = step % (4U << 20);
                bool isLarge = body > smallBodyBytes;
                std::size_t cost = costOfRequest(step % 100, step % 8192, body);
                if (!hasRoom(budget, held, cost, isLarge))
                    continue;
                held.total_ += cost;
                held.large_ += isLarge ? cost : 0;
                running.emplace_back(cost, isLarge);
                RC_ASSERT(held.total_ <= budget.total_);
            }
        });
    }

    void largeRequestsLeaveRoomForSmallOnes()
    {
        MemoryBudget budget = smallestVm();
        HeldMemory held;
        std::size_t cost = costOfRequest(10, 500, 4U << 20);
        while (hasRoom(budget, held, cost, true)) {
            held.total_ += cost;
            held.large_ += cost;
        }
        CHECK(held.large_ >= 2 * cost);
        CHECK(hasRoom(budget, held, costOfRequest(10, 500, smallBodyBytes), false));
    }

    void requestThatFitsNowhereElseFitsAlone()
    {
        MemoryBudget budget = callerBudget(10);
        std::size_t cost = costOfRequest(10, 500, 4U << 20);
        CHECK(cost > budget.total_);
        CHECK(hasRoom(budget, {}, cost, true));
        CHECK(!hasRoom(budget, { cost, cost }, cost, true));
    }

    void noRunningRequestGivesWayToRoom()
    {
        fuzz("never a running request", [](const std::vector<std::uint32_t>& seeds, std::uint32_t excess) {
            auto all = holders(seeds);
            for (std::size_t index : chooseForMemory(all, excess % 1000000))
                RC_ASSERT(all[index].stage_ != HolderStage::Running);
            for (std::size_t index : chooseStalled(all, excess % 1000000, now))
                RC_ASSERT(all[index].stage_ == HolderStage::Unfinished);
            auto displaced = orderForDescriptors(all, now);
            RC_ASSERT(std::all_of(displaced.begin(), displaced.end(),
                [&](std::size_t index) { return isShed(all[index].stage_); }));
        });
    }

    void noUnreadAnswerIsDroppedWhileUnfinishedOnesWouldDo()
    {
        fuzz("unfinished ones first", [](const std::vector<std::uint32_t>& seeds, std::uint32_t seed) {
            auto all = holders(seeds);
            std::size_t excess = seed % 1000000;
            std::size_t ofShed = 0;
            std::size_t ofUnread = 0;
            for (const Holder& holder : all) {
                ofShed += isShed(holder.stage_) ? holder.bytes_ : 0;
                ofUnread += holder.stage_ == HolderStage::Unread ? holder.bytes_ : 0;
            }
            auto chosen = chooseForMemory(all, excess);
            RC_ASSERT(std::set<std::size_t>(chosen.begin(), chosen.end()).size() == chosen.size());
            RC_ASSERT(bytesOf(all, chosen) >= std::min(excess, ofShed + ofUnread));
            bool dropsUnread = std::any_of(chosen.begin(), chosen.end(),
                [&](std::size_t index) { return all[index].stage_ == HolderStage::Unread; });
            RC_ASSERT((!dropsUnread || ofShed < excess));
        });
    }

    void largestHoldersGiveWayFirst()
    {
        std::vector<Holder> all(3);
        all[0].bytes_ = 10;
        all[1].bytes_ = 30;
        all[2].bytes_ = 20;
        CHECK(std::vector<std::size_t>({ 1, 2 }) == chooseForMemory(all, 40));
    }

    void noServedCallerIsClosedWhileAStalledOneIsLeft()
    {
        fuzz("stalled ones first", [](const std::vector<std::uint32_t>& seeds) {
            auto all = holders(seeds);
            auto displaced = orderForDescriptors(all, now);
            std::size_t stalled = chooseStalled(all, std::numeric_limits<std::size_t>::max(), now).size();
            for (std::size_t i = 0; i < stalled; ++i)
                RC_ASSERT(chooseStalled({ all[displaced.at(i)] }, 1, now).size() == 1);
            auto shed = std::count_if(
                all.begin(), all.end(), [](const Holder& holder) { return isShed(holder.stage_); });
            std::set<std::size_t> once(displaced.begin(), displaced.end());
            RC_ASSERT(once.size() == displaced.size());
            RC_ASSERT(displaced.size() == static_cast<std::size_t>(shed));
        });
    }

    void callersThatSendAreNotTakenForStalled()
    {
        Holder sending { HolderStage::Unfinished, 1000, now - Milliseconds { 100 },
            now - Milliseconds { 5000 } };
        CHECK(chooseStalled({ sending }, 1, now).empty());
        sending.roomSince_ = now - Milliseconds { 20000 };
        CHECK_EQUAL(std::size_t { 1 }, chooseStalled({ sending }, 1, now).size());
    }

    void answersHaveRoomThatNothingElseTakes()
    {
        MemoryBudget budget = smallestVm();
        HeldMemory held;
        std::size_t cost = costOfRequest(10, 500, smallBodyBytes);
        while (hasRoom(budget, held, cost, false))
            held.total_ += cost;
        constexpr std::size_t answer = 256 * 1024;
        int answers = 0;
        for (; hasRoomForAnswer(budget, held, answer); ++answers) {
            held.total_ += answer;
            held.answers_ += answer;
        }
        CHECK(answers >= 16); // As many as two targets run at a time.
        CHECK(held.total_ <= budget.total_);
    }

    void longestUnreadAnswersGiveWayToOnesUnderWay()
    {
        fuzz("only unread ones, the longest first",
            [](const std::vector<std::uint32_t>& seeds, std::uint32_t seed) {
                auto all = holders(seeds);
                std::size_t bytes = seed % 1000000;
                auto chosen = chooseLongestUnread(all, bytes);
                std::size_t ofUnread = 0;
                for (const Holder& holder : all)
                    ofUnread += holder.stage_ == HolderStage::Unread ? holder.bytes_ : 0;
                RC_ASSERT(bytesOf(all, chosen) >= std::min(bytes, ofUnread));
                for (std::size_t i = 0; i < chosen.size(); ++i) {
                    RC_ASSERT(all[chosen[i]].stage_ == HolderStage::Unread);
                    RC_ASSERT(i == 0 || all[chosen[i - 1]].lastProgress_ <= all[chosen[i]].lastProgress_);
                }
            });
    }

    void requestsAndAnswersStayWithinTheBudgetTogether()
    {
        fuzz("never over the budget with answers", [](const std::vector<std::uint32_t>& steps) {
            MemoryBudget budget = smallestVm();
            HeldMemory held;
            std::vector<std::pair<std::size_t, bool>> taken;
            for (std::uint32_t step : steps) {
                bool isAnswer = step % 2 == 0;
                if (step % 5 == 0 && !taken.empty()) {
                    auto [bytes, wasAnswer] = taken[step / 5 % taken.size()];
                    taken.erase(taken.begin() + static_cast<std::ptrdiff_t>(step / 5 % taken.size()));
                    held.total_ -= bytes;
                    held.answers_ -= wasAnswer ? bytes : 0;
                    continue;
                }
                std::size_t bytes = step % (isAnswer ? 256U << 10 : smallBodyBytes);
                bool isGranted
                    = isAnswer ? hasRoomForAnswer(budget, held, bytes) : hasRoom(budget, held, bytes, false);
                if (!isGranted)
                    continue;
                held.total_ += bytes;
                held.answers_ += isAnswer ? bytes : 0;
                taken.emplace_back(bytes, isAnswer);
                RC_ASSERT(held.total_ <= budget.total_);
            }
        });
    }
};

REGISTER_SUITE(MemoryBudgets);
