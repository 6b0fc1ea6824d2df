// The whole path through an entry VM of the platform, as callers, targets and the store see it.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string requestId = "Fescuewinch-Request-Id: r1\r\nFescuewinch-Deadline-Ms: 1200\r\n";

TargetAction answerWhole(const HttpHead& request, const std::string&)
{
    return { stampedResponse(request, "done"), false };
}
TargetAction refuse(const HttpHead& request, const std::string&) { return { targetRefusal(request), false }; }
TargetAction loseAnswer(const HttpHead&, const std::string&) { return { "", true }; }
TargetAction saySomethingElse(const HttpHead&, const std::string&) { return { "nonsense\r\n\r\n", true }; }

std::string streamHead(const HttpHead& request)
{
    const std::string* id = findHeader(request, "Fescuewinch-Request-Id");
    return "HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: " + (id ? *id : "")
        + "\r\nFescuewinch-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string twoEvents = "c\r\nid: 1\ndata\n\n\r\nc\r\nid: 2\ndata\n\n\r\n";

TargetAction stream(const HttpHead& request, const std::string&)
{
    return { streamHead(request) + twoEvents + "0\r\n\r\n", false };
}
TargetAction tornStream(const HttpHead& request, const std::string&)
{
    return { streamHead(request) + twoEvents, true };
}
TargetAction hold(const HttpHead&, const std::string&) { return {}; }

std::string turnHeaders(const std::string& program, const std::string& budget)
{
    return requestId + "Fescuewinch-Program-Id: " + program + "\r\nFescuewinch-Token-Budget: " + budget
        + "\r\nFescuewinch-Token-Count: 100,300\r\n";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class EntryVmPath : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryVmPath);
    CPPUNIT_TEST(withoutConfigurationItRefusesAndIsNotReady);
    CPPUNIT_TEST(requestIsForwardedWithWhatTheTargetNeeds);
    CPPUNIT_TEST(unknownRouteIsNotFound);
    CPPUNIT_TEST(lostAnswerOfAnAtMostOnceCallIsNotSentAgain);
    CPPUNIT_TEST(lostAnswerOfARepeatableCallComesFromAnotherTarget);
    CPPUNIT_TEST(repeatableCallIsSentNoMoreOftenThanItsRouteAllows);
    CPPUNIT_TEST(refusedCallIsToldWhenToComeBack);
    CPPUNIT_TEST(answerForAnotherRequestIsReadPast);
    CPPUNIT_TEST(lateExtraAnswerReachesNobody);
    CPPUNIT_TEST(answerThatIsNotTheTargetsOwnIsNotPassedOn);
    CPPUNIT_TEST(streamIsWholeAndATornOneIsNot);
    CPPUNIT_TEST(budgetEndsAProgram);
    CPPUNIT_TEST(budgetOutlivesTheProcess);
    CPPUNIT_TEST(lostStoreRefusesNewProgramsAndServesTheRest);
    CPPUNIT_TEST(callerGoneCancelsTheTargetsWork);
    CPPUNIT_TEST(ambiguousFramingIsRefusedAndForwardedNowhere);
    CPPUNIT_TEST(drainFinishesWhatItHas);
    CPPUNIT_TEST(reloadCutsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void withoutConfigurationItRefusesAndIsNotReady()
    {
        EntryVmHarness vm({ answerWhole }, false);
        vm.waitUntil("it listens", [&] { return vm.readinessStatus() == 503; });
        std::string answer = vm.request("GET", "/read/1", requestId);
        CHECK_EQUAL(503, statusOf(answer));
        CHECK(contains(answer, "Retry-After"));
    }

    void requestIsForwardedWithWhatTheTargetNeeds()
    {
        HttpHead seen;
        std::string body;
        EntryVmHarness vm({ [&](const HttpHead& head, const std::string& sent) {
            seen = head;
            body = sent;
            return answerWhole(head, sent);
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

    void unknownRouteIsNotFound()
    {
        EntryVmHarness vm({ answerWhole });
        CHECK_EQUAL(404, statusOf(vm.request("GET", "/nowhere/", requestId)));
    }

    void lostAnswerOfAnAtMostOnceCallIsNotSentAgain()
    {
        EntryVmHarness vm({ loseAnswer, loseAnswer });
        CHECK_EQUAL(502, statusOf(vm.request("POST", "/call/1", requestId, "pay")));
        CHECK_EQUAL(1, vm.target(0).requests() + vm.target(1).requests());
    }

    void lostAnswerOfARepeatableCallComesFromAnotherTarget()
    {
        std::atomic<int> sent { 0 };
        auto loseFirst = [&sent](const HttpHead& head, const std::string& body) {
            return ++sent == 1 ? loseAnswer(head, body) : answerWhole(head, body);
        };
        EntryVmHarness vm({ loseFirst, loseFirst });
        CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestId)));
        CHECK_EQUAL(2, sent.load());
    }

    void repeatableCallIsSentNoMoreOftenThanItsRouteAllows()
    {
        std::atomic<bool> loses { false };
        auto script = [&loses](const HttpHead& head, const std::string& body) {
            return loses ? loseAnswer(head, body) : answerWhole(head, body);
        };
        EntryVmHarness vm({ script, script });
        // Connections to both targets are kept, and the next request ends each of them without an answer.
        for (int i = 0; i < 8; ++i)
            CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestId)));
        int before = vm.target(0).requests() + vm.target(1).requests();
        loses = true;
        CHECK_EQUAL(502, statusOf(vm.request("GET", "/read/1", requestId)));
        CHECK_EQUAL(before + 2, vm.target(0).requests() + vm.target(1).requests());
    }

    void refusedCallIsToldWhenToComeBack()
    {
        EntryVmHarness vm({ refuse, refuse });
        std::string answer = vm.request("POST", "/call/1", requestId, "pay");
        CHECK_EQUAL(503, statusOf(answer));
        CHECK(contains(answer, "Retry-After") && contains(answer, "not-run"));
    }

    void answerForAnotherRequestIsReadPast()
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

    void lateExtraAnswerReachesNobody()
    {
        EntryVmHarness vm({ [](const HttpHead& head, const std::string&) {
            return TargetAction { stampedResponse(head, "first") + stampedResponse(head, "extra"), false };
        } });
        for (int i = 0; i < 3; ++i)
            CHECK(contains(vm.request("GET", "/read/1", requestId), "\r\n\r\nfirst"));
    }

    void answerThatIsNotTheTargetsOwnIsNotPassedOn()
    {
        EntryVmHarness plain({ [](const HttpHead&, const std::string&) {
            return TargetAction { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false };
        } });
        CHECK_EQUAL(502, statusOf(plain.request("POST", "/call/1", requestId, "pay")));
        EntryVmHarness garbled({ saySomethingElse });
        CHECK_EQUAL(502, statusOf(garbled.request("POST", "/call/1", requestId, "pay")));
    }

    void streamIsWholeAndATornOneIsNot()
    {
        EntryVmHarness whole({ stream });
        std::string answer = whole.request("POST", "/turn/1", turnHeaders("p1", "3000"), "prompt");
        CHECK_EQUAL(200, statusOf(answer));
        CHECK(contains(answer, "id: 2") && contains(answer, "\r\n0\r\n\r\n"));
        EntryVmHarness torn({ tornStream });
        CHECK(
            !contains(torn.request("POST", "/turn/1", turnHeaders("p1", "3000"), "prompt"), "\r\n0\r\n\r\n"));
    }

    void budgetEndsAProgram()
    {
        EntryVmHarness vm({ stream });
        // Each turn makes two events of 100 tokens and may make 300.
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(402, statusOf(vm.request("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("p2", "600"), "prompt")));
        CHECK_EQUAL(3, vm.target(0).requests());
    }

    void budgetOutlivesTheProcess()
    {
        EntryVmHarness vm({ stream });
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        std::map<std::string, std::string> claims;
        vm.onStore([&](standin::PlatformStore& store) { claims = store.newestOfAll("keyed.budget-"); });
        CHECK_EQUAL(std::size_t { 1 }, claims.size());
        CHECK_EQUAL(std::size_t { 0 }, claims.begin()->first.find("p1|vm-a#"));
    }

    void lostStoreRefusesNewProgramsAndServesTheRest()
    {
        EntryVmHarness vm({ [](const HttpHead& head, const std::string& body) {
            return head.target_.rfind("/turn/", 0) == 0 ? stream(head, body) : answerWhole(head, body);
        } });
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("old", "3000"), "prompt")));
        vm.onStore([](standin::PlatformStore& store) { store.faults().isDown_ = true; });
        vm.waitUntil("it is not ready", [&] { return vm.readinessStatus() == 503; });
        std::string refused = vm.request("POST", "/turn/1", turnHeaders("new", "3000"), "prompt");
        CHECK_EQUAL(503, statusOf(refused));
        CHECK(contains(refused, "Retry-After"));
        CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", turnHeaders("old", "3000"), "prompt")));
        CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestId)));
        vm.onStore([](standin::PlatformStore& store) { store.faults().isDown_ = false; });
        vm.waitUntil("it is ready again", [&] { return vm.readinessStatus() == 200; });
    }

    void callerGoneCancelsTheTargetsWork()
    {
        EntryVmHarness vm({ hold });
        {
            RawConnection caller(vm.port());
            caller.send("GET /read/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId + "\r\n");
            vm.waitUntil("the target has it", [&] { return vm.target(0).requests() == 1; });
        }
        vm.waitUntil("the target is told", [&] { return vm.target(0).closedConnections() == 1; });
    }

    void ambiguousFramingIsRefusedAndForwardedNowhere()
    {
        EntryVmHarness vm({ answerWhole });
        RawConnection caller(vm.port());
        caller.send("POST /call/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId
            + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/2 HTTP/1.1\r\n\r\n");
        CHECK_EQUAL(400, statusOf(caller.readAll()));
        CHECK_EQUAL(0, vm.target(0).requests());
    }

    void drainFinishesWhatItHas()
    {
        EntryVmHarness vm({ answerWhole });
        RawConnection kept(vm.port());
        std::string request = "GET /read/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId + "\r\n";
        kept.send(request);
        CHECK(contains(kept.readUntil("done"), "200 OK"));
        vm.process().signal(SIGTERM);
        vm.waitUntil("it is not ready", [&] { return vm.readinessStatus() == 503; });
        kept.send(request);
        std::string last = kept.readAll();
        CHECK_EQUAL(200, statusOf(last));
        CHECK(contains(last, "Connection: close"));
        CHECK_EQUAL(0, vm.process().end(SIGTERM));
    }

    void reloadCutsNothing()
    {
        EntryVmHarness vm({ answerWhole });
        for (int i = 0; i < 3; ++i) {
            vm.process().signal(SIGHUP);
            CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestId)));
        }
    }
};

REGISTER_SUITE(EntryVmPath);
