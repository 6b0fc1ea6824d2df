// Guards against content that many callers request alike and that is refused for good, because it was running
// wherever targets ended for another reason.

#include "ProcessTarget.h"
#include "Suite.h"

#include <chrono>
#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t callerCount = 20;
constexpr std::chrono::seconds timeToServe { 20 };
const std::string headers = "Fescuewinch-Request-Id: r1\r\nFescuewinch-Deadline-Ms: 2800\r\n";
// Long enough that a target is killed while it runs the requests.
const std::vector<std::string> slowAnswers { "--gap_ms=700" };

void wait(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

struct Targets {
    EntryVmHarness& vms_;
    std::vector<std::unique_ptr<ProcessTarget>> all_;

    Targets(EntryVmHarness& vms, std::size_t count)
        : vms_(vms)
    {
        for (std::size_t i = 0; i < count; ++i)
            all_.push_back(std::make_unique<ProcessTarget>(vms, "p" + std::to_string(i), slowAnswers));
    }

    void announceAll()
    {
        for (auto& target : all_) {
            if (target->process().isRunning())
                target->announce();
        }
    }

    // Their reports go on all the time.
    void announceFor(int ms)
    {
        constexpr int interval = 200;
        for (int passed = 0; passed < ms; passed += interval) {
            announceAll();
            wait(interval);
        }
    }
};

std::string requestText(const std::string& method, const std::string& path, const std::string& body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends 20 requests with one content, alternately to the VMs.
std::vector<std::unique_ptr<RawConnection>> sendAll(const EntryVmHarness& vms, const std::string& request)
{
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.push_back(std::make_unique<RawConnection>(vms.port(i % vms.vmCount())));
        callers.back()->send(request);
    }
    return callers;
}

// Kills targets while they run requests with one content, and starts them again.
void killUnderLoad(Targets& targets, const std::string& request, bool all, std::size_t round)
{
    auto callers = sendAll(targets.vms_, request);
    wait(300);
    std::vector<ProcessTarget*> killed;
    for (std::size_t i = 0; i < targets.all_.size(); ++i) {
        if (all || i == round % targets.all_.size())
            killed.push_back(targets.all_[i].get());
    }
    for (ProcessTarget* target : killed)
        target->process().signalAndWait(SIGKILL);
    for (ProcessTarget* target : killed)
        target->announce({ "v1", false, false });
    targets.announceFor(1000);
    for (ProcessTarget* target : killed)
        target->restart();
    targets.announceFor(1600);
}

// A caller that is refused at one VM tries another one.
void checkServedWithinSeconds(
    Targets& targets, const std::string& method, const std::string& path, const std::string& body)
{
    auto start = Clock::now();
    std::size_t inARow = 0;
    for (std::size_t vm = 0; inARow < targets.vms_.vmCount() && Clock::now() - start < timeToServe;
         vm = (vm + 1) % targets.vms_.vmCount()) {
        bool isServed = statusOf(targets.vms_.requestAt(vm, method, path, headers, body)) == 200;
        inARow = isServed ? inARow + 1 : 0;
        targets.announceFor(200);
    }
    CHECK_EQUAL(targets.vms_.vmCount(), inARow);
}

void checkServedAfterKills(std::size_t targetCount, int kills, bool all, const std::string& method,
    const std::string& path, const std::string& body)
{
    EntryVmHarness vms({}, true, 2);
    Targets targets(vms, targetCount);
    for (int i = 0; i < kills; ++i)
        killUnderLoad(targets, requestText(method, path, body), all, i);
    checkServedWithinSeconds(targets, "GET", "/read/other", "");
    checkServedWithinSeconds(targets, method, path, body);
}

} // namespace

class SharedContent : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SharedContent);
    CPPUNIT_TEST(contentIsServedAfterThreeEndsOfItsOnlyTarget);
    CPPUNIT_TEST(contentIsServedAfterSixEndsOfItsOnlyTarget);
    CPPUNIT_TEST(contentIsServedAfterEachTargetEndedTwice);
    CPPUNIT_TEST(contentIsServedAfterAllTargetsEndedAtOnceThreeTimes);
    CPPUNIT_TEST(contentWithSmallBodyIsServedAfterAllTargetsEndedAtOnceThreeTimes);
    CPPUNIT_TEST(contentOfManyCallersThatCrashesItsTargetsStaysRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void contentIsServedAfterThreeEndsOfItsOnlyTarget()
    {
        checkServedAfterKills(1, 3, true, "GET", "/read/shared", "");
    }

    void contentIsServedAfterSixEndsOfItsOnlyTarget()
    {
        checkServedAfterKills(1, 6, true, "GET", "/read/shared", "");
    }

    void contentIsServedAfterEachTargetEndedTwice()
    {
        checkServedAfterKills(3, 6, false, "GET", "/read/shared", "");
    }

    void contentIsServedAfterAllTargetsEndedAtOnceThreeTimes()
    {
        checkServedAfterKills(4, 3, true, "GET", "/read/shared", "");
    }

    void contentWithSmallBodyIsServedAfterAllTargetsEndedAtOnceThreeTimes()
    {
        checkServedAfterKills(4, 3, true, "POST", "/call/shared", "1");
    }

    // The platform allows it three runs after it is refused.
    void contentOfManyCallersThatCrashesItsTargetsStaysRefused()
    {
        constexpr int maxLateRuns = 3;
        auto script = [](const HttpHead& head, const std::string& body) {
            return body == "crash" ? TargetAction { "", false, true }
                                   : TargetAction { stampedResponse(head, "done"), false };
        };
        EntryVmHarness vms(std::vector<ScriptedTarget::Script>(8, script), true, 6);
        std::string request = requestText("POST", "/read/1", "crash");
        for (int round = 0; round < 10 && vms.targetCrashes() < 3; ++round) {
            for (auto& caller : sendAll(vms, request))
                caller->readAll();
        }
        CHECK(vms.targetCrashes() >= 3);
        wait(3000);
        int before = vms.targetRequests();
        auto start = Clock::now();
        for (std::size_t vm = 0; Clock::now() - start < timeToServe; vm = (vm + 1) % vms.vmCount()) {
            CHECK(statusOf(vms.requestAt(vm, "POST", "/read/1", headers, "crash")) >= 500);
            wait(50);
        }
        CHECK(vms.targetRequests() - before <= maxLateRuns);
        CHECK_EQUAL(200, statusOf(vms.requestAt(0, "POST", "/read/1", headers, "another")));
    }
};

REGISTER_SUITE(SharedContent);
