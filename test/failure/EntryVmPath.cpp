// Requests through an entry VM process: routing, retries, budgets, drain and reload, observed by callers,
// targets and the store.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string requestId = "Fescuewinch-Request-Id: r1\r\nFescuewinch-Deadline-Ms: 1200\r\n";

TargetAction respondOk(const HttpHead& request, const std::string&)
{
    return { stampedResponse(request, "done"), false };
}
TargetAction refuse(const HttpHead& request, const std::string&) { return { targetRefusal(request), false }; }
TargetAction dropResponse(const HttpHead&, const std::string&) { return { "", true }; }
TargetAction sendGarbage(const HttpHead&, const std::string&) { return { "nonsense\r\n\r\n", true }; }

std::string streamHead(const HttpHead& request)
{
    return stampedHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
}

const std::string twoEvents = "c\r\nid: 1\ndata\n\n\r\nc\r\nid: 2\ndata\n\n\r\n";

TargetAction stream(const HttpHead& request, const std::string&)
{
    return { streamHead(request) + twoEvents + "0\r\n\r\n", false };
}
TargetAction truncatedStream(const HttpHead& request, const std::string&)
{
    return { streamHead(request) + twoEvents, true };
}
TargetAction hold(const HttpHead&, const std::string&) { return {}; }

std::string turnHeaders(const std::string& program, const std::string& budget)
{
    return requestId + programHeaders(program, budget);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class EntryVmPath : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryVmPath);
    CPPUNIT_TEST(vmWithoutConfigurationIsNotReadyAndRefusesRequests);
    CPPUNIT_TEST(requestIsForwardedWithTheHeadersOfTheTarget);
    CPPUNIT_TEST(unknownRouteGetsNotFound);
    CPPUNIT_TEST(atMostOnceCallIsNotRetriedAfterALostResponse);
    CPPUNIT_TEST(repeatableCallIsRetriedAtAnotherTargetAfterALostResponse);
    CPPUNIT_TEST(repeatableCallIsRetriedOnlyUpToTheLimitOfItsRoute);
    CPPUNIT_TEST(refusedCallGetsRetryAfter);
    CPPUNIT_TEST(requestIsNotSentAgainToAnAddressOfAnotherTarget);
    CPPUNIT_TEST(responseToAnotherRequestIsSkipped);
    CPPUNIT_TEST(extraResponseIsDiscarded);
    CPPUNIT_TEST(unstampedOrMalformedResponseIsNotForwarded);
    CPPUNIT_TEST(truncatedStreamIsNotPassedOnAsComplete);
    CPPUNIT_TEST(turnsBeyondTheBudgetAreRefused);
    CPPUNIT_TEST(budgetClaimIsWrittenToTheStore);
    CPPUNIT_TEST(storeOutageStopsOnlyNewPrograms);
    CPPUNIT_TEST(callerDisconnectCancelsTheRequestAtTheTarget);
    CPPUNIT_TEST(ambiguousFramingIsRejectedAndNotForwarded);
    CPPUNIT_TEST(drainServesOpenConnectionsToTheEnd);
    CPPUNIT_TEST(reloadDoesNotInterruptRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void vmWithoutConfigurationIsNotReadyAndRefusesRequests()
    {
        EntryVmHarness vm({ respondOk }, false);
        vm.waitUntil("the VM listens", [&] { return vm.readinessStatus() == 503; });
        std::string answer = vm.request("GET", "/read/1", requestId);
        CHECK_EQUAL(503, statusOf(answer));
        CHECK(contains(answer, "Retry-After"));
    }

    void requestIsForwardedWithTheHeadersOfTheTarget()
    {
        HttpHead seen;
        std::string body;
        EntryVmHarness vm({ [&](const HttpHead& head, const std::string& sent) {
            seen = head;
            body = sent;
            return respondOk(head, sent);
        } });
        std::string answer = vm.request("POST", "/call/x?y=1", requestId + "Kv-From: x\r\n", "payload");
        CHECK_EQUAL(200, statusOf(answer));
        CHECK(contains(answer, "Fescuewinch-Response-Stamp: stamp") && contains(answer, "\r\n\r\ndone"));
        CHECK_EQUAL(std::string("/call/x?y=1"), seen.target_);
        CHECK_EQUAL(std::string("payload"), body);
        CHECK_EQUAL(std::string("i-app-0"), *findHeader(seen, "Fescuewinch-Expect-Instance"));
        CHECK(std::stoi(*findHeader(seen, "Fescuewinch-Deadline-Ms")) <= 1200);
        CHECK(!findHeader(seen, "Kv-From"));
    }

    void unknownRouteGetsNotFound()
    {
        EntryVmHarness vm({ respondOk });
        CHECK_EQUAL(404, statusOf(vm.request("GET", "/nowhere/", requestId)));
    }

    void atMostOnceCallIsNotRetriedAfterALostResponse()
    {
        EntryVmHarness vm({ dropResponse, dropResponse });
        CHECK_EQUAL(502, statusOf(vm.request("POST", "/call/1", requestId, "pay")));
        CHECK_EQUAL(1, vm.target(0).requests() + vm.target(1).requests());
    }

    void repeatableCallIsRetriedAtAnotherTargetAfterALostResponse()
    {
        std::atomic<int> sent { 0 };
        auto dropFirst = [&sent](const HttpHead& head, const std::string& body) {
            return ++sent == 1 ? dropResponse(head, body) : respondOk(head, body);
        };
        EntryVmHarness vm({ dropFirst, dropFirst });
        CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestId)));
        CHECK_EQUAL(2, sent.load());
    }

    void repeatableCallIsRetriedOnlyUpToTheLimitOfItsRoute()
    {
        std::atomic<bool> dropsResponses { false };
        auto script = [&dropsResponses](const HttpHead& head, const std::string& body) {
            return dropsResponses ? dropResponse(head, body) : respondOk(head, body);
        };
        EntryVmHarness vm({ script, script });
        // The VM keeps connections to both targets, and each of them closes without a response to the next
        // request.
        for (int i = 0; i < 8; ++i)
            CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestId)));
        int before = vm.target(0).requests() + vm.target(1).requests();
        dropsResponses = true;
        CHECK_EQUAL(502, statusOf(vm.request("GET", "/read/1", requestId)));
        CHECK_EQUAL(before + 2, vm.target(0).requests() + vm.target(1).requests());
    }

    void refusedCallGetsRetryAfter()
    {
        EntryVmHarness vm({ refuse, refuse });
        std::string answer = vm.request("POST", "/call/1", requestId, "pay");
        CHECK_EQUAL(503, statusOf(answer));
        CHECK(contains(answer, "Retry-After") && contains(answer, "not-run"));
    }

    // Guards against a request that is refused by the new target at an address until its sends are used up.
    void requestIsNotSentAgainToAnAddressOfAnotherTarget()
    {
        auto misdirected = [](const HttpHead&, const std::string&) {
            return TargetAction { "HTTP/1.1 421 Misdirected Request\r\nFescuewinch-Instance-Id: i-new\r\n"
                                  "Content-Length: 0\r\n\r\n" };
        };
        EntryVmHarness vm({ misdirected, respondOk });
        for (int i = 0; i < 8; ++i) {
            int before = vm.target(0).requests();
            CHECK_EQUAL(200, statusOf(vm.request("POST", "/call/1", requestId, "pay")));
            CHECK(vm.target(0).requests() <= before + 1);
        }
        EntryVmHarness alone({ misdirected });
        CHECK_EQUAL(503, statusOf(alone.request("POST", "/call/1", requestId, "pay")));
        CHECK_EQUAL(1, alone.target(0).requests());
    }

    void responseToAnotherRequestIsSkipped()
    {
        EntryVmHarness vm({ [](const HttpHead& head, const std::string&) {
            HttpHead other;
            other.headers_ = { { "Fescuewinch-Request-Id", "someone-else" } };
            return TargetAction { stampedResponse(other, "not yours") + stampedResponse(head, "yours"),
                false };
        } });
        std::string answer = vm.request("POST", "/call/1", requestId, "pay");
        CHECK_EQUAL(200, statusOf(answer));
        CHECK(contains(answer, "\r\n\r\nyours"));
    }

    void extraResponseIsDiscarded()
    {
        EntryVmHarness vm({ [](const HttpHead& head, const std::string&) {
            return TargetAction { stampedResponse(head, "first") + stampedResponse(head, "extra"), false };
        } });
        for (int i = 0; i < 3; ++i)
            CHECK(contains(vm.request("GET", "/read/1", requestId), "\r\n\r\nfirst"));
    }

    void unstampedOrMalformedResponseIsNotForwarded()
    {
        EntryVmHarness plain({ [](const HttpHead&, const std::string&) {
            return TargetAction { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false };
        } });
        CHECK_EQUAL(502, statusOf(plain.request("POST", "/call/1", requestId, "pay")));
        EntryVmHarness garbled({ sendGarbage });
        CHECK_EQUAL(502, statusOf(garbled.request("POST", "/call/1", requestId, "pay")));
    }

    void truncatedStreamIsNotPassedOnAsComplete()
    {
        EntryVmHarness whole({ stream });
        std::string answer = whole.request("POST", "/turn/1", turnHeaders("p1", "3000"), "prompt");
        CHECK_EQUAL(200, statusOf(answer));
        CHECK(contains(answer, "id: 2") && contains(answer, "\r\n0\r\n\r\n"));
        EntryVmHarness truncated({ truncatedStream });
        CHECK(!contains(
            truncated.request("POST", "/turn/1", turnHeaders("p1", "3000"), "prompt"), "\r\n0\r\n\r\n"));
    }

    void turnsBeyondTheBudgetAreRefused()
    {
        EntryVmHarness vm({ stream });
        // Each turn generates two events of 100 tokens and reserves up to 300 tokens.
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(402, statusOf(vm.request("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("p2", "600"), "prompt")));
        CHECK_EQUAL(3, vm.target(0).requests());
    }

    void budgetClaimIsWrittenToTheStore()
    {
        EntryVmHarness vm({ stream });
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        std::map<std::string, std::string> claims;
        vm.runOnStore([&](standin::PlatformStore& store) { claims = store.newestOfAll("keyed.budget-"); });
        CHECK_EQUAL(std::size_t { 1 }, claims.size());
        CHECK_EQUAL(std::size_t { 0 }, claims.begin()->first.find("p1|vm-a#"));
    }

    void storeOutageStopsOnlyNewPrograms()
    {
        EntryVmHarness vm({ [](const HttpHead& head, const std::string& body) {
            return head.target_.rfind("/turn/", 0) == 0 ? stream(head, body) : respondOk(head, body);
        } });
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("old", "3000"), "prompt")));
        vm.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = true; });
        vm.waitUntil("the VM is not ready", [&] { return vm.readinessStatus() == 503; });
        std::string refused = vm.request("POST", "/turn/1", turnHeaders("new", "3000"), "prompt");
        CHECK_EQUAL(503, statusOf(refused));
        CHECK(contains(refused, "Retry-After"));
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("old", "3000"), "prompt")));
        CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestId)));
        vm.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = false; });
        vm.waitUntil("the VM is ready again", [&] { return vm.readinessStatus() == 200; });
    }

    void callerDisconnectCancelsTheRequestAtTheTarget()
    {
        EntryVmHarness vm({ hold });
        {
            RawConnection caller(vm.port());
            caller.send("GET /read/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId + "\r\n");
            vm.waitUntil("the target has received the request", [&] { return vm.target(0).requests() == 1; });
        }
        vm.waitUntil(
            "the connection to the target is closed", [&] { return vm.target(0).closedConnections() == 1; });
    }

    void ambiguousFramingIsRejectedAndNotForwarded()
    {
        EntryVmHarness vm({ respondOk });
        RawConnection caller(vm.port());
        caller.send("POST /call/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId
            + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/2 HTTP/1.1\r\n\r\n");
        CHECK_EQUAL(400, statusOf(caller.readAll()));
        CHECK_EQUAL(0, vm.target(0).requests());
    }

    void drainServesOpenConnectionsToTheEnd()
    {
        EntryVmHarness vm({ respondOk });
        RawConnection kept(vm.port());
        std::string request = "GET /read/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId + "\r\n";
        kept.send(request);
        CHECK(contains(kept.readUntil("done"), "200 OK"));
        vm.process().signal(SIGTERM);
        vm.waitUntil("the VM is not ready", [&] { return vm.readinessStatus() == 503; });
        kept.send(request);
        std::string last = kept.readAll();
        CHECK_EQUAL(200, statusOf(last));
        CHECK(contains(last, "Connection: close"));
        CHECK_EQUAL(0, vm.process().signalAndWait(SIGTERM));
    }

    void reloadDoesNotInterruptRequests()
    {
        EntryVmHarness vm({ respondOk });
        for (int i = 0; i < 3; ++i) {
            vm.process().signal(SIGHUP);
            CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestId)));
        }
    }
};

REGISTER_SUITE(EntryVmPath);
