// Guards against a stream of a new software version that goes on at an old one, at a VM that has not read of
// the new one yet.

#include "StreamVersionSetup.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

class UnreadVersions : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UnreadVersions);
    CPPUNIT_TEST(streamOfANewVersionIsNotJoinedAtAVmThatTheStoreRefuses);
    CPPUNIT_TEST(streamOfANewVersionIsNotJoinedAtAVmThatWasPaused);
    CPPUNIT_TEST(streamOfANewVersionGoesOnAtAVmThatHasNotReadOfItYet);
    CPPUNIT_TEST_SUITE_END();

    // Waits until the VMs know that there has been a single version, of the even targets.
    static void awaitCoverage(StreamVersionSetup& setup)
    {
        for (std::size_t odd : { 1, 3 })
            setup.vms_.announce(odd, { "v2", false, false });
        std::this_thread::sleep_for(std::chrono::milliseconds(11500));
    }

    // The odd targets join, with a new version. Returns streams that they begin at the first VM as soon as it
    // has read of them; another VM may not have.
    static std::vector<std::string> beginAtNewVersion(StreamVersionSetup& setup)
    {
        constexpr std::size_t wanted = 3;
        constexpr int maxTries = 100;
        constexpr std::chrono::milliseconds betweenTries { 10 };
        for (std::size_t odd : { 1, 3 })
            setup.vms_.announce(odd, { "v2" });
        std::vector<std::string> begun;
        for (int i = 0; i < maxTries && begun.size() < wanted; ++i) {
            std::string first = setup.begin(0);
            if (setup.streams_.runsOf(first).front() % 2 == 1)
                begun.push_back(first);
            std::this_thread::sleep_for(betweenTries);
        }
        CHECK_EQUAL(wanted, begun.size());
        return begun;
    }

public:
    // Such a VM goes on with a list that is a second old.
    void streamOfANewVersionIsNotJoinedAtAVmThatTheStoreRefuses()
    {
        StreamVersionSetup setup(2, false);
        awaitCoverage(setup);
        setup.vms_.setStoreRefuses(1, true);
        for (const std::string& first : beginAtNewVersion(setup)) {
            setup.resume(1, first);
            CHECK(setup.hasOneVersion(first));
        }
    }

    // What such a VM has received before the pause seems new to it.
    void streamOfANewVersionIsNotJoinedAtAVmThatWasPaused()
    {
        constexpr std::chrono::milliseconds untilReceived { 50 };
        StreamVersionSetup setup(2, false);
        awaitCoverage(setup);
        setup.vms_.process(1).pause();
        std::vector<std::string> begun = beginAtNewVersion(setup);
        std::vector<std::thread> callers;
        callers.reserve(begun.size());
        for (std::size_t i = 0; i < begun.size(); ++i)
            callers.emplace_back([&setup, &begun, i] {
                setup.send(1, begun[i], "after-pause-" + std::to_string(i),
                    "Resumes: " + begun[i] + "\r\nLast-Event-Id: 1\r\n");
            });
        std::this_thread::sleep_for(untilReceived);
        setup.vms_.process(1).signal(SIGCONT);
        for (std::thread& caller : callers)
            caller.join();
        for (const std::string& first : begun)
            CHECK(setup.hasOneVersion(first));
    }

    void streamOfANewVersionGoesOnAtAVmThatHasNotReadOfItYet()
    {
        constexpr int rounds = 2;
        StreamVersionSetup setup(4, false);
        int begun = 0;
        int resumed = 0;
        for (int round = 0; round < rounds; ++round) {
            awaitCoverage(setup);
            std::vector<std::string> streams = beginAtNewVersion(setup);
            begun += static_cast<int>(streams.size());
            for (std::size_t i = 0; i < streams.size(); ++i)
                resumed += statusOf(setup.resume(1 + i, streams[i])) == 200 ? 1 : 0;
        }
        CHECK_EQUAL(begun, resumed);
    }
};

REGISTER_SUITE(UnreadVersions);
