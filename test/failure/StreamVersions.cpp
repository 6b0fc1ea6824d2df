// Guards against a stream that goes on at a target of another software version than the one that began it.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string streamHeaders = "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// Which targets ran each stream, by the attempt that began it.
class Streams {
public:
    // The target breaks each new stream off after its first event, and completes the resumed ones.
    ScriptedTarget::Script script(std::size_t target)
    {
        return [this, target](const HttpHead& request, const std::string&) {
            std::string attempt = *findHeader(request, "Fescuewinch-Request-Id");
            const std::string* resumes = findHeader(request, "Resumes");
            std::lock_guard<std::mutex> lock(mutex_);
            runs_[resumes ? *resumes : attempt].push_back(target);
            bool isBroken = !resumes || breaksResumed_;
            std::string body = toChunk(isBroken ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n");
            return TargetAction { "HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: " + attempt
                    + "\r\nFescuewinch-Response-Stamp: s" + streamHeaders + body
                    + (isBroken ? "" : "0\r\n\r\n"),
                isBroken };
        };
    }

    std::vector<std::size_t> runsOf(const std::string& attempt) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = runs_.find(attempt);
        return found == runs_.end() ? std::vector<std::size_t>() : found->second;
    }

    std::atomic<bool> breaksResumed_ { false };

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<std::size_t>> runs_;
};

// Entry VMs before two targets of each of two versions, the even ones of v1 and the odd ones of v2.
struct Setup {
    Streams streams_;
    EntryVmHarness vms_;
    int attempts_ = 0;
    bool hasPrograms_ = true; ///< Whether streams are turns of programs, each of its own.
    std::string path_ = "/turn/1";

    explicit Setup(std::size_t vms, bool hasTwoVersions = true)
        : vms_({ streams_.script(0), streams_.script(1), streams_.script(2), streams_.script(3) }, true, vms)
    {
        if (!hasTwoVersions)
            return;
        for (std::size_t odd : { 1, 3 })
            vms_.announce(odd, { "v2" });
        std::this_thread::sleep_for(std::chrono::milliseconds(1500)); // All VMs have read the list.
    }

    // Sends an attempt of a turn; `extra` are further header lines.
    std::string send(
        std::size_t vm, const std::string& first, const std::string& attempt, const std::string& extra = "")
    {
        std::string program = "Fescuewinch-Program-Id: " + first + "\r\nFescuewinch-Token-Budget: 90000\r\n";
        return vms_.requestAt(vm, "POST", path_,
            "Fescuewinch-Request-Id: " + attempt + "\r\nFescuewinch-Deadline-Ms: 1200\r\n"
                + "Fescuewinch-Token-Count: 100,300\r\n" + (hasPrograms_ ? program : "") + extra,
            "prompt of " + first);
    }

    // Begins a stream, which breaks off, and returns the attempt that began it.
    std::string begin(std::size_t vm)
    {
        std::string attempt = "first-" + std::to_string(++attempts_);
        send(vm, attempt, attempt);
        CHECK_EQUAL(std::size_t { 1 }, streams_.runsOf(attempt).size());
        return attempt;
    }

    std::string resume(std::size_t vm, const std::string& first)
    {
        return send(vm, first, "next-" + std::to_string(++attempts_),
            "Resumes: " + first + "\r\nLast-Event-Id: 1\r\n");
    }

    // One target of each version leaves, so that half of the streams have to go on at another target.
    void letOneOfEachVersionLeave()
    {
        vms_.announce(0, { "v1", true });
        vms_.announce(1, { "v2", true });
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }

    // Whether all targets that ran the stream have the version that began it.
    bool hasOneVersion(const std::string& first) const
    {
        std::set<std::size_t> versions;
        for (std::size_t target : streams_.runsOf(first))
            versions.insert(target % 2);
        return versions.size() == 1;
    }
};

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
    CPPUNIT_TEST(streamOfANewVersionIsNotJoinedAtAVmThatTheStoreRefuses);
    CPPUNIT_TEST(streamOfANewVersionIsNotJoinedAtAVmThatWasPaused);
    CPPUNIT_TEST(streamOfANewVersionGoesOnAtAVmThatHasNotReadOfItYet);
    CPPUNIT_TEST_SUITE_END();

    // Begins streams at the first VM and resumes each at another one. Returns how many went on.
    static int resumeElsewhere(Setup& setup, const std::vector<std::string>& begun)
    {
        int resumed = 0;
        std::size_t others = setup.vms_.vmCount() - 1;
        for (std::size_t i = 0; i < begun.size(); ++i) {
            resumed += statusOf(setup.resume(1 + i % others, begun[i])) == 200 ? 1 : 0;
            CHECK(setup.hasOneVersion(begun[i]));
        }
        return resumed;
    }

    static std::vector<std::string> beginMany(Setup& setup, int count = streamCount)
    {
        std::vector<std::string> begun;
        begun.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            begun.push_back(setup.begin(0));
        return begun;
    }

    // Waits until the VMs know that there has been a single version, of the even targets.
    static void awaitCoverage(Setup& setup)
    {
        for (std::size_t odd : { 1, 3 })
            setup.vms_.announce(odd, { "v2", false, false });
        std::this_thread::sleep_for(std::chrono::milliseconds(11500));
    }

    // The odd targets join, with a new version. Returns streams that they begin at the first VM as soon as it
    // has read of them; another VM may not have.
    static std::vector<std::string> beginAtNewVersion(Setup& setup)
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

    static void checkRefusedAtOnce(Setup& setup, std::size_t vm, const std::string& first)
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
    static void loseAllVms(Setup& setup, const std::vector<std::string>& begun)
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
        Setup setup(3);
        std::vector<std::string> begun = beginMany(setup);
        setup.letOneOfEachVersionLeave();
        CHECK_EQUAL(streamCount, resumeElsewhere(setup, begun));
    }

    void streamResumedAtItsOwnVmKeepsItsVersion()
    {
        Setup setup(1);
        std::vector<std::string> begun = beginMany(setup, 4);
        setup.letOneOfEachVersionLeave();
        for (const std::string& first : begun) {
            CHECK_EQUAL(200, statusOf(setup.resume(0, first)));
            CHECK(setup.hasOneVersion(first));
        }
    }

    void streamOfAKilledVmRunsAtTheVersionThatBeganIt()
    {
        Setup setup(4);
        std::vector<std::string> begun = beginMany(setup);
        setup.letOneOfEachVersionLeave();
        setup.vms_.process(0).signalAndWait(SIGKILL);
        CHECK_EQUAL(streamCount, resumeElsewhere(setup, begun));
    }

    // The second resumed attempt names the attempt that brought the first event, not the one before it.
    void streamThatBreaksAgainKeepsItsVersion()
    {
        Setup setup(3);
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
        Setup setup(3, false);
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
        Setup setup(3);
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
        Setup setup(3);
        checkRefusedAtOnce(setup, 1, "nobody");
        setup.vms_.process(2).signalAndWait(SIGKILL);
        checkRefusedAtOnce(setup, 1, "nobody");
    }

    void streamWhoseVersionHasLeftIsRefusedAtOnce()
    {
        Setup setup(2);
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
        Setup setup(2, false);
        std::this_thread::sleep_for(std::chrono::seconds(12));
        CHECK_EQUAL(200, statusOf(setup.resume(0, "of-a-vm-that-has-ended")));
        setup.vms_.restartVm(1);
        CHECK_EQUAL(200, statusOf(setup.resume(1, "of-a-vm-that-has-ended")));
    }

    void streamsAreNotJoinedOfTwoVersionsAfterTheLossOfAllVms()
    {
        Setup setup(3);
        loseAllVms(setup, beginMany(setup));
    }

    // After their start the VMs find one version only, which began none of these streams.
    void streamsAreNotJoinedAfterTheirVersionHasLeftAndAllVmsAreLost()
    {
        Setup setup(3);
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
        Setup setup(3);
        setup.path_ = "/again/1";
        std::vector<std::string> begun = beginMany(setup);
        setup.letOneOfEachVersionLeave();
        CHECK_EQUAL(streamCount, resumeElsewhere(setup, begun));
    }

    // Such a VM goes on with a list that is a second old.
    void streamOfANewVersionIsNotJoinedAtAVmThatTheStoreRefuses()
    {
        Setup setup(2, false);
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
        Setup setup(2, false);
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
        constexpr int rounds = 3;
        Setup setup(4, false);
        int begun = 0;
        int resumed = 0;
        for (int round = 0; round < rounds; ++round) {
            awaitCoverage(setup);
            std::vector<std::string> streams = beginAtNewVersion(setup);
            begun += static_cast<int>(streams.size());
            resumed += resumeElsewhere(setup, streams);
        }
        CHECK_EQUAL(begun, resumed);
    }
};

REGISTER_SUITE(StreamVersions);
