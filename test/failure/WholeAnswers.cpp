// Each caller gets the complete answer to its own request, or an error.

#include "History.h"
#include "Suite.h"

#include <csignal>
#include <future>

using namespace fescue::test;
using nlohmann::json;

class WholeAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WholeAnswers);
    CPPUNIT_TEST(abortedStreamEndsWithAnErrorAndItsRetryIsComplete);
    CPPUNIT_TEST(streamOfAKilledOwnerEndsWithAnErrorAndItsRetryIsComplete);
    CPPUNIT_TEST(concurrentRequestsGetTheirOwnAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void abortedStreamEndsWithAnErrorAndItsRetryIsComplete();
    void streamOfAKilledOwnerEndsWithAnErrorAndItsRetryIsComplete();
    void concurrentRequestsGetTheirOwnAnswers();
};

REGISTER_SUITE(WholeAnswers);

namespace {

RecordedCall makeStreamCall(const std::string& program)
{
    RecordedCall call;
    call.program_ = program;
    call.number_ = 1;
    call.token_ = program + ".1";
    call.isStream_ = true;
    return call;
}

json messagesOf(const RecordedCall& call) { return conversation({ "do echo=" + call.token_ }); }

void retryUntilComplete(Cluster& cluster, History& history, std::size_t vm, const RecordedCall& call)
{
    waitUntil("a retry gets the complete answer",
        [&] { return !contentOf(sendRecorded(cluster, history, vm, call, messagesOf(call))).empty(); });
    CHECK_EQUAL(std::string(), findViolations(history.calls(), collectEvidence(cluster, history)));
}

} // namespace

void WholeAnswers::abortedStreamEndsWithAnErrorAndItsRetryIsComplete()
{
    Cluster cluster;
    History history;
    RecordedCall call = makeStreamCall(cluster.createProgram(0));
    history.recordProgram(call.program_, 200000);
    cluster.setFaults(*cluster.engines_[0], { { "cut_after", 5 } });
    RecordedCall aborted = sendRecorded(cluster, history, 0, call, messagesOf(call));
    CHECK_EQUAL(200, aborted.answer_.status_);
    CHECK(hasErrorEvent(aborted));
    cluster.setFaults(*cluster.engines_[0], { { "cut_after", 0 } });
    retryUntilComplete(cluster, history, 0, call);
}

void WholeAnswers::streamOfAKilledOwnerEndsWithAnErrorAndItsRetryIsComplete()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    options.engineFlags_ = { "--step_ms=100" };
    Cluster cluster(options);
    waitUntilAllShardsOwned(cluster);
    History history;
    RecordedCall call = makeStreamCall(cluster.createProgram(0));
    history.recordProgram(call.program_, 200000);
    std::size_t owner = ownerOf(cluster, call.program_);
    auto first = std::async(std::launch::async,
        [&] { return sendRecorded(cluster, history, 1 - owner, call, messagesOf(call)); });
    waitUntil("the engine has generated some tokens",
        [&] { return cluster.get(*cluster.engines_[0], "/used").value(call.program_, 0) > 15; });
    cluster.entries_[owner].scheduler_->signalAndWait(SIGKILL);
    RecordedCall aborted = first.get();
    CHECK(hasErrorEvent(aborted));
    cluster.entries_[owner].gateway_->signalAndWait(SIGKILL);
    cluster.setVmState(cluster.entries_[owner], "");
    retryUntilComplete(cluster, history, 1 - owner, call);
}

void WholeAnswers::concurrentRequestsGetTheirOwnAnswers()
{
    ClusterOptions clusterOptions;
    clusterOptions.vmsPerZone_ = 2;
    clusterOptions.enginesPerZone_ = 2;
    Cluster cluster(clusterOptions);
    waitUntilAllShardsOwned(cluster);
    History history;
    CallerOptions options;
    options.programs_ = 24;
    options.gateways_ = { 0, 1 };
    runPrograms(cluster, history, options);
    CHECK_EQUAL(std::string(), findViolations(history.calls(), collectEvidence(cluster, history)));
}
