// Requests that crash the targets that run them, seen by several entry VMs, and requests that only ran when a
// target or a connection ended.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

// The platform allows this many attempts that are sent later than this after the third crash.
constexpr int maxLateAttempts = 3;
constexpr Milliseconds settlingTime { 3000 };
constexpr int crashesBeforeSettling = 3;
constexpr std::size_t targetCount = 8;

const std::string headers = "Fescuewinch-Request-Id: r1\r\nFescuewinch-Deadline-Ms: 1200\r\n";
const std::string crashBody = "crash";

bool isCrashing(const HttpHead& head, const std::string& body)
{
    return body == crashBody || head.target_.find("crash") != std::string::npos;
}

TargetAction crashOrRespond(const HttpHead& head, const std::string& body)
{
    if (isCrashing(head, body))
        return { "", false, true };
    return { stampedResponse(head, "done"), false };
}

std::vector<ScriptedTarget::Script> targets(const ScriptedTarget::Script& script)
{
    return std::vector<ScriptedTarget::Script>(targetCount, script);
}

void wait(Milliseconds time) { std::this_thread::sleep_for(time); }

// A caller that tries a request again and again, each time at another VM.
struct Caller {
    EntryVmHarness& vms_;
    std::string method_ = "POST";
    std::string path_ = "/read/1";
    std::string body_ = crashBody;
    std::size_t nextVm_ = 0;

    int tryOnce()
    {
        std::size_t vm = nextVm_++ % vms_.vmCount();
        return statusOf(vms_.requestAt(vm, method_, path_, headers, body_));
    }

    void tryUntilThirdCrash()
    {
        constexpr int maxTries = 20;
        for (int i = 0; i < maxTries && vms_.targetCrashes() < crashesBeforeSettling; ++i)
            tryOnce();
        CHECK(vms_.targetCrashes() >= crashesBeforeSettling);
    }

    // Returns how often the request reached a target in one try at each VM.
    int runsInOneTryPerVm()
    {
        int before = vms_.targetRequests();
        for (std::size_t i = 0; i < vms_.vmCount(); ++i)
            tryOnce();
        return vms_.targetRequests() - before;
    }
};

void checkRefusedAfterSettling(Caller& caller)
{
    caller.tryUntilThirdCrash();
    wait(settlingTime);
    CHECK(caller.runsInOneTryPerVm() + caller.runsInOneTryPerVm() <= maxLateAttempts);
}

} // namespace

class CrashingRequests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashingRequests);
    CPPUNIT_TEST(requestThatCrashedThreeTargetsIsRefusedByAllVms);
    CPPUNIT_TEST(requestWithoutBodyThatCrashedThreeTargetsIsRefusedByAllVms);
    CPPUNIT_TEST(startedAndRestartedVmsRefuseTheRequest);
    CPPUNIT_TEST(crashesSeenWithoutTheStoreAreKnownToAllVmsOnceItIsBack);
    CPPUNIT_TEST(requestWhoseConnectionsAreResetIsServed);
    CPPUNIT_TEST(brokenOffAnswerOfATargetWithOtherConnectionsIsNoCrash);
    CPPUNIT_TEST(requestThatRanBesideTheCrashingOneIsServed);
    CPPUNIT_TEST(popularRequestIsServedAfterManyTargetsEndAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against VMs that count crashes apart: the request went on to two targets of each VM.
    void requestThatCrashedThreeTargetsIsRefusedByAllVms()
    {
        EntryVmHarness vms(targets(crashOrRespond), true, 6);
        Caller caller { vms };
        checkRefusedAfterSettling(caller);
        std::string answer = vms.requestAt(0, "POST", "/read/1", headers, crashBody);
        CHECK_EQUAL(503, statusOf(answer));
        CHECK(answer.find("Retry-After") != std::string::npos);
        CHECK_EQUAL(200, statusOf(vms.requestAt(0, "POST", "/read/1", headers, "another")));
    }

    // Guards against requests without a body that are never counted.
    void requestWithoutBodyThatCrashedThreeTargetsIsRefusedByAllVms()
    {
        EntryVmHarness vms(targets(crashOrRespond), true, 2);
        Caller caller { vms, "GET", "/read/crash?page=1", "" };
        checkRefusedAfterSettling(caller);
        CHECK_EQUAL(200, statusOf(vms.requestAt(0, "GET", "/read/another", headers)));
    }

    // Guards against crash counts that end with the process that counted them.
    void startedAndRestartedVmsRefuseTheRequest()
    {
        EntryVmHarness vms(targets(crashOrRespond), true, 2);
        Caller caller { vms };
        caller.tryUntilThirdCrash();
        wait(settlingTime);
        for (std::size_t vm = 0; vm < 2; ++vm)
            vms.restartVm(vm);
        for (int i = 0; i < 2; ++i)
            vms.addVm();
        wait(settlingTime);
        CHECK(caller.runsInOneTryPerVm() <= maxLateAttempts);
    }

    // Guards against crash counts that are lost with a failed write.
    void crashesSeenWithoutTheStoreAreKnownToAllVmsOnceItIsBack()
    {
        EntryVmHarness vms(targets(crashOrRespond), true, 6);
        vms.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = true; });
        Caller caller { vms };
        caller.tryUntilThirdCrash();
        wait(settlingTime);
        vms.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = false; });
        wait(settlingTime);
        CHECK(caller.runsInOneTryPerVm() <= maxLateAttempts);
    }

    // Guards against lost connections that count as crashes of targets that go on.
    void requestWhoseConnectionsAreResetIsServed()
    {
        std::atomic<bool> resets { true };
        auto script = [&resets](const HttpHead& head, const std::string&) {
            return resets ? TargetAction { "", true } : TargetAction { stampedResponse(head, "done"), false };
        };
        EntryVmHarness vms(targets(script), true, 2);
        Caller caller { vms, "POST", "/read/1", "innocent" };
        constexpr int tries = 8;
        for (int i = 0; i < tries; ++i) {
            CHECK_EQUAL(502, caller.tryOnce());
            wait(Milliseconds { 100 });
        }
        resets = false;
        wait(settlingTime);
        CHECK_EQUAL(200, caller.tryOnce());
        CHECK_EQUAL(200, caller.tryOnce());
    }

    // Guards against records of crashes, and store calls for them, whenever a target breaks off an answer.
    void brokenOffAnswerOfATargetWithOtherConnectionsIsNoCrash()
    {
        auto script = [](const HttpHead&, const std::string& body) {
            return body == "held" ? TargetAction {} : TargetAction { "", true };
        };
        EntryVmHarness vms({ script }, true, 1);
        RawConnection held(vms.port());
        held.send("POST /read/1 HTTP/1.1\r\nHost: h.example\r\n" + headers + "Content-Length: 4\r\n\r\nheld");
        vms.waitUntil("the held request runs", [&] { return vms.targetRequests() == 1; });
        CHECK_EQUAL(502, statusOf(vms.requestAt(0, "POST", "/call/1", headers, "broken off")));
        wait(Milliseconds { 500 });
        std::map<std::string, std::string> records;
        vms.runOnStore(
            [&](standin::PlatformStore& store) { records = store.newestOfAll("keyed.entry-vms"); });
        CHECK_EQUAL(std::size_t { 1 }, records.size());
        CHECK_EQUAL(std::string("vm-a"), records.begin()->first);
    }

    // Guards against refusing a request for the crashes of another one.
    void requestThatRanBesideTheCrashingOneIsServed()
    {
        std::atomic<bool> holds { true };
        auto script = [&holds](const HttpHead& head, const std::string& body) {
            if (isCrashing(head, body))
                return TargetAction { "", false, true };
            return holds ? TargetAction {} : TargetAction { stampedResponse(head, "done"), false };
        };
        // With one target, the requests cannot avoid each other.
        EntryVmHarness vms({ script }, true, 2);
        Caller crashing { vms };
        constexpr int rounds = 2;
        for (int i = 0; i < rounds; ++i) {
            RawConnection beside(vms.port(0));
            int before = vms.targetRequests();
            beside.send("POST /read/1 HTTP/1.1\r\nHost: h.example\r\n" + headers
                + "Content-Length: 8\r\n\r\ninnocent");
            vms.waitUntil("the request runs", [&] { return vms.targetRequests() > before; });
            vms.requestAt(1, "POST", "/read/1", headers, crashBody);
            // Both VMs have to know its new start; what they answer says less than what reaches the target.
            for (std::size_t vm = 0; vm < 2; ++vm)
                vms.waitUntil("the target is back", [&] {
                    int probesBefore = vms.targetRequests();
                    vms.requestAt(vm, "POST", "/read/1", headers, "probe");
                    return vms.targetRequests() > probesBefore;
                });
        }
        while (vms.targetCrashes() < crashesBeforeSettling + 1 && crashing.nextVm_ < 40) {
            crashing.tryOnce();
            wait(Milliseconds { 200 });
        }
        holds = false;
        wait(settlingTime);
        CHECK_EQUAL(200, statusOf(vms.requestAt(0, "POST", "/read/1", headers, "innocent")));
        CHECK_EQUAL(200, statusOf(vms.requestAt(1, "POST", "/read/1", headers, "innocent")));
    }

    // Guards against refusing content that many callers request since it ran wherever targets ended.
    void popularRequestIsServedAfterManyTargetsEndAtOnce()
    {
        std::atomic<bool> holds { false };
        auto script = [&holds](const HttpHead& head, const std::string&) {
            return holds ? TargetAction {} : TargetAction { stampedResponse(head, "done"), false };
        };
        EntryVmHarness vms(targets(script), true, 2);
        for (std::size_t vm = 0; vm < 2; ++vm)
            CHECK_EQUAL(200, statusOf(vms.requestAt(vm, "GET", "/read/popular", headers)));
        holds = true;
        int before = vms.targetRequests();
        std::vector<std::unique_ptr<RawConnection>> callers;
        for (std::size_t i = 0; i < 2 * targetCount; ++i) {
            callers.push_back(std::make_unique<RawConnection>(vms.port(i % 2)));
            callers.back()->send("GET /read/popular HTTP/1.1\r\nHost: h.example\r\n" + headers + "\r\n");
        }
        vms.waitUntil("the requests run",
            [&] { return vms.targetRequests() == before + 2 * static_cast<int>(targetCount); });
        vms.runOnStore([&vms](standin::PlatformStore&) {
            for (std::size_t i = 0; i < targetCount; ++i)
                vms.target(i).crash();
        });
        holds = false;
        wait(settlingTime);
        for (std::size_t vm = 0; vm < 2; ++vm)
            CHECK_EQUAL(200, statusOf(vms.requestAt(vm, "GET", "/read/popular", headers)));
    }
};

REGISTER_SUITE(CrashingRequests);
