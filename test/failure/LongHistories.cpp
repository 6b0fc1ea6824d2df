// Checks histories of concurrent callers while owners are killed, the log is down and engines abort streams.

#include "History.h"
#include "Suite.h"

#include <csignal>
#include <future>

using namespace fescue::test;

class LongHistories : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LongHistories);
    CPPUNIT_TEST(ownersAreKilledDuringPrograms);
    CPPUNIT_TEST(logIsDownDuringPrograms);
    CPPUNIT_TEST(ownerDiesBeforeItsLastCallsAreDurable);
    CPPUNIT_TEST(abortedStreamsStayWithinTheBudget);
    CPPUNIT_TEST(programsWithEqualPrefixesAreNotMixedUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void ownersAreKilledDuringPrograms();
    void logIsDownDuringPrograms();
    void ownerDiesBeforeItsLastCallsAreDurable();
    void abortedStreamsStayWithinTheBudget();
    void programsWithEqualPrefixesAreNotMixedUp();
};

REGISTER_SUITE(LongHistories);

namespace {

struct Load {
    Cluster cluster_;
    History history_;
    std::atomic<int> answeredCalls_ { 0 };
    std::atomic<bool> mayEnd_ { false };
    std::future<void> callers_;

    Load(std::size_t vms, const CallerOptions& base, const std::vector<std::string>& flags = {})
        : cluster_(clusterOptions(vms, flags))
    {
        waitUntilAllShardsOwned(cluster_);
        CallerOptions options = base;
        options.answeredCalls_ = &answeredCalls_;
        options.mayEnd_ = &mayEnd_;
        callers_
            = std::async(std::launch::async, [this, options] { runPrograms(cluster_, history_, options); });
    }

    // A failed test must not wait for callers that go on until told.
    ~Load() { mayEnd_ = true; }
    Load(const Load&) = delete;
    Load& operator=(const Load&) = delete;

    static ClusterOptions clusterOptions(std::size_t vms, const std::vector<std::string>& flags)
    {
        ClusterOptions options;
        options.vmsPerZone_ = vms;
        options.enginesPerZone_ = 2;
        options.schedulerFlags_ = flags;
        return options;
    }

    void waitForCalls(int more)
    {
        int target = answeredCalls_ + more;
        waitUntil("more calls are answered", [&] { return answeredCalls_ >= target; });
    }

    void checkHistory()
    {
        mayEnd_ = true;
        callers_.get();
        CHECK_EQUAL(std::string(), findViolations(history_.calls(), collectEvidence(cluster_, history_)));
    }
};

CallerOptions callerOptions(std::uint64_t seed, std::set<std::size_t> gateways)
{
    CallerOptions options;
    options.programs_ = 10;
    options.calls_ = 10;
    options.seed_ = seed;
    options.gateways_ = std::move(gateways);
    return options;
}

} // namespace

void LongHistories::ownersAreKilledDuringPrograms()
{
    Load load(4, callerOptions(1, { 2, 3 }));
    for (std::size_t victim : { 0U, 1U }) {
        load.waitForCalls(20);
        load.cluster_.entries_[victim].scheduler_->signalAndWait(SIGKILL);
        load.cluster_.setVmState(load.cluster_.entries_[victim], "");
    }
    load.checkHistory();
}

void LongHistories::logIsDownDuringPrograms()
{
    Load load(2, callerOptions(2, { 0, 1 }));
    for (int i = 0; i < 2; ++i) {
        load.waitForCalls(10);
        load.cluster_.setFaults(*load.cluster_.log_, { { "down", true } });
        load.waitForCalls(3);
        load.cluster_.setFaults(*load.cluster_.log_, { { "down", false } });
    }
    load.checkHistory();
}

void LongHistories::ownerDiesBeforeItsLastCallsAreDurable()
{
    Load load(3, callerOptions(3, { 1, 2 }), { "--flush_ms=60000" });
    load.waitForCalls(15);
    load.cluster_.setFaults(*load.cluster_.log_, { { "down", true } });
    load.waitForCalls(3);
    load.cluster_.entries_[0].scheduler_->signalAndWait(SIGKILL);
    load.cluster_.setVmState(load.cluster_.entries_[0], "");
    load.cluster_.setFaults(*load.cluster_.log_, { { "down", false } });
    load.checkHistory();
}

// An aborted call also uses engine tokens, so repeated retries must not exceed the budget.
void LongHistories::abortedStreamsStayWithinTheBudget()
{
    Cluster cluster(Load::clusterOptions(1, {}));
    History history;
    nlohmann::json request { { "budget", 400 } };
    RecordedCall call;
    call.program_ = cluster.createProgram(0, request);
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

void LongHistories::programsWithEqualPrefixesAreNotMixedUp()
{
    Cluster cluster;
    std::string one = cluster.createProgram(0);
    std::string two = cluster.createProgram(0);
    auto contentOf = [](const Answer& answer) {
        return answer.json()["choices"][0]["message"]["content"].get<std::string>();
    };
    for (const std::string& program : { one, two })
        CHECK_EQUAL(200, cluster.modelCall(0, program, 1, conversation({ "Check the rent." })).status());
    std::string prefix = contentOf(cluster.modelCall(0, one, 1, conversation({ "Check the rent." })));
    auto ofOne = conversation({ "Check the rent.", prefix, "do echo=one" });
    auto ofTwo = conversation({ "Check the rent.", prefix, "do echo=two" });
    CHECK_EQUAL(std::string("one "), contentOf(cluster.modelCall(0, one, 2, ofOne)).substr(0, 4));
    Answer second = cluster.modelCall(0, two, 2, ofTwo);
    CHECK_EQUAL(std::string("two "), contentOf(second).substr(0, 4));
    ofOne.push_back({ { "role", "assistant" }, { "content", contentOf(second) } });
    ofOne.push_back({ { "role", "user" }, { "content", "Go on." } });
    CHECK_EQUAL(std::string("transcript-mismatch"), problemOf(cluster.modelCall(0, one, 3, ofOne).http_));
}
