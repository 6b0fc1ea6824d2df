// Guards against work for a target that has said in an answer that it leaves, while the store is away or
// still lists it as ready.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

std::string idLine(const HttpHead& request)
{
    const std::string* id = findHeader(request, "Fescuewinch-Request-Id");
    return "Fescuewinch-Request-Id: " + (id ? *id : "") + "\r\n";
}

constexpr const char* leaves = "Server-Leaving: 1\r\n";

std::string wholeAnswer(const HttpHead& request, int status, const std::string& extra)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + idLine(request)
        + "Fescuewinch-Response-Stamp: s\r\n" + extra + "Content-Length: 4\r\n\r\ndone";
}

TargetAction respond(const HttpHead& request, const std::string&)
{
    return { wholeAnswer(request, 200, "") };
}

// A target that says that it leaves in each answer of one kind.
ScriptedTarget::Script leavingIn(const std::string& kind)
{
    return [kind](const HttpHead& request, const std::string&) -> TargetAction {
        if (kind == "error")
            return { wholeAnswer(request, 500, leaves) };
        if (kind == "refusal")
            return { "HTTP/1.1 503 Full\r\n" + idLine(request) + "Fescuewinch-Not-Executed: 1\r\n" + leaves
                + "Content-Length: 0\r\n\r\n" };
        if (kind == "broken-off")
            return { "HTTP/1.1 200 OK\r\n" + idLine(request) + "Fescuewinch-Response-Stamp: s\r\n" + leaves
                    + "Content-Length: 400\r\n\r\nsome of it",
                true };
        if (kind == "stream" && request.target_.rfind("/turn/", 0) == 0)
            return { "HTTP/1.1 200 OK\r\n" + idLine(request) + "Fescuewinch-Response-Stamp: s\r\n" + leaves
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + toChunk("id: 1\ndata: a\n\n") };
        return { wholeAnswer(request, 200, leaves) };
    };
}

} // namespace

class LeavingAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeavingAnswers);
    CPPUNIT_TEST(targetGetsNothingAfterAnyAnswerThatSaysSo);
    CPPUNIT_TEST(targetGetsNothingWhileTheStoreIsAway);
    CPPUNIT_TEST(targetGetsNothingOnceItsStreamHasBegun);
    CPPUNIT_TEST(anotherStartAtTheAddressIsUsed);
    CPPUNIT_TEST(answerOfAnotherInstanceSaysNothing);
    CPPUNIT_TEST(serviceThatLeavesAsAWholeIsRefusedAtOnce);
    CPPUNIT_TEST(callersDoNotGetTheStatement);
    CPPUNIT_TEST_SUITE_END();

    // Sends reads over one kept connection and over new ones.
    static void sendMany(EntryVmHarness& vm)
    {
        constexpr int count = 12;
        RawConnection kept(vm.port());
        for (int i = 0; i < count; ++i) {
            CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestHeaders)));
            kept.send("GET /read/2 HTTP/1.1\r\nHost: h.example\r\n" + requestHeaders + "\r\n");
            CHECK_EQUAL(200, statusOf(kept.readUntil("done")));
        }
    }

    // Sends requests until the first target has got one.
    static void letTheFirstSpeak(EntryVmHarness& vm, const std::string& path)
    {
        vm.waitUntil("the first target has answered", [&] {
            vm.request("POST", path, requestHeaders, "pay");
            return vm.target(0).requests() > 0;
        });
    }

public:
    void targetGetsNothingAfterAnyAnswerThatSaysSo()
    {
        for (const char* kind : { "whole", "error", "refusal", "broken-off" }) {
            EntryVmHarness vm({ leavingIn(kind), respond, respond });
            letTheFirstSpeak(vm, "/call/1");
            int before = vm.target(0).requests();
            sendMany(vm);
            CHECK_EQUAL(before, vm.target(0).requests());
        }
    }

    // The entry in the store still says ready, and is repeated with each heartbeat.
    void targetGetsNothingWhileTheStoreIsAway()
    {
        EntryVmHarness vm({ leavingIn("whole"), respond });
        vm.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = true; });
        letTheFirstSpeak(vm, "/call/1");
        sendMany(vm);
        vm.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = false; });
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
        sendMany(vm);
        CHECK_EQUAL(1, vm.target(0).requests());
    }

    void targetGetsNothingOnceItsStreamHasBegun()
    {
        EntryVmHarness vm({ leavingIn("stream") });
        RawConnection caller(vm.port());
        caller.send(
            "POST /turn/1 HTTP/1.1\r\nHost: h.example\r\n" + requestHeaders + "Content-Length: 1\r\n\r\nx");
        CHECK_EQUAL(200, statusOf(caller.readUntil("data: a")));
        std::string next
            = vm.request("POST", "/turn/2", requestHeaders + "Last-Event-Id: 1\r\nResumes: r1\r\n", "x");
        CHECK_EQUAL(503, statusOf(next));
        CHECK_EQUAL(1, vm.target(0).requests());
    }

    void anotherStartAtTheAddressIsUsed()
    {
        std::atomic<bool> isLeaving { true };
        EntryVmHarness vm({ [&](const HttpHead& head, const std::string& body) {
            return isLeaving ? leavingIn("whole")(head, body) : respond(head, body);
        } });
        CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestHeaders)));
        CHECK_EQUAL(503, statusOf(vm.request("GET", "/read/1", requestHeaders)));
        isLeaving = false;
        vm.runOnStore([&](standin::PlatformStore&) { vm.target(0).crash(); });
        vm.waitUntil("the next start at the address is used",
            [&] { return statusOf(vm.request("GET", "/read/1", requestHeaders)) == 200; });
    }

    void answerOfAnotherInstanceSaysNothing()
    {
        std::atomic<int> sent { 0 };
        EntryVmHarness vm({ [&sent](const HttpHead& request, const std::string& body) -> TargetAction {
            if (++sent > 1)
                return respond(request, body);
            return { "HTTP/1.1 421 Misdirected\r\n" + idLine(request) + "Fescuewinch-Instance-Id: i-other\r\n"
                + leaves + "Content-Length: 0\r\n\r\n" };
        } });
        vm.request("GET", "/read/1", requestHeaders);
        CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestHeaders)));
    }

    void serviceThatLeavesAsAWholeIsRefusedAtOnce()
    {
        EntryVmHarness vm({ leavingIn("whole"), leavingIn("whole") });
        for (int i = 0; i < 2; ++i)
            CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestHeaders)));
        constexpr Milliseconds promptly { 300 };
        for (int i = 0; i < 4; ++i) {
            MonotonicTime from = bootNow();
            std::string answer = vm.request("GET", "/read/1", requestHeaders);
            CHECK_EQUAL(503, statusOf(answer));
            CHECK(answer.find("Retry-After") != std::string::npos);
            CHECK(bootNow() - from < promptly);
        }
        CHECK_EQUAL(2, vm.targetRequests());
    }

    void callersDoNotGetTheStatement()
    {
        EntryVmHarness vm({ leavingIn("whole") });
        std::string answer = vm.request("GET", "/read/1", requestHeaders);
        CHECK_EQUAL(200, statusOf(answer));
        CHECK(answer.find("Server-Leaving") == std::string::npos);
    }
};

REGISTER_SUITE(LeavingAnswers);
