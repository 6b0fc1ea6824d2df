// A call that may run only once runs at most once, wherever its owner dies or pauses.

#include "History.h"
#include "Suite.h"

#include <csignal>
#include <future>

using namespace fescue::test;
using nlohmann::json;

class AtMostOnce : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AtMostOnce);
    CPPUNIT_TEST(ownerKilledAtEachPointRunsACallOnce);
    CPPUNIT_TEST(pausedOwnerWakesAfterItsSuccessorWentOn);
    CPPUNIT_TEST(pausedOwnerWakesWithinItsWindow);
    CPPUNIT_TEST(lateRefusalOfAPausedOwnerIsTrue);
    CPPUNIT_TEST(refusalOfAPausedOwnerWithoutTheLogIsTrue);
    CPPUNIT_TEST(lostAndHangingAppendsRunACallOnce);
    CPPUNIT_TEST(sameCallThroughTwoGatewaysRunsOnce);
    CPPUNIT_TEST(staleListOfVmsRunsACallOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void ownerKilledAtEachPointRunsACallOnce();
    void pausedOwnerWakesAfterItsSuccessorWentOn();
    void pausedOwnerWakesWithinItsWindow();
    void lateRefusalOfAPausedOwnerIsTrue();
    void refusalOfAPausedOwnerWithoutTheLogIsTrue();
    void lostAndHangingAppendsRunACallOnce();
    void sameCallThroughTwoGatewaysRunsOnce();
    void staleListOfVmsRunsACallOnce();
};

REGISTER_SUITE(AtMostOnce);

namespace {

// Two VMs of a zone; outcomes that nobody waits for are recorded only with the next urgent record.
ClusterOptions twoVms()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    options.schedulerFlags_ = { "--flush_ms=60000" };
    return options;
}

struct Scene {
    Cluster cluster_ { twoVms() };
    History history_;
    std::string program_;
    std::size_t owner_ = 0;
    std::size_t other_ = 0;

    Scene() { waitUntilAllShardsOwned(cluster_); }

    void newProgram()
    {
        std::size_t live = cluster_.entries_.size() - 1;
        program_ = cluster_.createProgram(live);
        history_.recordProgram(program_, 200000);
        owner_ = ownerOf(cluster_, program_);
        other_ = owner_ == live ? live - 1 : live;
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

    std::future<RecordedCall> payLater(std::size_t vm, int number)
    {
        return std::async(std::launch::async, [this, vm, number] { return pay(vm, number); });
    }

    // Sends a call now and again until it has a final answer.
    std::future<RecordedCall> payFinallyLater(std::size_t vm, int number)
    {
        return std::async(std::launch::async, [this, vm, number] { return payFinally(vm, number); });
    }

    // Repeats a call until it has a final answer.
    RecordedCall payFinally(std::size_t vm, int number)
    {
        RecordedCall last;
        waitUntil("call " + std::to_string(number) + " has its final answer", [&] {
            last = pay(vm, number);
            return last.answer_.status_ == 200 || problemOf(last.answer_) == "outcome-unknown";
        });
        return last;
    }

    int appends() { return cluster_.get(*cluster_.log_, "/stats")["appends"].get<int>(); }

    void killOwner()
    {
        EntryVm& vm = cluster_.entries_[owner_];
        vm.scheduler_->signalAndWait(SIGKILL);
        vm.gateway_->signalAndWait(SIGKILL);
        cluster_.setVmState(vm, "");
    }

    // The platform has given the owner up, but it only pauses.
    void pauseOwner()
    {
        cluster_.entries_[owner_].scheduler_->signal(SIGSTOP);
        cluster_.setVmState(cluster_.entries_[owner_], "");
    }

    void wakeOwner() { cluster_.entries_[owner_].scheduler_->signal(SIGCONT); }

    void check()
    {
        CHECK_EQUAL(std::string(), findViolations(history_.calls(), collectEvidence(cluster_, history_)));
    }
};

void pauseAfterIntent(Scene& scene, std::future<RecordedCall>& first)
{
    scene.newProgram();
    int before = scene.appends();
    scene.cluster_.setFaults(*scene.cluster_.log_, { { "delay_ms", 300 } });
    first = scene.payFinallyLater(scene.owner_, 1);
    waitUntil("the intent is in the log", [&] { return scene.appends() > before; });
    scene.pauseOwner();
    scene.cluster_.setFaults(*scene.cluster_.log_, { { "delay_ms", 0 } });
}

} // namespace

void AtMostOnce::ownerKilledAtEachPointRunsACallOnce()
{
    enum class Point { IntentTaken, Sent, Executed, Answered, Recorded };
    Scene scene;
    Cluster& cluster = scene.cluster_;
    int next = 2;
    for (Point point :
        { Point::IntentTaken, Point::Sent, Point::Executed, Point::Answered, Point::Recorded }) {
        scene.newProgram();
        int before = scene.appends();
        if (point == Point::IntentTaken)
            cluster.setFaults(*cluster.log_, { { "hang_answers", 1 } });
        if (point == Point::Sent)
            cluster.service_->signal(SIGSTOP);
        if (point == Point::Executed)
            cluster.setFaults(*cluster.service_, { { "delay_ms", 5000 } });
        auto first = scene.payFinallyLater(scene.other_, 1);
        if (point == Point::Answered || point == Point::Recorded)
            first.wait();
        if (point == Point::Executed)
            waitUntil("the call is executed", [&] { return cluster.executions(scene.program_, 1) == 1; });
        if (point == Point::Recorded)
            scene.payFinally(scene.other_, 2);
        waitUntil("the intent is taken", [&] { return scene.appends() > before; });
        scene.killOwner();
        cluster.service_->signal(SIGCONT);
        cluster.setFaults(*cluster.service_, { { "delay_ms", 0 } });
        cluster.setFaults(*cluster.log_, { { "hang_answers", 0 } });
        first.wait();
        RecordedCall repeat = scene.payFinally(scene.other_, 1);
        CHECK(point != Point::Recorded || repeat.answer_.status_ == 200);
        cluster.startVm("zone-a-vm" + std::to_string(next++), "zone-a");
        std::swap(cluster.entries_[scene.other_], cluster.entries_[cluster.entries_.size() - 2]);
        waitUntil("the new VM is ready",
            [&] { return cluster.call(cluster.entries_.size() - 1, "GET", "/readyz").status() == 200; });
    }
    scene.other_ = cluster.entries_.size() - 1;
    cluster.entries_.erase(cluster.entries_.begin(), cluster.entries_.end() - 2);
    scene.check();
}

void AtMostOnce::pausedOwnerWakesAfterItsSuccessorWentOn()
{
    for (bool checksFencing : { false, true }) {
        Scene scene;
        scene.cluster_.setFaults(*scene.cluster_.service_, { { "checks_fencing", checksFencing } });
        std::future<RecordedCall> first;
        pauseAfterIntent(scene, first);
        CHECK_EQUAL(std::string("outcome-unknown"), problemOf(scene.payFinally(scene.other_, 1).answer_));
        CHECK_EQUAL(200, scene.payFinally(scene.other_, 2).answer_.status_);
        scene.wakeOwner();
        first.wait();
        CHECK_EQUAL(0, scene.cluster_.executions(scene.program_, 1));
        scene.check();
    }
}

void AtMostOnce::pausedOwnerWakesWithinItsWindow()
{
    Scene scene;
    std::future<RecordedCall> first;
    pauseAfterIntent(scene, first);
    CHECK_EQUAL(std::string("outcome-unknown"), problemOf(scene.payFinally(scene.other_, 1).answer_));
    scene.wakeOwner();
    CHECK_EQUAL(200, scene.payFinally(scene.other_, 2).answer_.status_);
    first.wait();
    scene.check();
}

// The paused owner has the request before it, its successor runs the repeat, and then the owner wakes.
void AtMostOnce::lateRefusalOfAPausedOwnerIsTrue()
{
    Scene scene;
    scene.newProgram();
    scene.pauseOwner();
    auto first = scene.payLater(scene.owner_, 1);
    CHECK_EQUAL(200, scene.payFinally(scene.other_, 1).answer_.status_);
    scene.wakeOwner();
    first.wait();
    scene.check();
}

void AtMostOnce::refusalOfAPausedOwnerWithoutTheLogIsTrue()
{
    Scene scene;
    scene.newProgram();
    scene.pauseOwner();
    CHECK_EQUAL(200, scene.payFinally(scene.other_, 1).answer_.status_);
    CHECK_EQUAL(200, scene.payFinally(scene.other_, 2).answer_.status_);
    scene.cluster_.setFaults(*scene.cluster_.log_, { { "down", true } });
    scene.wakeOwner();
    scene.pay(scene.owner_, 2);
    scene.pay(scene.owner_, 1);
    scene.pay(scene.owner_, 1);
    scene.cluster_.setFaults(*scene.cluster_.log_, { { "down", false } });
    scene.check();
}

void AtMostOnce::lostAndHangingAppendsRunACallOnce()
{
    Scene scene;
    scene.newProgram();
    int number = 0;
    for (const char* fault : { "lose_answers", "hang_answers" }) {
        scene.cluster_.setFaults(*scene.cluster_.log_, { { fault, 1 } });
        scene.payFinally(scene.owner_, ++number);
        CHECK(scene.cluster_.executions(scene.program_, number) <= 1);
    }
    CHECK_EQUAL(1, scene.cluster_.executions(scene.program_, 1));
    scene.check();
}

void AtMostOnce::sameCallThroughTwoGatewaysRunsOnce()
{
    Scene scene;
    scene.newProgram();
    scene.cluster_.setFaults(*scene.cluster_.service_, { { "delay_ms", 100 } });
    for (int number = 1; number <= 5; ++number) {
        auto one = scene.payLater(0, number);
        auto two = scene.payLater(1, number);
        CHECK_EQUAL(one.get().answer_.body_, two.get().answer_.body_);
        CHECK_EQUAL(1, scene.cluster_.executions(scene.program_, number));
    }
    scene.check();
}

// The list still names the VM that is gone, and goes on naming it.
void AtMostOnce::staleListOfVmsRunsACallOnce()
{
    Scene scene;
    scene.newProgram();
    scene.cluster_.setFaults(*scene.cluster_.vms_, { { "down", true } });
    scene.cluster_.entries_[scene.owner_].scheduler_->signalAndWait(SIGKILL);
    for (int number = 1; number <= 3; ++number) {
        CHECK_EQUAL(200, scene.payFinally(scene.other_, number).answer_.status_);
        CHECK_EQUAL(200, scene.payFinally(scene.owner_, number).answer_.status_);
    }
    scene.check();
}
