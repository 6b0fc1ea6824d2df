// A planned stop interrupts no request and loses no call; the other VM continues to serve the programs.

#include "History.h"
#include "Suite.h"

#include <csignal>
#include <future>

using namespace fescue::test;

class PlannedStop : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlannedStop);
    CPPUNIT_TEST(schedulerStopsUnderLoad);
    CPPUNIT_TEST(gatewayStopsUnderLoad);
    CPPUNIT_TEST(wholeVmStopsUnderLoad);
    CPPUNIT_TEST(callsOfABusyShardAreServedWhileItsVmLeaves);
    CPPUNIT_TEST(queuedCallsAreAnsweredWhenTheDrainTimeoutExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    void schedulerStopsUnderLoad();
    void gatewayStopsUnderLoad();
    void wholeVmStopsUnderLoad();
    void callsOfABusyShardAreServedWhileItsVmLeaves();
    void queuedCallsAreAnsweredWhenTheDrainTimeoutExpires();
};

REGISTER_SUITE(PlannedStop);

namespace {

// A request was interrupted when its answer is incomplete or its outcome is unknown. The load balancer sends
// nothing to a gateway that is not ready, so a refused connection counts as interrupted too.
void checkNoRequestInterrupted(const History& history)
{
    for (const RecordedCall& call : history.calls()) {
        bool isInterrupted = call.answer_.outcome_ != fescue::HttpResult::Outcome::Answered
            || hasErrorEvent(call) || problemOf(call.answer_) == "outcome-unknown";
        CPPUNIT_ASSERT_MESSAGE(call.program_ + "/" + std::to_string(call.number_) + ": "
                + std::to_string(call.answer_.status_) + " " + call.answer_.error_ + call.answer_.body_,
            !isInterrupted);
    }
}

void stopUnderLoad(bool stopsScheduler, bool stopsGateway)
{
    ClusterOptions clusterOptions;
    clusterOptions.vmsPerZone_ = 2;
    clusterOptions.engineFlags_ = { "--step_ms=5" };
    Cluster cluster(clusterOptions);
    waitUntilAllShardsOwned(cluster);
    History history;
    std::atomic<int> done { 0 };
    CallerOptions options;
    options.programs_ = 12;
    options.calls_ = 9;
    options.gateways_ = { 0, 1 };
    options.answeredCalls_ = &done;
    std::atomic<std::size_t> drainingVm { clusterOptions.vmsPerZone_ };
    options.drainingVm_ = &drainingVm;
    auto load = std::async(std::launch::async, [&] { runPrograms(cluster, history, options); });
    waitUntil("calls have been answered", [&] { return done > 20; });
    EntryVm& leaving = cluster.entries_[0];
    cluster.setVmState(leaving, "leaving");
    if (stopsGateway) {
        std::string ready = cluster.url(*leaving.gateway_) + "/readyz";
        auto end = std::async(std::launch::async, [&] { return leaving.gateway_->signalAndWait(SIGTERM); });
        waitUntil("the gateway is not ready", [&] {
            return cluster.client_.perform({ "GET", ready }).status_ != 200;
        });
        drainingVm = 0;
        CHECK_EQUAL(0, end.get());
    }
    if (stopsScheduler)
        CHECK_EQUAL(0, leaving.scheduler_->signalAndWait(SIGTERM));
    load.get();
    checkNoRequestInterrupted(history);
    if (stopsScheduler && !stopsGateway)
        leaving.gateway_->signalAndWait(SIGKILL);
    CHECK_EQUAL(std::string(), findViolations(history.calls(), collectEvidence(cluster, history)));
}

// Two programs of one shard whose owner is leaving. The first keeps the shard busy with a long call; the
// second makes a call during that time.
struct BusyShard {
    Cluster cluster_;
    std::string busy_;
    std::string other_;
    std::size_t owner_ = 0;
    std::future<Answer> first_;
    std::future<int> end_;
    std::future<Answer> second_;

    explicit BusyShard(const ClusterOptions& options)
        : cluster_(options)
    {
        waitUntilAllShardsOwned(cluster_);
        busy_ = cluster_.createProgram(0);
        other_ = cluster_.createProgram(0, { { "parent", busy_ }, { "budget", 1000 } });
        owner_ = ownerOf(cluster_, busy_);
        cluster_.setFaults(*cluster_.service_, { { "delay_ms", 6000 } });
        first_ = callLater(busy_);
        waitUntil("the call runs", [this] { return cluster_.executions(busy_, 1) == 1; });
        cluster_.setFaults(*cluster_.service_, { { "delay_ms", 0 } });
        end_ = std::async(std::launch::async,
            [this] { return cluster_.entries_[owner_].scheduler_->signalAndWait(SIGTERM); });
        waitUntil("the other VM knows that the owner is leaving", [this] {
            nlohmann::json status = cluster_.get(*cluster_.entries_[1 - owner_].scheduler_, "/status");
            for (const nlohmann::json& member : status["members"]) {
                if (member["vm"] == cluster_.entries_[owner_].name_)
                    return member.value("leaving", false);
            }
            return false;
        });
        second_ = callLater(other_);
    }

    std::future<Answer> callLater(const std::string& program)
    {
        return std::async(std::launch::async,
            [this, program] { return cluster_.serviceCall(1 - owner_, program, 1, "/payouts", "{}"); });
    }

    bool isFirstOpen() { return first_.wait_for(std::chrono::seconds(0)) != std::future_status::ready; }
};

} // namespace

void PlannedStop::callsOfABusyShardAreServedWhileItsVmLeaves()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    BusyShard shard(options);
    CHECK_EQUAL(200, shard.second_.get().status());
    CHECK(shard.isFirstOpen());
    CHECK_EQUAL(200, shard.first_.get().status());
    CHECK_EQUAL(0, shard.end_.get());
    CHECK_EQUAL(1, shard.cluster_.executions(shard.busy_, 1));
    CHECK_EQUAL(1, shard.cluster_.executions(shard.other_, 1));
}

void PlannedStop::queuedCallsAreAnsweredWhenTheDrainTimeoutExpires()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    options.schedulerFlags_ = { "--drain_ms=1000" };
    BusyShard shard(options);
    Answer answer = shard.second_.get();
    CHECK_EQUAL(0, shard.end_.get());
    // The answer is final: a refusal because the VM shuts down, or the result from the new owner of the
    // shard.
    bool isRefused = problemOf(answer.http_) == "shutting-down";
    CPPUNIT_ASSERT_MESSAGE(answer.http_.body_, isRefused || answer.status() == 200);
    shard.first_.get();
    CHECK_EQUAL(1, shard.cluster_.executions(shard.busy_, 1));
    CHECK_EQUAL(isRefused ? 0 : 1, shard.cluster_.executions(shard.other_, 1));
}

void PlannedStop::schedulerStopsUnderLoad() { stopUnderLoad(true, false); }

void PlannedStop::gatewayStopsUnderLoad() { stopUnderLoad(false, true); }

void PlannedStop::wholeVmStopsUnderLoad() { stopUnderLoad(true, true); }
