// The whole path through an entry VM of the platform, as callers, targets and the store see it.

#include "EntryWorld.h"
#include "Suite.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string requestId = "Fescuewinch-Request-Id: r1\r\nFescuewinch-Deadline-Ms: 1200\r\n";

TargetAct answerWhole(const HttpHead& request, const std::string&)
{
    return { stampedAnswer(request, "done"), false };
}
TargetAct refuse(const HttpHead& request, const std::string&) { return { refusalOfTarget(request), false }; }
TargetAct loseAnswer(const HttpHead&, const std::string&) { return { "", true }; }
TargetAct saySomethingElse(const HttpHead&, const std::string&) { return { "nonsense\r\n\r\n", true }; }

std::string streamHead(const HttpHead& request)
{
    const std::string* id = findHeader(request, "Fescuewinch-Request-Id");
    return "HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: " + (id ? *id : "")
        + "\r\nFescuewinch-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string twoEvents = "c\r\nid: 1\ndata\n\n\r\nc\r\nid: 2\ndata\n\n\r\n";

TargetAct stream(const HttpHead& request, const std::string&)
{
    return { streamHead(request) + twoEvents + "0\r\n\r\n", false };
}
TargetAct tornStream(const HttpHead& request, const std::string&)
{
    return { streamHead(request) + twoEvents, true };
}
TargetAct hold(const HttpHead&, const std::string&) { return {}; }

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
        EntryWorld world({ answerWhole }, false);
        world.waitUntil("it listens", [&] { return world.readiness() == 503; });
        std::string answer = world.ask("GET", "/read/1", requestId);
        CHECK_EQUAL(503, statusOf(answer));
        CHECK(contains(answer, "Retry-After"));
    }

    void requestIsForwardedWithWhatTheTargetNeeds()
    {
        HttpHead seen;
        std::string body;
        EntryWorld world({ [&](const HttpHead& head, const std::string& sent) {
            seen = head;
            body = sent;
            return answerWhole(head, sent);
        } });
        std::string answer = world.ask("POST", "/call/x?y=1", requestId + "Kv-From: x\r\n", "payload");
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
        EntryWorld world({ answerWhole });
        CHECK_EQUAL(404, statusOf(world.ask("GET", "/nowhere/", requestId)));
    }

    void lostAnswerOfAnAtMostOnceCallIsNotSentAgain()
    {
        EntryWorld world({ loseAnswer, loseAnswer });
        CHECK_EQUAL(502, statusOf(world.ask("POST", "/call/1", requestId, "pay")));
        CHECK_EQUAL(1, world.target(0).requests() + world.target(1).requests());
    }

    void lostAnswerOfARepeatableCallComesFromAnotherTarget()
    {
        std::atomic<int> sent { 0 };
        auto loseFirst = [&sent](const HttpHead& head, const std::string& body) {
            return ++sent == 1 ? loseAnswer(head, body) : answerWhole(head, body);
        };
        EntryWorld world({ loseFirst, loseFirst });
        CHECK_EQUAL(200, statusOf(world.ask("GET", "/read/1", requestId)));
        CHECK_EQUAL(2, sent.load());
    }

    void repeatableCallIsSentNoMoreOftenThanItsRouteAllows()
    {
        std::atomic<bool> loses { false };
        auto script = [&loses](const HttpHead& head, const std::string& body) {
            return loses ? loseAnswer(head, body) : answerWhole(head, body);
        };
        EntryWorld world({ script, script });
        // Connections to both targets are kept, and the next request ends each of them without an answer.
        for (int i = 0; i < 8; ++i)
            CHECK_EQUAL(200, statusOf(world.ask("GET", "/read/1", requestId)));
        int before = world.target(0).requests() + world.target(1).requests();
        loses = true;
        CHECK_EQUAL(502, statusOf(world.ask("GET", "/read/1", requestId)));
        CHECK_EQUAL(before + 2, world.target(0).requests() + world.target(1).requests());
    }

    void refusedCallIsToldWhenToComeBack()
    {
        EntryWorld world({ refuse, refuse });
        std::string answer = world.ask("POST", "/call/1", requestId, "pay");
        CHECK_EQUAL(503, statusOf(answer));
        CHECK(contains(answer, "Retry-After") && contains(answer, "not-run"));
    }

    void answerForAnotherRequestIsReadPast()
    {
        EntryWorld world({ [](const HttpHead& head, const std::string&) {
            HttpHead other;
            other.headers_ = { { "Fescuewinch-Request-Id", "someone-else" } };
            return TargetAct { stampedAnswer(other, "not yours") + stampedAnswer(head, "yours"), false };
        } });
        std::string answer = world.ask("POST", "/call/1", requestId, "pay");
        CHECK_EQUAL(200, statusOf(answer));
        CHECK(contains(answer, "\r\n\r\nyours"));
    }

    void lateExtraAnswerReachesNobody()
    {
        EntryWorld world({ [](const HttpHead& head, const std::string&) {
            return TargetAct { stampedAnswer(head, "first") + stampedAnswer(head, "extra"), false };
        } });
        for (int i = 0; i < 3; ++i)
            CHECK(contains(world.ask("GET", "/read/1", requestId), "\r\n\r\nfirst"));
    }

    void answerThatIsNotTheTargetsOwnIsNotPassedOn()
    {
        EntryWorld plain({ [](const HttpHead&, const std::string&) {
            return TargetAct { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false };
        } });
        CHECK_EQUAL(502, statusOf(plain.ask("POST", "/call/1", requestId, "pay")));
        EntryWorld garbled({ saySomethingElse });
        CHECK_EQUAL(502, statusOf(garbled.ask("POST", "/call/1", requestId, "pay")));
    }

    void streamIsWholeAndATornOneIsNot()
    {
        EntryWorld whole({ stream });
        std::string answer = whole.ask("POST", "/turn/1", turnHeaders("p1", "3000"), "prompt");
        CHECK_EQUAL(200, statusOf(answer));
        CHECK(contains(answer, "id: 2") && contains(answer, "\r\n0\r\n\r\n"));
        EntryWorld torn({ tornStream });
        CHECK(!contains(torn.ask("POST", "/turn/1", turnHeaders("p1", "3000"), "prompt"), "\r\n0\r\n\r\n"));
    }

    void budgetEndsAProgram()
    {
        EntryWorld world({ stream });
        // Each turn makes two events of 100 tokens and may make 300.
        CHECK_EQUAL(200, statusOf(world.ask("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(200, statusOf(world.ask("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(402, statusOf(world.ask("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        CHECK_EQUAL(200, statusOf(world.ask("POST", "/turn/1", turnHeaders("p2", "600"), "prompt")));
        CHECK_EQUAL(3, world.target(0).requests());
    }

    void budgetOutlivesTheProcess()
    {
        EntryWorld world({ stream });
        CHECK_EQUAL(200, statusOf(world.ask("POST", "/turn/1", turnHeaders("p1", "600"), "prompt")));
        std::map<std::string, std::string> claims;
        world.onStore([&](standin::PlatformStore& store) { claims = store.newestOfAll("keyed.budget-"); });
        CHECK_EQUAL(std::size_t { 1 }, claims.size());
        CHECK_EQUAL(std::size_t { 0 }, claims.begin()->first.find("p1|vm-a#"));
    }

    void lostStoreRefusesNewProgramsAndServesTheRest()
    {
        EntryWorld world({ [](const HttpHead& head, const std::string& body) {
            return head.target_.rfind("/turn/", 0) == 0 ? stream(head, body) : answerWhole(head, body);
        } });
        CHECK_EQUAL(200, statusOf(world.ask("POST", "/turn/1", turnHeaders("old", "3000"), "prompt")));
        world.onStore([](standin::PlatformStore& store) { store.faults().isDown_ = true; });
        world.waitUntil("it is not ready", [&] { return world.readiness() == 503; });
        std::string refused = world.ask("POST", "/turn/1", turnHeaders("new", "3000"), "prompt");
        CHECK_EQUAL(503, statusOf(refused));
        CHECK(contains(refused, "Retry-After"));
        CHECK_EQUAL(200, statusOf(world.ask("POST", "/turn/1", turnHeaders("old", "3000"), "prompt")));
        CHECK_EQUAL(200, statusOf(world.ask("GET", "/read/1", requestId)));
        world.onStore([](standin::PlatformStore& store) { store.faults().isDown_ = false; });
        world.waitUntil("it is ready again", [&] { return world.readiness() == 200; });
    }

    void callerGoneCancelsTheTargetsWork()
    {
        EntryWorld world({ hold });
        {
            RawConnection caller(world.port());
            caller.send("GET /read/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId + "\r\n");
            world.waitUntil("the target has it", [&] { return world.target(0).requests() == 1; });
        }
        world.waitUntil("the target is told", [&] { return world.target(0).closed() == 1; });
    }

    void ambiguousFramingIsRefusedAndForwardedNowhere()
    {
        EntryWorld world({ answerWhole });
        RawConnection caller(world.port());
        caller.send("POST /call/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId
            + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/2 HTTP/1.1\r\n\r\n");
        CHECK_EQUAL(400, statusOf(caller.readAll()));
        CHECK_EQUAL(0, world.target(0).requests());
    }

    void drainFinishesWhatItHas()
    {
        EntryWorld world({ answerWhole });
        RawConnection kept(world.port());
        std::string request = "GET /read/1 HTTP/1.1\r\nHost: h.example\r\n" + requestId + "\r\n";
        kept.send(request);
        CHECK(contains(kept.readTo("done"), "200 OK"));
        world.process().signal(SIGTERM);
        world.waitUntil("it is not ready", [&] { return world.readiness() == 503; });
        kept.send(request);
        std::string last = kept.readAll();
        CHECK_EQUAL(200, statusOf(last));
        CHECK(contains(last, "Connection: close"));
        CHECK_EQUAL(0, world.process().end(SIGTERM));
    }

    void reloadCutsNothing()
    {
        EntryWorld world({ answerWhole });
        for (int i = 0; i < 3; ++i) {
            world.process().signal(SIGHUP);
            CHECK_EQUAL(200, statusOf(world.ask("GET", "/read/1", requestId)));
        }
    }
};

REGISTER_SUITE(EntryVmPath);
