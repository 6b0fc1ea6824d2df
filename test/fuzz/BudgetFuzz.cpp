#include "EscrowWorld.h"
#include "Fuzz.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr int steps = 150;

// Whether the tokens handed out stay within the budget.
bool keepsBudget(std::uint64_t seed, const EscrowFaults& faults)
{
    EscrowWorld world(seed, faults);
    for (int i = 0; i < steps; ++i) {
        world.step();
        if (world.handed() > world.budget())
            return false;
    }
    world.settle();
    return world.handed() <= world.budget();
}

bool isBrokenBy(const EscrowFaults& faults)
{
    constexpr std::uint64_t seeds = 2000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (!keepsBudget(seed, faults))
            return true;
    }
    return false;
}

} // namespace

class BudgetFuzz : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BudgetFuzz);
    CPPUNIT_TEST(budgetHoldsOverWritersCrashesAndOutages);
    CPPUNIT_TEST(oracleNoticesWritersThatDoNotSeeEachOther);
    CPPUNIT_TEST(oracleNoticesClaimsThatAreUsedBeforeTheyStand);
    CPPUNIT_TEST(oracleNoticesAWriterThatForgetsItsEarlierClaim);
    CPPUNIT_TEST(turnsAreGrantedAndSpentIsTrueWithoutCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    void budgetHoldsOverWritersCrashesAndOutages()
    {
        fuzz("budget", [](std::uint64_t seed) { RC_ASSERT(keepsBudget(seed, {})); });
    }

    void oracleNoticesWritersThatDoNotSeeEachOther() { CHECK(isBrokenBy({ true, false, false })); }
    void oracleNoticesClaimsThatAreUsedBeforeTheyStand() { CHECK(isBrokenBy({ false, true, false })); }
    void oracleNoticesAWriterThatForgetsItsEarlierClaim() { CHECK(isBrokenBy({ false, false, true })); }

    void turnsAreGrantedAndSpentIsTrueWithoutCrashes()
    {
        std::uint32_t granted = 0;
        std::uint32_t dropped = 0;
        constexpr std::uint64_t seeds = 500;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            EscrowWorld world(seed, {});
            for (int i = 0; i < steps && world.crashes() == 0; ++i) {
                world.step();
                CHECK_EQUAL(std::uint32_t { 0 }, world.wronglySpent());
            }
            granted += world.granted();
            dropped += world.dropped();
        }
        CHECK(granted > seeds);
        CHECK(dropped > 0);
    }
};

REGISTER_SUITE(BudgetFuzz);
