// A refusal is sent at once and has a Retry-After header; a call refused as not-run did not run.

#include "History.h"
#include "Suite.h"

#include <csignal>

using namespace fescue::test;
using nlohmann::json;

class Refusals : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(Refusals);
    CPPUNIT_TEST(callWithoutTargetIsRefusedAndRunsWhenRetried);
    CPPUNIT_TEST(callWithoutLogIsRefusedAndDoesNotRunLater);
    CPPUNIT_TEST_SUITE_END();

public:
    void callWithoutTargetIsRefusedAndRunsWhenRetried();
    void callWithoutLogIsRefusedAndDoesNotRunLater();
};

REGISTER_SUITE(Refusals);

namespace {

RecordedCall pay(Cluster& cluster, History& history, const std::string& program, int number)
{
    RecordedCall call;
    call.program_ = program;
    call.number_ = number;
    call.isService_ = true;
    call.token_ = program + "." + std::to_string(number);
    return sendRecorded(cluster, history, 0, call);
}

} // namespace

void Refusals::callWithoutTargetIsRefusedAndRunsWhenRetried()
{
    Cluster cluster;
    History history;
    std::string program = cluster.createProgram(0);
    history.recordProgram(program, 200000);
    int port = cluster.service_->port("http");
    cluster.service_->signalAndWait(SIGKILL);
    RecordedCall refused = pay(cluster, history, program, 1);
    CHECK_EQUAL(std::string("not-run"), refused.answer_.headers_["fescue-run-state"]);
    CHECK(!refused.answer_.headers_["retry-after"].empty());
    cluster.service_ = std::make_unique<Process>(
        "standin-service", std::vector<std::string> { "--listen=127.0.0.1:" + std::to_string(port) }, 1);
    waitUntil("the retry runs", [&] { return pay(cluster, history, program, 1).answer_.status_ == 200; });
    CHECK_EQUAL(1, cluster.executions(program, 1));
    CHECK_EQUAL(std::string(), findViolations(history.calls(), collectEvidence(cluster, history)));
}

// A refused call is not queued, so it does not run unless the caller retries it.
void Refusals::callWithoutLogIsRefusedAndDoesNotRunLater()
{
    Cluster cluster;
    History history;
    std::string program = cluster.createProgram(0);
    history.recordProgram(program, 200000);
    cluster.setFaults(*cluster.log_, { { "down", true } });
    RecordedCall refused;
    waitUntil("the owner knows that the log is down", [&] {
        refused = pay(cluster, history, program, 1);
        return problemOf(refused.answer_) == "log-unavailable";
    });
    CHECK(!refused.answer_.headers_["retry-after"].empty());
    CHECK_EQUAL(0, cluster.executions(program, 1));
    cluster.setFaults(*cluster.log_, { { "down", false } });
    waitUntil("the intent is withdrawn",
        [&] { return cluster.call(0, "GET", "/v1/programs/" + program).json()["running"] == false; });
    CHECK_EQUAL(0, cluster.executions(program, 1));
    CHECK_EQUAL(200, pay(cluster, history, program, 1).answer_.status_);
    CHECK_EQUAL(std::string(), findViolations(history.calls(), collectEvidence(cluster, history)));
}
