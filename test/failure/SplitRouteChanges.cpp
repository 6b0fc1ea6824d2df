// Guards against a stream that goes on at another service than the one that began it, after the weights of
// its route have changed.

#include "SplitRouteSetup.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

class SplitRouteChanges : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SplitRouteChanges);
    CPPUNIT_TEST(streamKeepsItsServiceWhenWeightsChange);
    CPPUNIT_TEST(streamOfAProgramKeepsItsServiceWhenWeightsChange);
    CPPUNIT_TEST(streamOfAKilledVmKeepsItsServiceWhenWeightsChange);
    CPPUNIT_TEST(streamIsNotJoinedWhenItsRouteMovesToAnotherService);
    CPPUNIT_TEST_SUITE_END();

    static void checkKeepsService(bool hasPrograms)
    {
        SplitSetup setup(3, hasPrograms);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.publish(1, 9);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
        setup.publish(9, 1);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 2));
        CHECK_EQUAL(0, setup.joined(begun));
    }

public:
    void streamKeepsItsServiceWhenWeightsChange() { checkKeepsService(false); }

    void streamOfAProgramKeepsItsServiceWhenWeightsChange() { checkKeepsService(true); }

    void streamOfAKilledVmKeepsItsServiceWhenWeightsChange()
    {
        SplitSetup setup(3, true);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.publish(1, 9);
        setup.vms_.process(0).signalAndWait(SIGKILL);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    // What the first service began can go on nowhere then, the rest can.
    void streamIsNotJoinedWhenItsRouteMovesToAnotherService()
    {
        SplitSetup setup(2, true);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.publish(0, 1);
        int ofApp = setup.begunAt(begun, "app");
        for (std::size_t vm : { 1, 0 })
            CHECK_EQUAL(ofApp, setup.resumeAll(begun, vm));
        CHECK_EQUAL(0, setup.joined(begun));
    }
};

REGISTER_SUITE(SplitRouteChanges);
