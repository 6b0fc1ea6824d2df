// Random schedules of several owners of one shard, checked by an oracle that is independent of their code.

#include "ShardSimulator.h"
#include "Suite.h"

#include <cstdlib>
#include <rapidcheck/state.h>

using namespace fescue;
using namespace fescue::test;

class ShardFuzz : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardFuzz);
    CPPUNIT_TEST(everyScheduleKeepsTheInvariants);
    CPPUNIT_TEST(longSchedulesKeepTheInvariants);
    CPPUNIT_TEST(schedulesReachTheImportantEvents);
    CPPUNIT_TEST(oracleDetectsViolations);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyScheduleKeepsTheInvariants();
    void longSchedulesKeepTheInvariants();
    void schedulesReachTheImportantEvents();
    void oracleDetectsViolations();
};

REGISTER_SUITE(ShardFuzz);

namespace {

struct NoModel { };

struct StepCommand : rc::state::Command<NoModel, ShardSimulator> {
    Step step_;

    explicit StepCommand(Step step)
        : step_(step)
    {
    }
    void run(const NoModel&, ShardSimulator& simulator) const override
    {
        simulator.run(step_);
        RC_ASSERT(simulator.oracle_.violation_ == "");
    }
    void show(std::ostream& out) const override
    {
        out << "{ " << step_.kind_ << ", " << step_.owner_ << ", " << step_.a_ << ", " << step_.b_ << " }";
    }
};

using CommandPtr = std::shared_ptr<const rc::state::Command<NoModel, ShardSimulator>>;

rc::Gen<CommandPtr> commands(const NoModel&)
{
    auto number = [](int end) { return rc::gen::inRange(0, end); };
    return rc::gen::map(rc::gen::tuple(number(stepKinds), number(ownerSelectors), number(4096), number(4096)),
        [](const std::tuple<int, int, int, int>& t) -> CommandPtr {
            return std::make_shared<StepCommand>(
                Step { std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t) });
        });
}

Step randomStep(Random& random)
{
    auto below = [&random](unsigned end) { return static_cast<int>(random() % end); };
    return { below(stepKinds), below(ownerSelectors), below(4096), below(4096) };
}

// Runs the random schedule of the seed and returns the first violation, or an empty string.
std::string violationOf(std::uint64_t seed, int steps, Mutant mutant)
{
    Random random(seed);
    ShardSimulator simulator(mutant);
    for (int i = 0; i < steps && simulator.oracle_.violation_.empty(); ++i)
        simulator.run(randomStep(random));
    simulator.runToCompletion();
    return simulator.oracle_.violation_;
}

// Returns the letters of the invariants that the oracle sees violated when the mutant is active.
std::set<char> violatedInvariants(Mutant mutant)
{
    constexpr std::uint64_t schedules = 400;
    std::set<char> invariants;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        std::string violation = violationOf(seed, 300, mutant);
        if (!violation.empty())
            invariants.insert(violation.front());
    }
    return invariants;
}

void checkDetected(Mutant mutant, char invariant, const std::string& name)
{
    CPPUNIT_ASSERT_MESSAGE(name + " is not detected", violatedInvariants(mutant).count(invariant) == 1);
}

} // namespace

void ShardFuzz::everyScheduleKeepsTheInvariants()
{
    setenv("RC_PARAMS", "seed=20261203 max_success=300 max_size=200 noshrink=0", 0);
    CHECK(rc::check("every schedule keeps the rules", [] {
        ShardSimulator simulator;
        rc::state::check(NoModel {}, simulator, commands);
        simulator.runToCompletion();
        RC_ASSERT(simulator.oracle_.violation_ == "");
    }));
}

void ShardFuzz::longSchedulesKeepTheInvariants()
{
    constexpr std::uint64_t schedules = 2000;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        std::string violation = violationOf(seed, 400, Mutant::None);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), violation);
    }
}

void ShardFuzz::schedulesReachTheImportantEvents()
{
    constexpr std::uint64_t schedules = 300;
    std::map<std::string, std::uint64_t> reached;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        Random random(seed);
        ShardSimulator simulator;
        for (int i = 0; i < 1500; ++i)
            simulator.run(randomStep(random));
        for (const auto& [event, count] : simulator.stats_)
            reached[event] += count;
    }
    for (const char* event : { "sent kind 0", "sent kind 1", "sent kind 2", "outcome outcome-unknown", "gap",
             "incomplete", "answered from the log", "no longer in the log", "problem budget-exceeded",
             "problem home-unreachable", "attached to an execution", "problem transcript-mismatch",
             "problem call-key-reused" })
        CPPUNIT_ASSERT_MESSAGE(std::string("not reached: ") + event, reached[event] > 0);
}

void ShardFuzz::oracleDetectsViolations()
{
    checkDetected(Mutant::HidesClaims, 'a', "a second owner that hides claims");
    checkDetected(Mutant::ConfirmsUnread, 'a', "an execution before its intent is confirmed");
    checkDetected(Mutant::SendsRefused, 'b', "a refused call that is sent");
    checkDetected(Mutant::OmitsEarlierAttempts, 'b', "a refusal that hides earlier attempts");
    checkDetected(Mutant::RefusesAndSends, 'h', "a request that is sent after its refusal");
    checkDetected(Mutant::DelaysRefusals, 'i', "a delayed refusal");
    checkDetected(Mutant::IgnoresSendDeadline, 'c', "a call sent after its deadline");
    checkDetected(Mutant::MixesHistories, 'd', "a mixed history");
    checkDetected(Mutant::UnderreportsUse, 'e', "an exceeded budget");
    checkDetected(Mutant::SkipsEntries, 'f', "a reader that skips entries");
    checkDetected(Mutant::DropsAnswers, 'g', "a lost answer");
}
