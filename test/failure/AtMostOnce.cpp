// A service call runs at most once, at whichever point its owner is killed or paused.

#include "History.h"
#include "Suite.h"

#include <csignal>
#include <future>

using namespace fescue::test;
using nlohmann::json;

class AtMostOnce : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AtMostOnce);
    CPPUNIT_TEST(ownerKilledAtEachPointRunsACallOnce);
    CPPUNIT_TEST(pausedOwnerResumesAfterItsSuccessorServedTheNextCall);
    CPPUNIT_TEST(pausedOwnerResumesBeforeItsSuccessorServesTheNextCall);
    CPPUNIT_TEST(lateRefusalByAPausedOwnerIsCorrect);
    CPPUNIT_TEST(refusalByAPausedOwnerWithoutTheLogIsCorrect);
    CPPUNIT_TEST(lostAndHangingAppendsRunACallOnce);
    CPPUNIT_TEST(sameCallThroughTwoGatewaysRunsOnce);
    CPPUNIT_TEST(staleListOfVmsRunsACallOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void ownerKilledAtEachPointRunsACallOnce();
    void pausedOwnerResumesAfterItsSuccessorServedTheNextCall();
    void pausedOwnerResumesBeforeItsSuccessorServesTheNextCall();
    void lateRefusalByAPausedOwnerIsCorrect();
    void refusalByAPausedOwnerWithoutTheLogIsCorrect();
    void lostAndHangingAppendsRunACallOnce();
    void sameCallThroughTwoGatewaysRunsOnce();
    void staleListOfVmsRunsACallOnce();
};

REGISTER_SUITE(AtMostOnce);

namespace {

// Two VMs of one zone. The long flush interval delays outcomes that no request waits for until the next
// record that is flushed at once.
ClusterOptions twoVms()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    options.schedulerFlags_ = { "--flush_ms=60000" };
    return options;
}

struct Scenario {
    Cluster cluster_ { twoVms() };
    History history_;
    std::string program_;
    std::size_t owner_ = 0;
    std::size_t other_ = 0;

    Scenario() { waitUntilAllShardsOwned(cluster_); }

    void newProgram()
    {
        std::size_t newestVm = cluster_.entries_.size() - 1;
        program_ = cluster_.createProgram(newestVm);
        history_.recordProgram(program_, 200000);
        owner_ = ownerOf(cluster_, program_);
        other_ = owner_ == newestVm ? newestVm - 1 : newestVm;
    }

    RecordedCall pay(std::size_t vm, int number)
    {
        RecordedCall call;
        call.program_ = program_;
        call.number_ = number;
        call.isService_ = true;
        call.token_ = program_ + "." + std::to_string(number);
        return sendRecorded(cluster_, history_, vm, call);
    }

    std::future<RecordedCall> startPay(std::size_t vm, int number)
    {
        return std::async(std::launch::async, [this, vm, number] { return pay(vm, number); });
    }

    // Runs payUntilFinal on another thread.
    std::future<RecordedCall> startPayUntilFinal(std::size_t vm, int number)
    {
        return std::async(std::launch::async, [this, vm, number] { return payUntilFinal(vm, number); });
    }

    // Retries a call until it has a final answer.
    RecordedCall payUntilFinal(std::size_t vm, int number)
    {
        RecordedCall last;
        waitUntil("call " + std::to_string(number) + " has a final answer", [&] {
            last = pay(vm, number);
            return last.answer_.status_ == 200 || problemOf(last.answer_) == "outcome-unknown";
        });
        return last;
    }

    int appendCount() { return cluster_.get(*cluster_.log_, "/stats")["appends"].get<int>(); }

    void killOwner()
    {
        EntryVm& vm = cluster_.entries_[owner_];
        vm.scheduler_->signalAndWait(SIGKILL);
        vm.gateway_->signalAndWait(SIGKILL);
        cluster_.setVmState(vm, "");
    }

    // The platform removes the owner from its list although the owner is only paused.
    void pauseOwner()
    {
        cluster_.entries_[owner_].scheduler_->pause();
        cluster_.setVmState(cluster_.entries_[owner_], "");
    }

    void resumeOwner() { cluster_.entries_[owner_].scheduler_->signal(SIGCONT); }

    void checkHistory()
    {
        CHECK_EQUAL(std::string(), findViolations(history_.calls(), collectEvidence(cluster_, history_)));
    }
};

void pauseOwnerAfterIntent(Scenario& scenario, std::future<RecordedCall>& first)
{
    scenario.newProgram();
    int before = scenario.appendCount();
    scenario.cluster_.setFaults(*scenario.cluster_.log_, { { "delay_ms", 300 } });
    first = scenario.startPayUntilFinal(scenario.owner_, 1);
    waitUntil("the intent is in the log", [&] { return scenario.appendCount() > before; });
    scenario.pauseOwner();
    scenario.cluster_.setFaults(*scenario.cluster_.log_, { { "delay_ms", 0 } });
}

} // namespace

void AtMostOnce::ownerKilledAtEachPointRunsACallOnce()
{
    enum class Point { IntentAppended, Sent, Executed, Answered, Recorded };
    Scenario scenario;
    Cluster& cluster = scenario.cluster_;
    int next = 2;
    for (Point point :
        { Point::IntentAppended, Point::Sent, Point::Executed, Point::Answered, Point::Recorded }) {
        scenario.newProgram();
        int before = scenario.appendCount();
        if (point == Point::IntentAppended)
            cluster.setFaults(*cluster.log_, { { "hang_answers", 1 } });
        if (point == Point::Sent)
            cluster.service_->pause();
        if (point == Point::Executed)
            cluster.setFaults(*cluster.service_, { { "delay_ms", 5000 } });
        auto first = scenario.startPayUntilFinal(scenario.other_, 1);
        if (point == Point::Answered || point == Point::Recorded)
            first.wait();
        if (point == Point::Executed)
            waitUntil("the call is executed", [&] { return cluster.executions(scenario.program_, 1) == 1; });
        if (point == Point::Recorded)
            scenario.payUntilFinal(scenario.other_, 2);
        waitUntil("the intent is in the log", [&] { return scenario.appendCount() > before; });
        scenario.killOwner();
        cluster.service_->signal(SIGCONT);
        cluster.setFaults(*cluster.service_, { { "delay_ms", 0 } });
        cluster.setFaults(*cluster.log_, { { "hang_answers", 0 } });
        first.wait();
        RecordedCall retried = scenario.payUntilFinal(scenario.other_, 1);
        CHECK(point != Point::Recorded || retried.answer_.status_ == 200);
        cluster.startVm("zone-a-vm" + std::to_string(next++), "zone-a");
        std::swap(cluster.entries_[scenario.other_], cluster.entries_[cluster.entries_.size() - 2]);
        waitUntil("the new VM is ready",
            [&] { return cluster.call(cluster.entries_.size() - 1, "GET", "/readyz").status() == 200; });
    }
    scenario.other_ = cluster.entries_.size() - 1;
    cluster.entries_.erase(cluster.entries_.begin(), cluster.entries_.end() - 2);
    scenario.checkHistory();
}

void AtMostOnce::pausedOwnerResumesAfterItsSuccessorServedTheNextCall()
{
    for (bool checksFencing : { false, true }) {
        Scenario scenario;
        scenario.cluster_.setFaults(*scenario.cluster_.service_, { { "checks_fencing", checksFencing } });
        std::future<RecordedCall> first;
        pauseOwnerAfterIntent(scenario, first);
        CHECK_EQUAL(
            std::string("outcome-unknown"), problemOf(scenario.payUntilFinal(scenario.other_, 1).answer_));
        CHECK_EQUAL(200, scenario.payUntilFinal(scenario.other_, 2).answer_.status_);
        scenario.resumeOwner();
        first.wait();
        CHECK_EQUAL(0, scenario.cluster_.executions(scenario.program_, 1));
        scenario.checkHistory();
    }
}

void AtMostOnce::pausedOwnerResumesBeforeItsSuccessorServesTheNextCall()
{
    Scenario scenario;
    std::future<RecordedCall> first;
    pauseOwnerAfterIntent(scenario, first);
    CHECK_EQUAL(
        std::string("outcome-unknown"), problemOf(scenario.payUntilFinal(scenario.other_, 1).answer_));
    scenario.resumeOwner();
    CHECK_EQUAL(200, scenario.payUntilFinal(scenario.other_, 2).answer_.status_);
    first.wait();
    scenario.checkHistory();
}

// The paused owner has received the request, its successor runs the retry, and then the owner resumes.
void AtMostOnce::lateRefusalByAPausedOwnerIsCorrect()
{
    Scenario scenario;
    scenario.newProgram();
    scenario.pauseOwner();
    auto first = scenario.startPay(scenario.owner_, 1);
    CHECK_EQUAL(200, scenario.payUntilFinal(scenario.other_, 1).answer_.status_);
    scenario.resumeOwner();
    first.wait();
    scenario.checkHistory();
}

void AtMostOnce::refusalByAPausedOwnerWithoutTheLogIsCorrect()
{
    Scenario scenario;
    scenario.newProgram();
    scenario.pauseOwner();
    CHECK_EQUAL(200, scenario.payUntilFinal(scenario.other_, 1).answer_.status_);
    CHECK_EQUAL(200, scenario.payUntilFinal(scenario.other_, 2).answer_.status_);
    scenario.cluster_.setFaults(*scenario.cluster_.log_, { { "down", true } });
    scenario.resumeOwner();
    scenario.pay(scenario.owner_, 2);
    scenario.pay(scenario.owner_, 1);
    scenario.pay(scenario.owner_, 1);
    scenario.cluster_.setFaults(*scenario.cluster_.log_, { { "down", false } });
    scenario.checkHistory();
}

void AtMostOnce::lostAndHangingAppendsRunACallOnce()
{
    Scenario scenario;
    scenario.newProgram();
    int number = 0;
    for (const char* fault : { "lose_answers", "hang_answers" }) {
        scenario.cluster_.setFaults(*scenario.cluster_.log_, { { fault, 1 } });
        scenario.payUntilFinal(scenario.owner_, ++number);
        CHECK(scenario.cluster_.executions(scenario.program_, number) <= 1);
    }
    CHECK_EQUAL(1, scenario.cluster_.executions(scenario.program_, 1));
    scenario.checkHistory();
}

void AtMostOnce::sameCallThroughTwoGatewaysRunsOnce()
{
    Scenario scenario;
    scenario.newProgram();
    scenario.cluster_.setFaults(*scenario.cluster_.service_, { { "delay_ms", 100 } });
    for (int number = 1; number <= 5; ++number) {
        auto one = scenario.startPay(0, number);
        auto two = scenario.startPay(1, number);
        CHECK_EQUAL(one.get().answer_.body_, two.get().answer_.body_);
        CHECK_EQUAL(1, scenario.cluster_.executions(scenario.program_, number));
    }
    scenario.checkHistory();
}

// The platform's list contains the killed VM until the end of the test.
void AtMostOnce::staleListOfVmsRunsACallOnce()
{
    Scenario scenario;
    scenario.newProgram();
    scenario.cluster_.setFaults(*scenario.cluster_.vms_, { { "down", true } });
    scenario.cluster_.entries_[scenario.owner_].scheduler_->signalAndWait(SIGKILL);
    for (int number = 1; number <= 3; ++number) {
        CHECK_EQUAL(200, scenario.payUntilFinal(scenario.other_, number).answer_.status_);
        CHECK_EQUAL(200, scenario.payUntilFinal(scenario.owner_, number).answer_.status_);
    }
    scenario.checkHistory();
}
