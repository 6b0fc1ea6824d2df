// Guards against failed requests at a VM that has lost its links to all targets while other VMs reach them.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

using LinkFault = EntryVmHarness::LinkFault;

TargetAction respond(const HttpHead& request, const std::string& body)
{
    return { stampedResponse(request, "done " + request.target_ + " " + body) };
}

TargetAction stream(const HttpHead& request, const std::string&)
{
    return { stampedHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
        + toChunk("id: 1\ndata: a\n\n") + toChunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" };
}

std::vector<ScriptedTarget::Script> targetsThat(const ScriptedTarget::Script& script)
{
    return { 4, script };
}

// VMs read the addresses of targets every 600 ms.
constexpr Milliseconds noticeTime { 1000 };

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

} // namespace

class LostLinks : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LostLinks);
    CPPUNIT_TEST(requestsGoThroughAnotherVmWhileConnectionsAreRefused);
    CPPUNIT_TEST(requestsGoThroughAnotherVmWhileConnectionsHang);
    CPPUNIT_TEST(streamsAndTurnsGoThroughAnotherVm);
    CPPUNIT_TEST(streamsThatTargetsBreakOffDoNotStopTheRelay);
    CPPUNIT_TEST(callThatRunsOnceRunsOnce);
    CPPUNIT_TEST(lossOfTheRelayingVmLeavesTheOutcomeOfACallUnknown);
    CPPUNIT_TEST(callInFlightAtItsDeadlineIsNotCalledNotRun);
    CPPUNIT_TEST(callersDisconnectReachesTheTarget);
    CPPUNIT_TEST(targetsAreUsedDirectlyOnceLinksAreBack);
    CPPUNIT_TEST(requestsAreRefusedAtOnceWhenNoVmHasLinks);
    CPPUNIT_TEST_SUITE_END();

    static void servesWhileLinksAre(LinkFault fault)
    {
        EntryVmHarness vms(targetsThat(respond), true, 3);
        vms.setLinks(0, fault);
        sleepFor(noticeTime);
        // The first requests find out that there are no links.
        for (int i = 0; i < 3; ++i)
            vms.request("GET", "/read/0", requestHeaders);
        for (int i = 0; i < 20; ++i) {
            MonotonicTime begin = bootNow();
            std::string answer = vms.request("GET", "/read/" + std::to_string(i), requestHeaders);
            CHECK_EQUAL(200, statusOf(answer));
            CHECK(answer.find("done /read/" + std::to_string(i)) != std::string::npos);
            CHECK(answer.find("Fescue-") == std::string::npos);
            CHECK(bootNow() - begin < Milliseconds { 300 });
        }
    }

public:
    void requestsGoThroughAnotherVmWhileConnectionsAreRefused() { servesWhileLinksAre(LinkFault::Refused); }

    void requestsGoThroughAnotherVmWhileConnectionsHang() { servesWhileLinksAre(LinkFault::Hanging); }

    void streamsAndTurnsGoThroughAnotherVm()
    {
        EntryVmHarness vms(targetsThat(stream), true, 3);
        vms.setLinks(0, LinkFault::Refused);
        sleepFor(noticeTime);
        for (int i = 0; i < 8; ++i) {
            std::string answer = vms.request(
                "POST", "/turn/1", requestHeaders + programHeaders("p" + std::to_string(i), "1000"), "x");
            CHECK_EQUAL(200, statusOf(answer));
            CHECK(answer.find("data: b") != std::string::npos);
            CHECK(answer.find("\r\n0\r\n\r\n") != std::string::npos);
        }
    }

    // The other VM is sound: it has passed on what there was of the response.
    void streamsThatTargetsBreakOffDoNotStopTheRelay()
    {
        EntryVmHarness vms(targetsThat([](const HttpHead& request, const std::string&) {
            std::string framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            return TargetAction { stampedHead(request, framing) + toChunk("id: 1\ndata: a\n\n"), true };
        }),
            true, 3);
        vms.setLinks(0, LinkFault::Refused);
        sleepFor(noticeTime);
        constexpr int streams = 8;
        int begun = 0;
        for (int i = 0; i < streams; ++i) {
            std::string answer = vms.request(
                "POST", "/turn/1", requestHeaders + programHeaders("p" + std::to_string(i), "1000"), "x");
            begun += statusOf(answer) == 200 ? 1 : 0;
        }
        CHECK_EQUAL(streams, begun);
    }

    void callThatRunsOnceRunsOnce()
    {
        EntryVmHarness vms(targetsThat(respond), true, 3);
        vms.setLinks(0, LinkFault::Refused);
        sleepFor(noticeTime);
        constexpr int calls = 12;
        for (int i = 0; i < calls; ++i)
            CHECK_EQUAL(200, statusOf(vms.request("POST", "/call/1", requestHeaders, "pay")));
        CHECK_EQUAL(calls, vms.targetRequests());
    }

    void lossOfTheRelayingVmLeavesTheOutcomeOfACallUnknown()
    {
        EntryVmHarness vms(
            targetsThat([](const HttpHead&, const std::string&) { return TargetAction {}; }), true, 2);
        vms.setLinks(0, LinkFault::Refused);
        sleepFor(noticeTime);
        RawConnection caller(vms.port());
        caller.send(
            "POST /call/1 HTTP/1.1\r\nHost: h.example\r\n" + requestHeaders + "Content-Length: 3\r\n\r\npay");
        vms.waitUntil("a target has got the call", [&] { return vms.targetRequests() == 1; });
        vms.process(1).signalAndWait(SIGKILL);
        CHECK_EQUAL(502, statusOf(caller.readUntil("}")));
        CHECK_EQUAL(1, vms.targetRequests());
    }

    // Either VM may see the deadline first.
    void callInFlightAtItsDeadlineIsNotCalledNotRun()
    {
        EntryVmHarness vms(
            targetsThat([](const HttpHead&, const std::string&) { return TargetAction {}; }), true, 2);
        vms.setLinks(0, LinkFault::Refused);
        sleepFor(noticeTime);
        constexpr int calls = 24;
        std::vector<std::thread> callers;
        callers.reserve(calls);
        std::atomic<int> unknown { 0 };
        for (int i = 0; i < calls; ++i) {
            callers.emplace_back([&vms, &unknown, i] {
                std::this_thread::sleep_for(std::chrono::milliseconds(7 * i));
                int status = statusOf(vms.request("POST", "/call/1", requestHeaders, "pay"));
                unknown += status == 502 || status == 504 ? 1 : 0;
            });
        }
        for (std::thread& caller : callers)
            caller.join();
        CHECK_EQUAL(calls, vms.targetRequests());
        CHECK_EQUAL(calls, unknown.load());
    }

    void callersDisconnectReachesTheTarget()
    {
        EntryVmHarness vms(
            targetsThat([](const HttpHead&, const std::string&) { return TargetAction {}; }), true, 2);
        vms.setLinks(0, LinkFault::Refused);
        sleepFor(noticeTime);
        {
            RawConnection caller(vms.port());
            caller.send("GET /read/1 HTTP/1.1\r\nHost: h.example\r\n" + requestHeaders + "\r\n");
            vms.waitUntil("a target has got the request", [&] { return vms.targetRequests() == 1; });
        }
        vms.waitUntil("its connection is closed", [&] {
            int closed = 0;
            for (std::size_t i = 0; i < 4; ++i)
                closed += vms.target(i).closedConnections();
            return closed > 0;
        });
    }

    void targetsAreUsedDirectlyOnceLinksAreBack()
    {
        EntryVmHarness vms(targetsThat(respond), true, 2);
        vms.setLinks(0, LinkFault::Refused);
        sleepFor(noticeTime);
        CHECK_EQUAL(200, statusOf(vms.request("GET", "/read/1", requestHeaders)));
        vms.setLinks(0, LinkFault::None);
        // The VM probes twice a second at least.
        sleepFor(Milliseconds { 1500 });
        vms.process(1).signalAndWait(SIGKILL);
        for (int i = 0; i < 4; ++i)
            CHECK_EQUAL(200, statusOf(vms.request("GET", "/read/1", requestHeaders)));
    }

    void requestsAreRefusedAtOnceWhenNoVmHasLinks()
    {
        EntryVmHarness vms(targetsThat(respond), true, 3);
        for (std::size_t vm = 0; vm < 3; ++vm)
            vms.setLinks(vm, LinkFault::Refused);
        sleepFor(noticeTime);
        for (int i = 0; i < 10; ++i) {
            for (std::size_t vm = 0; vm < 3; ++vm) {
                MonotonicTime begin = bootNow();
                std::string answer = vms.requestAt(vm, "POST", "/call/1", requestHeaders, "pay");
                CHECK_EQUAL(503, statusOf(answer));
                CHECK(answer.find("Retry-After") != std::string::npos);
                CHECK(bootNow() - begin < Milliseconds { 600 });
            }
        }
        CHECK_EQUAL(0, vms.targetRequests());
    }
};

REGISTER_SUITE(LostLinks);
