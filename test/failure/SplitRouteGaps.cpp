// Guards against a stream that goes on at another service than the one that began it, at a VM that does not
// know all that was in force.

#include "SplitRouteSetup.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

class SplitRouteGaps : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SplitRouteGaps);
    CPPUNIT_TEST(streamIsNotJoinedAtAVmThatHasNotReadOfNewWeights);
    CPPUNIT_TEST(streamKeepsItsServiceAtAVmThatHasNotReadOfNewWeights);
    CPPUNIT_TEST(streamIsNotJoinedWhenWeightsChangeAndAllVmsAreLost);
    CPPUNIT_TEST(streamOfAnotherVmGoesOnAtAVmThatHasJustStarted);
    CPPUNIT_TEST(streamOfARouteWithOneServiceGoesOnWithoutPeers);
    CPPUNIT_TEST_SUITE_END();

public:
    // The store refuses such a VM, so it goes on with the weights that it has.
    void streamIsNotJoinedAtAVmThatHasNotReadOfNewWeights()
    {
        SplitSetup setup(2, true, 1, 0);
        setup.vms_.setStoreRefuses(1, true);
        setup.publish(0, 1);
        std::vector<std::string> begun = setup.beginMany(4);
        CHECK_EQUAL(4, setup.begunAt(begun, "app"));
        setup.resumeAll(begun, 1);
        CHECK_EQUAL(0, setup.joined(begun));
    }

    // The answer to its long poll is late, though all other reads are answered.
    void streamKeepsItsServiceAtAVmThatHasNotReadOfNewWeights()
    {
        constexpr std::chrono::milliseconds untilPollEnds { 2300 };
        SplitSetup setup(2, true, 1, 0);
        setup.vms_.setStoreHoldsLongPolls(1, true);
        std::this_thread::sleep_for(untilPollEnds);
        setup.publish(0, 1);
        std::vector<std::string> begun = setup.beginMany(4);
        CHECK_EQUAL(4, setup.begunAt(begun, "app"));
        CHECK_EQUAL(4, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
        setup.vms_.setStoreHoldsLongPolls(1, false);
    }

    void streamIsNotJoinedWhenWeightsChangeAndAllVmsAreLost()
    {
        constexpr int rounds = 4;
        SplitSetup setup(2, true);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        for (std::size_t vm : { 0, 1 })
            setup.vms_.process(vm).signalAndWait(SIGKILL);
        setup.publish(1, 9);
        for (std::size_t vm : { 0, 1 })
            setup.vms_.restartVm(vm);
        for (int round = 0; round < rounds; ++round) {
            setup.resumeAll(begun, static_cast<std::size_t>(round % 2));
            std::this_thread::sleep_for(untilApplied);
        }
        CHECK_EQUAL(0, setup.joined(begun));
    }

    void streamOfAnotherVmGoesOnAtAVmThatHasJustStarted()
    {
        SplitSetup setup(2, false);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.vms_.restartVm(1);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    void streamOfARouteWithOneServiceGoesOnWithoutPeers()
    {
        SplitSetup setup(1, false, 1, 0);
        CHECK_EQUAL(200, statusOf(setup.resume(0, "of-a-vm-that-has-ended")));
        CHECK_EQUAL(200, statusOf(setup.send(0, "first", "without-first-attempt", "Last-Event-Id: 1\r\n")));
    }
};

REGISTER_SUITE(SplitRouteGaps);
