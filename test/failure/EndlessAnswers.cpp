// Guards against a target whose bytes never end, in a head or a body: the VM's memory must not grow, and the
// request and its slot must not be kept.

#include "BootClock.h"
#include "EndlessBytes.h"
#include "EntryVmHarness.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string turnHeaders = requestHeaders + programHeaders("p1", "9000");
// The deadline of a request, and the time in which its caller has to have the final answer then.
constexpr Milliseconds maxDuration { 1200 + 500 };
// What was received is bounded; a minute of it would be gigabytes.
constexpr ByteCount maxGrowth { 24 << 20 };

struct Outcome {
    std::string bytes_;
    Milliseconds duration_ { 0 };
};

// Sends a turn to a target that answers with `start` and then `endless` without end. Checks that the VM
// closes the connection to the target and stays small.
Outcome takeTurn(const std::string& framing, const std::string& start, const std::string& endless)
{
    EntryVmHarness vm({ [=](const HttpHead& request, const std::string&) {
        TargetAction action { framing.empty() ? start : stampedHead(request, framing) + start };
        action.endless_ = endless;
        return action;
    } });
    ByteCount before = vm.residentMemory();
    MonotonicTime from = bootNow();
    std::string answer = vm.request("POST", "/turn/1", turnHeaders, "prompt");
    Outcome outcome { answer, bootNow() - from };
    vm.waitUntil(
        "the connection to the target is closed", [&] { return vm.target(0).closedConnections() > 0; });
    CHECK(vm.residentMemory() < before + maxGrowth);
    CHECK_EQUAL(1, vm.target(0).requests());
    return outcome;
}

const std::string eventStream = "Content-Type: text/event-stream\r\n";

} // namespace

class EndlessAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndlessAnswers);
    CPPUNIT_TEST(endlessHeadIsCutOff);
    CPPUNIT_TEST(endlessMessagesBeforeTheAnswerAreCutOff);
    CPPUNIT_TEST(endlessEventIsCutOff);
    CPPUNIT_TEST(endlessEventsAreCutOff);
    CPPUNIT_TEST(endlessBodyEndsAtTheDeadline);
    CPPUNIT_TEST(endlessFailureOfAKeptTurnCostsNoMemory);
    CPPUNIT_TEST(endlessTextOfAKeptTurnIsCutOff);
    CPPUNIT_TEST_SUITE_END();

    // Well before the deadline of the request.
    static constexpr Milliseconds promptly { 600 };

    static Outcome takeKeptTurn(int status, const std::string& framing)
    {
        EntryVmHarness vm({ [=](const HttpHead& request, const std::string&) {
            TargetAction action { stampedHead(request, framing, status) };
            action.endless_ = blockOf("x");
            return action;
        } });
        ByteCount before = vm.residentMemory();
        MonotonicTime from = bootNow();
        std::string answer = vm.request("POST", "/kept/1", turnHeaders, "prompt");
        Outcome outcome { answer, bootNow() - from };
        CHECK(vm.peakResidentMemory() < before + maxGrowth);
        return outcome;
    }

public:
    void endlessHeadIsCutOff()
    {
        for (const std::string& endless : { blockOf("x"), blockOf("X-More: header\r\n"), blockOf("\r\n") }) {
            Outcome outcome = takeTurn("", "HTTP/1.1 200 OK\r\n", endless);
            CHECK_EQUAL(502, statusOf(outcome.bytes_));
            CHECK(outcome.duration_ < promptly);
        }
        Outcome emptyLines = takeTurn("", "\r\n", blockOf("\r\n"));
        CHECK_EQUAL(502, statusOf(emptyLines.bytes_));
        CHECK(emptyLines.duration_ < promptly);
    }

    void endlessMessagesBeforeTheAnswerAreCutOff()
    {
        const std::string other
            = "HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: other\r\nContent-Length: 2\r\n\r\nhi";
        for (const std::string& message : { std::string("HTTP/1.1 100 Continue\r\n\r\n"), other }) {
            Outcome outcome = takeTurn("", message, blockOf(message));
            CHECK_EQUAL(502, statusOf(outcome.bytes_));
            CHECK(outcome.duration_ < promptly);
        }
    }

    void endlessEventIsCutOff()
    {
        Outcome outcome = takeTurn(eventStream, "id: 1\ndata: ", blockOf("x"));
        CHECK_EQUAL(200, statusOf(outcome.bytes_));
        CHECK(outcome.duration_ < promptly);
    }

    // The turn may generate 300 tokens, which are three events.
    void endlessEventsAreCutOff()
    {
        const std::string event = "id: 1\ndata: x\n\n";
        Outcome outcome = takeTurn(eventStream, event, blockOf(event));
        CHECK_EQUAL(200, statusOf(outcome.bytes_));
        std::size_t events = 0;
        for (std::size_t at = outcome.bytes_.find("id: "); at != std::string::npos;
             at = outcome.bytes_.find("id: ", at + 1))
            ++events;
        CHECK(events <= 4); // Engines may send one more than the tokens need.
        CHECK(outcome.duration_ < promptly);
    }

    void endlessBodyEndsAtTheDeadline()
    {
        EntryVmHarness vm({ [](const HttpHead& request, const std::string&) {
            TargetAction action { stampedHead(request, "") };
            action.endless_ = blockOf("x");
            return action;
        } });
        ByteCount before = vm.residentMemory();
        MonotonicTime from = bootNow();
        RawConnection caller(vm.port());
        caller.send("POST /call/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + requestHeaders
            + "Content-Length: 3\r\n\r\npay");
        caller.readAll();
        CHECK(caller.wasReset());
        CHECK(bootNow() - from < maxDuration);
        vm.waitUntil(
            "the connection to the target is closed", [&] { return vm.target(0).closedConnections() > 0; });
        CHECK(vm.residentMemory() < before + maxGrowth);
    }

    // Only the text of a success is kept.
    void endlessFailureOfAKeptTurnCostsNoMemory()
    {
        Outcome outcome = takeKeptTurn(500, "Content-Type: text/plain\r\n");
        CHECK_EQUAL(500, statusOf(outcome.bytes_));
    }

    // A response that is no stream of events has no events that could be counted.
    void endlessTextOfAKeptTurnIsCutOff()
    {
        Outcome outcome = takeKeptTurn(200, "Content-Type: text/plain\r\n");
        CHECK_EQUAL(200, statusOf(outcome.bytes_));
        CHECK(outcome.duration_ < promptly);
    }
};

REGISTER_SUITE(EndlessAnswers);
