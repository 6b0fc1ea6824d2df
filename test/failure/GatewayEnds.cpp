// Guards against a use of freed memory when a gateway ends while calls are open: they were dropped after its
// server. Only a build with the address sanitizer shows it for certain.

#include "History.h"
#include "Suite.h"

#include <csignal>
#include <future>

using namespace fescue::test;

class GatewayEnds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayEnds);
    CPPUNIT_TEST(gatewayWithOpenCallsEndsInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void gatewayWithOpenCallsEndsInOrder()
    {
        ClusterOptions options;
        options.gatewayFlags_ = { "--drain_ms=100" };
        Cluster cluster(options);
        std::string program = cluster.createProgram(0);
        cluster.setFaults(*cluster.service_, { { "delay_ms", 3000 } });
        auto answer = std::async(
            std::launch::async, [&] { return cluster.serviceCall(0, program, 1, "/payouts", "{}"); });
        waitUntil("the call runs", [&] { return cluster.executions(program, 1) == 1; });
        CHECK_EQUAL(0, cluster.entries_[0].gateway_->signalAndWait(SIGTERM));
        answer.get();
    }
};

REGISTER_SUITE(GatewayEnds);
