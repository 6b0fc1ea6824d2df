// Guards against a stream that goes on at a target of another software version than the one that began it.

#include "BootClock.h"
#include "StreamVersionSetup.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr int streamCount = 16;

} // namespace

class StreamVersions : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamVersions);
    CPPUNIT_TEST(resumedStreamRunsAtTheVersionThatBeganIt);
    CPPUNIT_TEST(streamResumedAtItsOwnVmKeepsItsVersion);
    CPPUNIT_TEST(streamOfAKilledVmRunsAtTheVersionThatBeganIt);
    CPPUNIT_TEST(streamThatBreaksAgainKeepsItsVersion);
    CPPUNIT_TEST(streamBegunBeforeTheSecondVersionKeepsItsVersion);
    CPPUNIT_TEST(streamKeepsItsVersionWhileTheStoreIsAway);
    CPPUNIT_TEST(streamOfUnknownOriginIsRefusedAtOnce);
    CPPUNIT_TEST(streamWhoseVersionHasLeftIsRefusedAtOnce);
    CPPUNIT_TEST(streamOfUnknownOriginGoesOnIfThereWasOneVersion);
    CPPUNIT_TEST(streamsAreNotJoinedOfTwoVersionsAfterTheLossOfAllVms);
    CPPUNIT_TEST(streamsAreNotJoinedAfterTheirVersionHasLeftAndAllVmsAreLost);
    CPPUNIT_TEST(resumedTurnOfAConversationKeepsItsVersion);
    CPPUNIT_TEST_SUITE_END();

    // Begins streams at the first VM and resumes each at another one. Returns how many went on.
    static int resumeElsewhere(StreamVersionSetup& setup, const std::vector<std::string>& begun)
    {
        int resumed = 0;
        std::size_t others = setup.vms_.vmCount() - 1;
        for (std::size_t i = 0; i < begun.size(); ++i) {
            resumed += statusOf(setup.resume(1 + i % others, begun[i])) == 200 ? 1 : 0;
            CHECK(setup.hasOneVersion(begun[i]));
        }
        return resumed;
    }

    static std::vector<std::string> beginMany(StreamVersionSetup& setup, int count = streamCount)
    {
        std::vector<std::string> begun;
        begun.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            begun.push_back(setup.begin(0));
        return begun;
    }

    static void checkRefusedAtOnce(StreamVersionSetup& setup, std::size_t vm, const std::string& first)
    {
        constexpr Milliseconds promptly { 600 };
        std::size_t runs = setup.streams_.runsOf(first).size();
        MonotonicTime from = bootNow();
        std::string answer = setup.resume(vm, first);
        CHECK_EQUAL(503, statusOf(answer));
        CHECK(answer.find("Retry-After") != std::string::npos);
        CHECK(bootNow() - from < promptly);
        CHECK_EQUAL(runs, setup.streams_.runsOf(first).size());
    }

    // Kills all VMs at once, starts them again, and takes all streams up again and again, as callers do until
    // their deadlines.
    static void loseAllVms(StreamVersionSetup& setup, const std::vector<std::string>& begun)
    {
        constexpr int rounds = 5;
        constexpr Milliseconds betweenRounds { 400 };
        for (std::size_t vm = 0; vm < setup.vms_.vmCount(); ++vm)
            setup.vms_.process(vm).signalAndWait(SIGKILL);
        for (std::size_t vm = 0; vm < setup.vms_.vmCount(); ++vm)
            setup.vms_.restartVm(vm);
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t i = 0; i < begun.size(); ++i) {
                setup.resume(i % setup.vms_.vmCount(), begun[i]);
                CHECK(setup.hasOneVersion(begun[i]));
            }
            std::this_thread::sleep_for(betweenRounds);
        }
    }

public:
    void resumedStreamRunsAtTheVersionThatBeganIt()
    {
        StreamVersionSetup setup(3);
        std::vector<std::string> begun = beginMany(setup);
        setup.letOneOfEachVersionLeave();
        CHECK_EQUAL(streamCount, resumeElsewhere(setup, begun));
    }

    void streamResumedAtItsOwnVmKeepsItsVersion()
    {
        StreamVersionSetup setup(1);
        std::vector<std::string> begun = beginMany(setup, 4);
        setup.letOneOfEachVersionLeave();
        for (const std::string& first : begun) {
            CHECK_EQUAL(200, statusOf(setup.resume(0, first)));
            CHECK(setup.hasOneVersion(first));
        }
    }

    void streamOfAKilledVmRunsAtTheVersionThatBeganIt()
    {
        StreamVersionSetup setup(4);
        std::vector<std::string> begun = beginMany(setup);
        setup.letOneOfEachVersionLeave();
        setup.vms_.process(0).signalAndWait(SIGKILL);
        CHECK_EQUAL(streamCount, resumeElsewhere(setup, begun));
    }

    // The second resumed attempt names the attempt that brought the first event, not the one before it.
    void streamThatBreaksAgainKeepsItsVersion()
    {
        StreamVersionSetup setup(3);
        // Few, so that the VMs do not back off from targets that break off.
        constexpr int few = 4;
        std::vector<std::string> begun = beginMany(setup, few);
        setup.letOneOfEachVersionLeave();
        setup.streams_.breaksResumed_ = true;
        resumeElsewhere(setup, begun);
        setup.streams_.breaksResumed_ = false;
        CHECK_EQUAL(few, resumeElsewhere(setup, begun));
    }

    void streamBegunBeforeTheSecondVersionKeepsItsVersion()
    {
        StreamVersionSetup setup(3, false);
        std::vector<std::string> begun = beginMany(setup);
        for (std::size_t target = 0; target < 4; ++target) {
            if (setup.streams_.runsOf(begun.front()).front() != target)
                setup.vms_.announce(target, { "v2" });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        setup.vms_.process(0).signalAndWait(SIGKILL);
        for (const std::string& first : begun) {
            std::size_t began = setup.streams_.runsOf(first).front();
            setup.resume(1, first);
            std::vector<std::size_t> runs = setup.streams_.runsOf(first);
            bool isOfFirstVersion = began == setup.streams_.runsOf(begun.front()).front();
            CHECK(!isOfFirstVersion || runs.back() == began);
        }
    }

    void streamKeepsItsVersionWhileTheStoreIsAway()
    {
        StreamVersionSetup setup(3);
        // Programs depend on the store for their budgets, which is not what this is about.
        setup.hasPrograms_ = false;
        std::vector<std::string> before = beginMany(setup);
        setup.letOneOfEachVersionLeave();
        setup.vms_.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = true; });
        std::this_thread::sleep_for(std::chrono::milliseconds(3000));
        CHECK_EQUAL(streamCount, resumeElsewhere(setup, before));
    }

    void streamOfUnknownOriginIsRefusedAtOnce()
    {
        StreamVersionSetup setup(3);
        checkRefusedAtOnce(setup, 1, "nobody");
        setup.vms_.process(2).signalAndWait(SIGKILL);
        checkRefusedAtOnce(setup, 1, "nobody");
    }

    void streamWhoseVersionHasLeftIsRefusedAtOnce()
    {
        StreamVersionSetup setup(2);
        std::string first = setup.begin(0);
        std::size_t began = setup.streams_.runsOf(first).front();
        for (std::size_t target = 0; target < 4; ++target) {
            if (target % 2 == began % 2)
                setup.vms_.announce(target, { target % 2 == 0 ? "v1" : "v2", true });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        checkRefusedAtOnce(setup, 1, first);
    }

    // Without this, each restart would end the streams of all deployments that have one version.
    void streamOfUnknownOriginGoesOnIfThereWasOneVersion()
    {
        StreamVersionSetup setup(2, false);
        std::this_thread::sleep_for(std::chrono::seconds(12));
        CHECK_EQUAL(200, statusOf(setup.resume(0, "of-a-vm-that-has-ended")));
        setup.vms_.restartVm(1);
        CHECK_EQUAL(200, statusOf(setup.resume(1, "of-a-vm-that-has-ended")));
    }

    void streamsAreNotJoinedOfTwoVersionsAfterTheLossOfAllVms()
    {
        StreamVersionSetup setup(3);
        loseAllVms(setup, beginMany(setup));
    }

    // After their start the VMs find one version only, which began none of these streams.
    void streamsAreNotJoinedAfterTheirVersionHasLeftAndAllVmsAreLost()
    {
        StreamVersionSetup setup(3);
        std::vector<std::string> ofFirstVersion;
        for (const std::string& first : beginMany(setup)) {
            if (setup.streams_.runsOf(first).front() % 2 == 0)
                ofFirstVersion.push_back(first);
        }
        CHECK(!ofFirstVersion.empty());
        for (std::size_t even : { 0, 2 })
            setup.vms_.announce(even, { "v1", false, false });
        loseAllVms(setup, ofFirstVersion);
    }

    // The system puts the earlier turns before such a request, which is a path of its own.
    void resumedTurnOfAConversationKeepsItsVersion()
    {
        StreamVersionSetup setup(3);
        setup.path_ = "/again/1";
        std::vector<std::string> begun = beginMany(setup);
        setup.letOneOfEachVersionLeave();
        CHECK_EQUAL(streamCount, resumeElsewhere(setup, begun));
    }
};

REGISTER_SUITE(StreamVersions);
