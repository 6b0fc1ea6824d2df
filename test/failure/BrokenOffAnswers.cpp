// Guards against a broken-off answer that reaches its caller as a complete one.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string turnHeaders = requestHeaders + programHeaders("p1", "9000");
const std::string event = "id: 1\ndata: one\n\n";
const std::string lastChunk = "\r\n0\r\n\r\n";

const std::string chunks = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
const std::string noFraming = "Content-Type: text/event-stream\r\n";

// A target that sends `body` after a head with this framing, and then closes the connection.
ScriptedTarget::Script answerAndClose(const std::string& framing, const std::string& body, int status = 200)
{
    return [framing, body, status](const HttpHead& request, const std::string&) {
        return TargetAction { stampedHead(request, framing, status) + body, true };
    };
}

// What a caller received, and how its connection ended.
struct Received {
    std::string bytes_;
    bool wasReset_ = false;

    bool isChunked() const { return contains("Transfer-Encoding: chunked"); }
    bool isFramedAsComplete() const { return contains(lastChunk) || contains("Content-Length"); }
    bool contains(const std::string& part) const { return bytes_.find(part) != std::string::npos; }
};

Received send(const EntryVmHarness& vm, const std::string& request)
{
    RawConnection caller(vm.port());
    caller.send(request);
    std::string bytes = caller.readAll();
    return { bytes, caller.wasReset() };
}

Received takeTurn(ScriptedTarget::Script script)
{
    EntryVmHarness vm({ std::move(script) });
    return send(vm,
        "POST /turn/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + turnHeaders
            + "Content-Length: 6\r\n\r\nprompt");
}

Received read(ScriptedTarget::Script script)
{
    EntryVmHarness vm({ std::move(script) });
    return send(
        vm, "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + requestHeaders + "\r\n");
}

} // namespace

class BrokenOffAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BrokenOffAnswers);
    CPPUNIT_TEST(streamWithoutFramingThatStopsInsideAnEventIsBrokenOff);
    CPPUNIT_TEST(streamWithChunksThatStopsInsideAnEventIsBrokenOff);
    CPPUNIT_TEST(streamWithoutFramingThatHasNoEventIsBrokenOff);
    CPPUNIT_TEST(streamWithoutFramingThatStopsBetweenEventsIsComplete);
    CPPUNIT_TEST(answerWithoutFramingIsComplete);
    CPPUNIT_TEST(streamWithChunksStaysComplete);
    CPPUNIT_TEST(lossOfTheVmDoesNotLookLikeTheEndOfAStream);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamWithoutFramingThatStopsInsideAnEventIsBrokenOff()
    {
        for (const char* rest : { "id: 2\ndata: tw", "id: 2\ndata: two\n", "i" }) {
            Received answer = takeTurn(answerAndClose(noFraming, event + rest));
            CHECK(answer.contains("data: one"));
            CHECK(!answer.isFramedAsComplete());
            CHECK(answer.wasReset_);
        }
    }

    void streamWithChunksThatStopsInsideAnEventIsBrokenOff()
    {
        std::string body = toChunk(event) + toChunk("id: 2\ndata: tw") + "0\r\n\r\n";
        Received answer = takeTurn(answerAndClose(chunks, body));
        CHECK(answer.contains("data: one"));
        CHECK(!answer.isFramedAsComplete());
        CHECK(answer.wasReset_);
    }

    void streamWithoutFramingThatHasNoEventIsBrokenOff()
    {
        Received answer = takeTurn(answerAndClose(noFraming, ""));
        CHECK(!answer.isFramedAsComplete() || statusOf(answer.bytes_) == 502);
        CHECK(answer.wasReset_ || statusOf(answer.bytes_) == 502);
    }

    // An orderly close is the end that the platform defines for such an answer.
    void streamWithoutFramingThatStopsBetweenEventsIsComplete()
    {
        Received answer = takeTurn(answerAndClose(noFraming, event + event));
        CHECK_EQUAL(200, statusOf(answer.bytes_));
        CHECK(answer.isChunked() && answer.contains(lastChunk) && !answer.wasReset_);
    }

    void answerWithoutFramingIsComplete()
    {
        for (int status : { 200, 500 }) {
            Received answer = read(answerAndClose("", "all of it", status));
            CHECK_EQUAL(status, statusOf(answer.bytes_));
            CHECK(answer.contains("Content-Length: 9") && answer.contains("\r\n\r\nall of it"));
        }
    }

    // If the caller got the stream without framing too, the end of this VM's process would complete it.
    void lossOfTheVmDoesNotLookLikeTheEndOfAStream()
    {
        EntryVmHarness vm({ [](const HttpHead& request, const std::string&) {
            return TargetAction { stampedHead(request, noFraming) + event };
        } });
        RawConnection caller(vm.port());
        caller.send(
            "POST /turn/1 HTTP/1.1\r\nHost: h.example\r\n" + turnHeaders + "Content-Length: 6\r\n\r\nprompt");
        std::string head = caller.readUntil("data: one");
        vm.process().signalAndWait(SIGKILL);
        std::string rest = caller.readAll();
        CHECK(head.find("Transfer-Encoding: chunked") != std::string::npos);
        CHECK(rest.find(lastChunk) == std::string::npos);
    }

    void streamWithChunksStaysComplete()
    {
        std::string body = toChunk(event) + toChunk("id: 2\r\ndata: two\r\n\r\n") + "0\r\n\r\n";
        Received answer = takeTurn(answerAndClose(chunks, body));
        CHECK_EQUAL(200, statusOf(answer.bytes_));
        CHECK(answer.isChunked() && answer.contains(lastChunk) && !answer.wasReset_);
    }
};

REGISTER_SUITE(BrokenOffAnswers);
