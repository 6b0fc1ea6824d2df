// Random schedules of several owners of one shard, judged by an oracle that doesn't know their code.

#include "ShardSimulator.h"
#include "Suite.h"

#include <cstdlib>
#include <rapidcheck/state.h>

using namespace fescue;
using namespace fescue::test;

class ShardFuzz : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardFuzz);
    CPPUNIT_TEST(everyScheduleKeepsTheRules);
    CPPUNIT_TEST(manyOwnersKeepTheRulesForLong);
    CPPUNIT_TEST(schedulesReachWhatMatters);
    CPPUNIT_TEST(brokenRulesAreSeen);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyScheduleKeepsTheRules();
    void manyOwnersKeepTheRulesForLong();
    void schedulesReachWhatMatters();
    void brokenRulesAreSeen();
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

// Runs a schedule of its own for the seed; the violation that the oracle noted, or nothing.
std::string violationOf(std::uint64_t seed, int steps, Mutant mutant)
{
    Random random(seed);
    ShardSimulator simulator(mutant);
    for (int i = 0; i < steps && simulator.oracle_.violation_.empty(); ++i)
        simulator.run(randomStep(random));
    simulator.runToCompletion();
    return simulator.oracle_.violation_;
}

// The rules, by letter, that the oracle sees broken within so many schedules.
std::set<char> rulesSeenBroken(Mutant mutant)
{
    constexpr std::uint64_t schedules = 400;
    std::set<char> rules;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        std::string violation = violationOf(seed, 300, mutant);
        if (!violation.empty())
            rules.insert(violation.front());
    }
    return rules;
}

void checkSeen(Mutant mutant, char rule, const std::string& name)
{
    CPPUNIT_ASSERT_MESSAGE(name + " is not seen", rulesSeenBroken(mutant).count(rule) == 1);
}

} // namespace

void ShardFuzz::everyScheduleKeepsTheRules()
{
    setenv("RC_PARAMS", "seed=20261203 max_success=300 max_size=200 noshrink=0", 0);
    CHECK(rc::check("every schedule keeps the rules", [] {
        ShardSimulator simulator;
        rc::state::check(NoModel {}, simulator, commands);
        simulator.runToCompletion();
        RC_ASSERT(simulator.oracle_.violation_ == "");
    }));
}

void ShardFuzz::manyOwnersKeepTheRulesForLong()
{
    constexpr std::uint64_t schedules = 2000;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        std::string violation = violationOf(seed, 400, Mutant::None);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), violation);
    }
}

void ShardFuzz::schedulesReachWhatMatters()
{
    constexpr std::uint64_t schedules = 300;
    std::map<std::string, std::uint64_t> reached;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        Random random(seed);
        ShardSimulator simulator;
        for (int i = 0; i < 1500; ++i)
            simulator.run(randomStep(random));
        for (const auto& [thing, count] : simulator.stats_)
            reached[thing] += count;
    }
    for (const char* thing : { "sent kind 0", "sent kind 1", "sent kind 2", "outcome outcome-unknown", "gap",
             "incomplete", "answered from the log", "no longer in the log", "problem budget-exceeded",
             "problem home-unreachable", "attached to an execution", "problem transcript-mismatch",
             "problem call-key-reused" })
        CPPUNIT_ASSERT_MESSAGE(std::string("not reached: ") + thing, reached[thing] > 0);
}

void ShardFuzz::brokenRulesAreSeen()
{
    checkSeen(Mutant::HidesClaims, 'a', "a second owner that hides claims");
    checkSeen(Mutant::ConfirmsUnread, 'a', "an intent that is not confirmed");
    checkSeen(Mutant::SendsRefused, 'b', "a refused call that is sent");
    checkSeen(Mutant::OmitsEarlierAttempts, 'b', "a refusal that hides earlier attempts");
    checkSeen(Mutant::RefusesAndSends, 'h', "a request that is sent after its refusal");
    checkSeen(Mutant::DelaysRefusals, 'i', "a refusal that is held back");
    checkSeen(Mutant::IgnoresSendDeadline, 'c', "a call after its deadline");
    checkSeen(Mutant::MixesHistories, 'd', "a mixed history");
    checkSeen(Mutant::UnderreportsUse, 'e', "a budget that is overrun");
    checkSeen(Mutant::SkipsEntries, 'f', "a reader that skips entries");
    checkSeen(Mutant::DropsAnswers, 'g', "an answer that is lost");
}
