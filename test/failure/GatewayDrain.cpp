// Guards against a call that is cut without an answer when the drain of its gateway ends.

#include "History.h"
#include "Suite.h"

#include <csignal>
#include <future>

using namespace fescue::test;

class GatewayDrain : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayDrain);
    CPPUNIT_TEST(callThatOutlastsTheDrainIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void callThatOutlastsTheDrainIsAnswered()
    {
        ClusterOptions options;
        options.gatewayFlags_ = { "--drain_ms=1500" };
        Cluster cluster(options);
        std::string program = cluster.createProgram(0);
        cluster.setFaults(*cluster.service_, { { "delay_ms", 4000 } });
        auto answer = std::async(
            std::launch::async, [&] { return cluster.serviceCall(0, program, 1, "/payouts", "{}"); });
        waitUntil("the call runs", [&] { return cluster.executions(program, 1) == 1; });
        cluster.entries_[0].gateway_->signalAndWait(SIGTERM);
        Answer got = answer.get();
        CPPUNIT_ASSERT_MESSAGE(got.http_.error_, got.http_.outcome_ == fescue::HttpResult::Outcome::Answered);
    }
};

REGISTER_SUITE(GatewayDrain);
