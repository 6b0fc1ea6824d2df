// A planned stop cuts no request and loses no call, and what was served goes on at the other VM.

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
    CPPUNIT_TEST(heldCallsAreAnsweredAtTheEndOfTheGrace);
    CPPUNIT_TEST_SUITE_END();

public:
    void schedulerStopsUnderLoad();
    void gatewayStopsUnderLoad();
    void wholeVmStopsUnderLoad();
    void callsOfABusyShardAreServedWhileItsVmLeaves();
    void heldCallsAreAnsweredAtTheEndOfTheGrace();
};

REGISTER_SUITE(PlannedStop);

namespace {

// A request was cut when its answer did not come whole, or says that nobody knows whether it ran. The
// balancer sends nothing to a gateway that says it is not ready, so none may be refused a connection either.
void checkNothingCut(const History& history)
{
    for (const RecordedCall& call : history.calls()) {
        bool isCut = call.answer_.outcome_ != fescue::HttpResult::Outcome::Answered || hasErrorEvent(call)
            || problemOf(call.answer_) == "outcome-unknown";
        CPPUNIT_ASSERT_MESSAGE(call.program_ + "/" + std::to_string(call.number_) + ": "
                + std::to_string(call.answer_.status_) + " " + call.answer_.error_ + call.answer_.body_,
            !isCut);
    }
}

void stopUnderLoad(bool stopsScheduler, bool stopsGateway)
{
    ClusterOptions layout;
    layout.vmsPerZone_ = 2;
    layout.engineFlags_ = { "--step_ms=5" };
    Cluster cluster(layout);
    waitUntilAllShardsOwned(cluster);
    History history;
    std::atomic<int> done { 0 };
    CallerOptions options;
    options.programs_ = 12;
    options.calls_ = 9;
    options.gateways_ = { 0, 1 };
    options.answeredCalls_ = &done;
    std::atomic<std::size_t> takenOut { layout.vmsPerZone_ };
    options.drainingVm_ = &takenOut;
    auto load = std::async(std::launch::async, [&] { runPrograms(cluster, history, options); });
    waitUntil("calls have been answered", [&] { return done > 20; });
    EntryVm& leaving = cluster.entries_[0];
    cluster.setVmState(leaving, "leaving");
    if (stopsGateway) {
        std::string ready = cluster.url(*leaving.gateway_) + "/readyz";
        auto end = std::async(std::launch::async, [&] { return leaving.gateway_->signalAndWait(SIGTERM); });
        waitUntil("the balancer notices", [&] {
            return cluster.client_.perform({ "GET", ready }).status_ != 200;
        });
        takenOut = 0;
        CHECK_EQUAL(0, end.get());
    }
    if (stopsScheduler)
        CHECK_EQUAL(0, leaving.scheduler_->signalAndWait(SIGTERM));
    load.get();
    checkNothingCut(history);
    if (stopsScheduler && !stopsGateway)
        leaving.gateway_->signalAndWait(SIGKILL);
    CHECK_EQUAL(std::string(), findViolations(history.calls(), collectEvidence(cluster, history)));
}

// Two programs of one shard whose owner is leaving. The first keeps the shard busy by a call that takes
// long; the second calls meanwhile.
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
        waitUntil("the owner is known to leave", [this] {
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

void PlannedStop::heldCallsAreAnsweredAtTheEndOfTheGrace()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    options.schedulerFlags_ = { "--drain_ms=1000" };
    BusyShard shard(options);
    Answer answer = shard.second_.get();
    CHECK_EQUAL(0, shard.end_.get());
    // Its answer is final: that the VM is stopping, or the result at the VM that the shard went to.
    bool isRefused = problemOf(answer.http_) == "shutting-down";
    CPPUNIT_ASSERT_MESSAGE(answer.http_.body_, isRefused || answer.status() == 200);
    shard.first_.get();
    CHECK_EQUAL(1, shard.cluster_.executions(shard.busy_, 1));
    CHECK_EQUAL(isRefused ? 0 : 1, shard.cluster_.executions(shard.other_, 1));
}

void PlannedStop::schedulerStopsUnderLoad() { stopUnderLoad(true, false); }

void PlannedStop::gatewayStopsUnderLoad() { stopUnderLoad(false, true); }

void PlannedStop::wholeVmStopsUnderLoad() { stopUnderLoad(true, true); }
