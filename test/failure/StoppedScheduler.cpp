// A suspended scheduler keeps its links open but does not answer. Callers of its gateway must not hang.

#include "History.h"
#include "Suite.h"

#include <csignal>

using namespace fescue::test;

class StoppedScheduler : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoppedScheduler);
    CPPUNIT_TEST(callIsRefusedWhenNoOtherSchedulerIsInTheZone);
    CPPUNIT_TEST(anotherSchedulerOfTheZoneAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void callIsRefusedWhenNoOtherSchedulerIsInTheZone();
    void anotherSchedulerOfTheZoneAnswers();
};

REGISTER_SUITE(StoppedScheduler);

void StoppedScheduler::callIsRefusedWhenNoOtherSchedulerIsInTheZone()
{
    Cluster cluster;
    std::string program = cluster.createProgram(0);
    cluster.entries_[0].scheduler_->pause();
    Answer refused = cluster.modelCall(0, program, 1, conversation({ "hello" }));
    CHECK_EQUAL(503, refused.status());
    CHECK_EQUAL(std::string("home-unreachable"), problemOf(refused.http_));
    cluster.entries_[0].scheduler_->signal(SIGCONT);
    waitUntil("the scheduler answers again",
        [&] { return cluster.modelCall(0, program, 1, conversation({ "hello" })).status() == 200; });
}

void StoppedScheduler::anotherSchedulerOfTheZoneAnswers()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    Cluster cluster(options);
    waitUntilAllShardsOwned(cluster);
    std::string program = cluster.createProgram(0);
    std::size_t owner = ownerOf(cluster, program);
    cluster.entries_[owner].scheduler_->pause();
    CHECK_EQUAL(200, cluster.modelCall(owner, program, 1, conversation({ "hello" })).status());
    cluster.entries_[owner].scheduler_->signal(SIGCONT);
}
