// Guards against a use of freed memory when a gateway ends while calls are open: they were dropped after its
// server. Only a build with the address sanitizer shows it for certain.

#include "Cluster.h"
#include "Suite.h"

using namespace fescue::test;

class GatewayEnds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayEnds);
    CPPUNIT_TEST(gatewayWithOpenCallsEndsInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void gatewayWithOpenCallsEndsInOrder() { CHECK_EQUAL(0, stopGatewayDuringCall(100, 3000).status_); }
};

REGISTER_SUITE(GatewayEnds);
