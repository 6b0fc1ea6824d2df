// Guards against a crowd of callers that keeps the event loop of a VM from answering the platform's readiness
// checks, ordinary callers and other VMs, and from following the store.

#include "BootClock.h"
#include "BusyCallers.h"
#include "EntryVmHarness.h"
#include "LoneVm.h"
#include "Suite.h"

#include <cstdio>
#include <fmt/format.h>
#include <optional>

using namespace fescue;
using namespace fescue::test;

namespace {

// The platform asks once per second, and a VM that has not answered by the next question has missed one.
constexpr Milliseconds readinessTimeout { 1000 };
// The shortest deadline that callers set.
constexpr Milliseconds callerTimeout { 1200 };
// `drain-ms` in the VM's settings, from when the store has the target's change.
constexpr Milliseconds drainTime { 2000 };
constexpr Milliseconds watchTime { 3000 };
constexpr Milliseconds askInterval { 100 };

// VMs read the addresses of targets every 600 ms.
constexpr Milliseconds noticeTime { 1000 };

constexpr VmLimits limits { 260, 8200, 4 << 20 };

std::string requestFor(const std::string& path, const std::string& headers = {})
{
    return fmt::format(
        "GET {} HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n{}\r\n", path, headers);
}

TargetAction answerOk(const HttpHead& request, const std::string&)
{
    return TargetAction { stampedResponse(request, "ok") };
}

// Requests of one kind to a VM that has a crowd, each on a connection of its own.
//
// When a crowd connects faster than any process accepts, the kernel drops opening packets, which come again
// after a second, and at the port of the crowd itself a place lasts for milliseconds. The platform takes a VM
// out after two misses, so one of these fails if the next one does, too.
struct Asked {
    bool mayBeRefused_ = false; ///< With a time to come back.
    int status_ = 200;
    int failed_ = 0;
    int missed_ = 0; ///< One at a time.
    bool wasMissed_ = false; ///< The last one was.
    bool mayMissOne_ = false; ///< Also one that was connected.
    Milliseconds slowest_ { 0 }; ///< Of those that were answered.

    void ask(int port, const std::string& path, Milliseconds timeout)
    {
        MonotonicTime begin = bootNow();
        auto [isConnectedAtOnce, answer]
            = exchangeWithin(timeout, port, requestFor(path, "Connection: close\r\n"));
        bool isRefused = statusOf(answer) == 503 && answer.find("Retry-After: ") != std::string::npos;
        bool isServed = statusOf(answer) == status_ || (mayBeRefused_ && isRefused);
        bool wasMissed = std::exchange(wasMissed_, !isServed);
        if (isServed) {
            slowest_ = std::max(slowest_, bootNow() - begin);
        } else if (!wasMissed && (mayMissOne_ || !isConnectedAtOnce)) {
            ++missed_;
        } else {
            ++failed_;
            std::printf("%s: status %d after %ld ms\n", path.c_str(), statusOf(answer),
                static_cast<long>((bootNow() - begin).count()));
        }
    }
};

struct Watch {
    Asked readiness_;
    Asked requests_ { true };
    Asked relayed_ { true };

    void print(const BusyCallers& crowd) const
    {
        for (const auto& [name, asked] : { std::pair("readiness", readiness_),
                 std::pair("request", requests_), std::pair("relayed", relayed_) })
            std::printf("%s: %d failed, %d missed, the slowest took %ld ms\n", name, asked.failed_,
                asked.missed_, static_cast<long>(asked.slowest_.count()));
        std::printf("crowd: %lu connections, %lu KB\n", static_cast<unsigned long>(crowd.connections()),
            static_cast<unsigned long>(crowd.bytesSent() / 1024));
    }
};

} // namespace

class CrowdedLoop : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrowdedLoop);
    CPPUNIT_TEST(fewCallersThatSendAhead);
    CPPUNIT_TEST(manyCallersThatSendAhead);
    CPPUNIT_TEST(moreCallersThatSendAheadThanThereIsRoomFor);
    CPPUNIT_TEST(callersThatConnectAgainAndAgain);
    CPPUNIT_TEST(callersThatSendAheadToTargets);
    CPPUNIT_TEST(callersThatSendAheadTurnsOfOneProgram);
    CPPUNIT_TEST(peersThatSendAhead);
    CPPUNIT_TEST(peersThatConnectAgainAndAgain);
    CPPUNIT_TEST(readinessChecksSentAhead);
    CPPUNIT_TEST(readinessChecksThatConnectAgainAndAgain);
    CPPUNIT_TEST(metricsRequestsSentAhead);
    CPPUNIT_TEST_SUITE_END();

    // The first VM has the crowd. The second one has lost its links, so it reaches targets through the first.
    static void loseLinks(EntryVmHarness& vms)
    {
        vms.setLinks(1, EntryVmHarness::LinkFault::Refused);
        std::this_thread::sleep_for(noticeTime);
        // The first requests find out that there are no links.
        for (int i = 0; i < 3; ++i)
            vms.requestAt(1, "GET", "/read/a", requestHeaders);
    }

    // While a target leaves, which the first VM has to notice by the end of `drain-ms`.
    static void withstand(int (EntryVmHarness::*portOf)(std::size_t) const, std::size_t callers,
        CallerHabit habit, const std::string& request)
    {
        EntryVmHarness vms(std::vector<ScriptedTarget::Script>(4, answerOk), true, 2, limits);
        loseLinks(vms);
        BusyCallers crowd((vms.*portOf)(0), callers, habit, request);
        vms.announce(0, { "v1", true });
        Watch watch;
        watch.readiness_.mayMissOne_ = portOf == &EntryVmHarness::readinessPort;
        std::optional<int> requestsOfLeaving;
        MonotonicTime begin = bootNow();
        while (bootNow() < begin + watchTime) {
            watch.readiness_.ask(vms.readinessPort(), "/readyz", readinessTimeout);
            watch.requests_.ask(vms.port(), "/read/ordinary", callerTimeout);
            watch.relayed_.ask(vms.port(1), "/read/relayed", callerTimeout);
            std::this_thread::sleep_for(askInterval);
            if (!requestsOfLeaving && bootNow() > begin + drainTime)
                requestsOfLeaving = vms.target(0).requests();
        }
        watch.print(crowd);
        CHECK(!vms.process().tryReap());
        CHECK_EQUAL(0, watch.readiness_.failed_);
        CHECK_EQUAL(0, watch.requests_.failed_);
        CHECK_EQUAL(0, watch.relayed_.failed_);
        CHECK(requestsOfLeaving.has_value());
        CHECK_EQUAL(*requestsOfLeaving, vms.target(0).requests());
    }

public:
    void fewCallersThatSendAhead()
    {
        withstand(&EntryVmHarness::port, 200, CallerHabit::SendAhead, requestFor("/absent"));
    }

    void manyCallersThatSendAhead()
    {
        withstand(&EntryVmHarness::port, 1000, CallerHabit::SendAhead, requestFor("/absent"));
    }

    void moreCallersThatSendAheadThanThereIsRoomFor()
    {
        withstand(&EntryVmHarness::port, 4000, CallerHabit::SendAhead, requestFor("/absent"));
    }

    void callersThatConnectAgainAndAgain()
    {
        withstand(&EntryVmHarness::port, 200, CallerHabit::Reconnect, requestFor("/absent"));
    }

    void callersThatSendAheadToTargets()
    {
        withstand(&EntryVmHarness::port, 200, CallerHabit::SendAhead, requestFor("/read/crowd"));
    }

    // The end of each turn that is refused grants the next one.
    void callersThatSendAheadTurnsOfOneProgram()
    {
        std::string turn = requestFor("/turn/x", programHeaders("p", "100000"));
        withstand(&EntryVmHarness::port, 1000, CallerHabit::SendAhead, turn);
    }

    void peersThatSendAhead()
    {
        withstand(&EntryVmHarness::peerPort, 1000, CallerHabit::SendAhead, requestFor("/vm/absent"));
    }

    void peersThatConnectAgainAndAgain()
    {
        withstand(&EntryVmHarness::peerPort, 200, CallerHabit::Reconnect, requestFor("/vm/absent"));
    }

    void readinessChecksSentAhead()
    {
        withstand(&EntryVmHarness::readinessPort, 1000, CallerHabit::SendAhead, requestFor("/readyz"));
    }

    void readinessChecksThatConnectAgainAndAgain()
    {
        withstand(&EntryVmHarness::readinessPort, 200, CallerHabit::Reconnect, requestFor("/readyz"));
    }

    // A VM without a store is not ready, and says so in time.
    void metricsRequestsSentAhead()
    {
        LoneVm vm(findFreeAddresses());
        vm.start();
        CHECK(vm.waitUntilServing());
        BusyCallers callers(vm.addresses().callerPort_, 1000, CallerHabit::SendAhead, requestFor("/absent"));
        BusyCallers crowd(vm.addresses().metricsPort_, 1000, CallerHabit::SendAhead, requestFor("/metrics"));
        Watch watch;
        watch.readiness_.status_ = 503;
        MonotonicTime end = bootNow() + watchTime;
        while (bootNow() < end) {
            watch.readiness_.ask(vm.addresses().readyPort_, "/readyz", readinessTimeout);
            std::this_thread::sleep_for(askInterval);
        }
        watch.print(crowd);
        CHECK(vm.isRunning());
        CHECK_EQUAL(0, watch.readiness_.failed_);
    }
};

REGISTER_SUITE(CrowdedLoop);
