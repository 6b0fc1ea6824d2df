// Guards against a call that is cut without an answer when the drain of its gateway ends.

#include "Cluster.h"
#include "Suite.h"

using namespace fescue::test;

class GatewayDrain : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayDrain);
    CPPUNIT_TEST(callThatOutlastsTheDrainIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void callThatOutlastsTheDrainIsAnswered()
    {
        Answer got = stopGatewayDuringCall(1500, 4000).answer_;
        CPPUNIT_ASSERT_MESSAGE(got.http_.error_, got.http_.outcome_ == fescue::HttpResult::Outcome::Answered);
    }
};

REGISTER_SUITE(GatewayDrain);
