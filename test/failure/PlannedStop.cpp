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
    CPPUNIT_TEST_SUITE_END();

public:
    void schedulerStopsUnderLoad();
    void gatewayStopsUnderLoad();
    void wholeVmStopsUnderLoad();
};

REGISTER_SUITE(PlannedStop);

namespace {

// A request was cut when its answer did not come whole, or says that nobody knows whether it ran.
void checkNothingCut(const History& history)
{
    for (const SeenCall& call : history.calls()) {
        bool isCut = call.answer_.fate_ == fescue::HttpResult::Fate::Unknown || showsError(call)
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
    waitUntilSettled(cluster);
    History history;
    std::atomic<int> done { 0 };
    ChainOptions options;
    options.programs_ = 12;
    options.calls_ = 9;
    options.gateways_ = { 0, 1 };
    options.done_ = &done;
    auto load = std::async(std::launch::async, [&] { runPrograms(cluster, history, options); });
    waitUntil("calls have been answered", [&] { return done > 20; });
    EntryVm& leaving = cluster.entries_[0];
    cluster.listVm(leaving, "leaving");
    if (stopsGateway)
        CHECK_EQUAL(0, leaving.gateway_->end(SIGTERM));
    if (stopsScheduler)
        CHECK_EQUAL(0, leaving.scheduler_->end(SIGTERM));
    load.get();
    checkNothingCut(history);
    if (stopsScheduler && !stopsGateway)
        leaving.gateway_->end(SIGKILL);
    CHECK_EQUAL(std::string(), faultsOf(history.calls(), evidenceOf(cluster, history)));
}

} // namespace

void PlannedStop::schedulerStopsUnderLoad() { stopUnderLoad(true, false); }

void PlannedStop::gatewayStopsUnderLoad() { stopUnderLoad(false, true); }

void PlannedStop::wholeVmStopsUnderLoad() { stopUnderLoad(true, true); }
