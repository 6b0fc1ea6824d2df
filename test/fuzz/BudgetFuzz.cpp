#include "EscrowSimulator.h"
#include "Fuzz.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr int stepCount = 150;

// Whether the generated tokens stay within the budget.
bool keepsBudget(std::uint64_t seed, const EscrowFaults& faults)
{
    EscrowSimulator simulator(seed, faults);
    for (int i = 0; i < stepCount; ++i) {
        simulator.step();
        if (simulator.generated() > simulator.budget())
            return false;
    }
    simulator.settle();
    return simulator.generated() <= simulator.budget();
}

bool isViolatedWith(const EscrowFaults& faults)
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
    CPPUNIT_TEST(budgetHoldsDespiteConcurrentWritersCrashesAndOutages);
    CPPUNIT_TEST(oracleDetectsWritersThatDoNotSeeEachOther);
    CPPUNIT_TEST(oracleDetectsClaimsThatAreUsedBeforeTheyAreWritten);
    CPPUNIT_TEST(oracleDetectsAWriterThatOverwritesItsEarlierClaim);
    CPPUNIT_TEST(turnsAreRefusedOnlyWhenTheBudgetIsSpentWithoutCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    void budgetHoldsDespiteConcurrentWritersCrashesAndOutages()
    {
        fuzz("budget", [](std::uint64_t seed) { RC_ASSERT(keepsBudget(seed, {})); });
    }

    void oracleDetectsWritersThatDoNotSeeEachOther() { CHECK(isViolatedWith({ true, false, false })); }
    void oracleDetectsClaimsThatAreUsedBeforeTheyAreWritten()
    {
        CHECK(isViolatedWith({ false, true, false }));
    }
    void oracleDetectsAWriterThatOverwritesItsEarlierClaim()
    {
        CHECK(isViolatedWith({ false, false, true }));
    }

    void turnsAreRefusedOnlyWhenTheBudgetIsSpentWithoutCrashes()
    {
        std::uint32_t granted = 0;
        std::uint32_t dropped = 0;
        constexpr std::uint64_t seeds = 500;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            EscrowSimulator simulator(seed, {});
            for (int i = 0; i < stepCount && simulator.crashes() == 0; ++i) {
                simulator.step();
                CHECK_EQUAL(std::uint32_t { 0 }, simulator.wrongRefusals());
            }
            granted += simulator.granted();
            dropped += simulator.dropped();
        }
        CHECK(granted > seeds);
        CHECK(dropped > 0);
    }
};

REGISTER_SUITE(BudgetFuzz);
