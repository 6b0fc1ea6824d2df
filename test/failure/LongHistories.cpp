// Histories of concurrent callers while owners die, pause and the log comes and goes.

#include "History.h"
#include "Suite.h"

#include <csignal>
#include <future>

using namespace fescue::test;

class LongHistories : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LongHistories);
    CPPUNIT_TEST(ownersAreKilledInMidProgram);
    CPPUNIT_TEST(logGoesDownInMidProgram);
    CPPUNIT_TEST(ownerDiesWithATailThatIsNotDurable);
    CPPUNIT_TEST(enginesBreakOffWithinTheBudget);
    CPPUNIT_TEST(equalPrefixesAreNotMixed);
    CPPUNIT_TEST_SUITE_END();

public:
    void ownersAreKilledInMidProgram();
    void logGoesDownInMidProgram();
    void ownerDiesWithATailThatIsNotDurable();
    void enginesBreakOffWithinTheBudget();
    void equalPrefixesAreNotMixed();
};

REGISTER_SUITE(LongHistories);

namespace {

struct Load {
    Cluster cluster_;
    History history_;
    std::atomic<int> done_ { 0 };
    std::future<void> callers_;

    Load(std::size_t vms, const CallerOptions& wish, const std::vector<std::string>& flags = {})
        : cluster_(layout(vms, flags))
    {
        waitUntilAllShardsOwned(cluster_);
        CallerOptions options = wish;
        options.answeredCalls_ = &done_;
        callers_
            = std::async(std::launch::async, [this, options] { runPrograms(cluster_, history_, options); });
    }

    static ClusterOptions layout(std::size_t vms, const std::vector<std::string>& flags)
    {
        ClusterOptions options;
        options.vmsPerZone_ = vms;
        options.enginesPerZone_ = 2;
        options.schedulerFlags_ = flags;
        return options;
    }

    void awaitCalls(int more)
    {
        int wanted = done_ + more;
        waitUntil("more calls are answered", [&] { return done_ >= wanted; });
    }

    void check()
    {
        callers_.get();
        CHECK_EQUAL(std::string(), findViolations(history_.calls(), collectEvidence(cluster_, history_)));
    }
};

CallerOptions chains(std::uint64_t seed, std::set<std::size_t> gateways)
{
    CallerOptions options;
    options.programs_ = 10;
    options.calls_ = 10;
    options.seed_ = seed;
    options.gateways_ = std::move(gateways);
    return options;
}

} // namespace

void LongHistories::ownersAreKilledInMidProgram()
{
    Load load(4, chains(1, { 2, 3 }));
    for (std::size_t victim : { 0U, 1U }) {
        load.awaitCalls(20);
        load.cluster_.entries_[victim].scheduler_->signalAndWait(SIGKILL);
        load.cluster_.setVmState(load.cluster_.entries_[victim], "");
    }
    load.check();
}

void LongHistories::logGoesDownInMidProgram()
{
    Load load(2, chains(2, { 0, 1 }));
    for (int i = 0; i < 2; ++i) {
        load.awaitCalls(10);
        load.cluster_.setFaults(*load.cluster_.log_, { { "down", true } });
        load.awaitCalls(3);
        load.cluster_.setFaults(*load.cluster_.log_, { { "down", false } });
    }
    load.check();
}

void LongHistories::ownerDiesWithATailThatIsNotDurable()
{
    Load load(3, chains(3, { 1, 2 }), { "--flush_ms=60000" });
    load.awaitCalls(15);
    load.cluster_.setFaults(*load.cluster_.log_, { { "down", true } });
    load.awaitCalls(3);
    load.cluster_.entries_[0].scheduler_->signalAndWait(SIGKILL);
    load.cluster_.setVmState(load.cluster_.entries_[0], "");
    load.cluster_.setFaults(*load.cluster_.log_, { { "down", false } });
    load.check();
}

// A call that broke off has used the engine too; repeats without end must not go beyond the budget.
void LongHistories::enginesBreakOffWithinTheBudget()
{
    Cluster cluster(Load::layout(1, {}));
    History history;
    nlohmann::json wish { { "budget", 400 } };
    RecordedCall call;
    call.program_ = cluster.createProgram(0, wish);
    call.number_ = 1;
    call.isStream_ = true;
    history.recordProgram(call.program_, 400);
    for (const auto& engine : cluster.engines_)
        cluster.setFaults(*engine, { { "cut_after", 5 } });
    RecordedCall last;
    for (int i = 0; i < 40; ++i)
        last = sendRecorded(cluster, history, 0, call, conversation({ "do echo=" + call.program_ }));
    CHECK_EQUAL(std::string("budget-exceeded"), problemOf(last.answer_));
    CHECK_EQUAL(std::string(), findViolations(history.calls(), collectEvidence(cluster, history)));
}

void LongHistories::equalPrefixesAreNotMixed()
{
    Cluster cluster;
    std::string one = cluster.createProgram(0);
    std::string two = cluster.createProgram(0);
    auto said = [](const Answer& answer) {
        return answer.json()["choices"][0]["message"]["content"].get<std::string>();
    };
    for (const std::string& program : { one, two })
        CHECK_EQUAL(200, cluster.modelCall(0, program, 1, conversation({ "Check the rent." })).status());
    std::string prefix = said(cluster.modelCall(0, one, 1, conversation({ "Check the rent." })));
    auto ofOne = conversation({ "Check the rent.", prefix, "do echo=one" });
    auto ofTwo = conversation({ "Check the rent.", prefix, "do echo=two" });
    CHECK_EQUAL(std::string("one "), said(cluster.modelCall(0, one, 2, ofOne)).substr(0, 4));
    Answer second = cluster.modelCall(0, two, 2, ofTwo);
    CHECK_EQUAL(std::string("two "), said(second).substr(0, 4));
    ofOne.push_back({ { "role", "assistant" }, { "content", said(second) } });
    ofOne.push_back({ { "role", "user" }, { "content", "Go on." } });
    CHECK_EQUAL(std::string("transcript-mismatch"), problemOf(cluster.modelCall(0, one, 3, ofOne).http_));
}
