// Guards against a stream of a route over several services that goes on at another service than the one that
// began it.

#include "SplitRouteSetup.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

class SplitRoutes : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SplitRoutes);
    CPPUNIT_TEST(streamGoesOnAtItsService);
    CPPUNIT_TEST(streamOfAProgramGoesOnAtItsService);
    CPPUNIT_TEST(streamOfAKilledVmGoesOnAtItsService);
    CPPUNIT_TEST(streamThatWasRelayedGoesOnAtItsService);
    CPPUNIT_TEST(streamThatNamesNoFirstAttemptIsNotJoined);
    CPPUNIT_TEST_SUITE_END();

    static void checkGoesOn(bool hasPrograms)
    {
        SplitSetup setup(2, hasPrograms);
        for (std::size_t vm : { 0, 1 }) {
            std::vector<std::string> begun = setup.beginMany();
            setup.checkBothServicesBegan(begun);
            CHECK_EQUAL(streamCount, setup.resumeAll(begun, vm));
            CHECK_EQUAL(0, setup.joined(begun));
        }
    }

public:
    void streamGoesOnAtItsService() { checkGoesOn(false); }

    void streamOfAProgramGoesOnAtItsService() { checkGoesOn(true); }

    void streamOfAKilledVmGoesOnAtItsService()
    {
        SplitSetup setup(3, false);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.vms_.process(0).signalAndWait(SIGKILL);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    // The VM that began it did so through another one, since it cannot reach targets.
    void streamThatWasRelayedGoesOnAtItsService()
    {
        SplitSetup setup(3, true);
        setup.vms_.setLinks(0, EntryVmHarness::LinkFault::Refused);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.publish(1, 9);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 2));
        CHECK_EQUAL(0, setup.joined(begun));
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 0));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    // Any of the services may have begun it.
    void streamThatNamesNoFirstAttemptIsNotJoined()
    {
        SplitSetup setup(1, false);
        for (int i = 0; i < 8; ++i)
            CHECK_EQUAL(503,
                statusOf(setup.send(0, "first", "unnamed-" + std::to_string(i), "Last-Event-Id: 1\r\n")));
    }
};

REGISTER_SUITE(SplitRoutes);
