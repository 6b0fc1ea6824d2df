// Guards against a response that was cut off by the end of its connection and is taken for a complete one.

#include "EntryVmHarness.h"
#include "HttpClient.h"
#include "OutboundPool.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

namespace {

// A server that sends the same bytes to each request and then closes the connection.
ScriptedTarget::Script sendAndClose(const std::string& bytes)
{
    return [bytes](const HttpHead&, const std::string&) { return TargetAction { bytes, true }; };
}

const std::string head = "HTTP/1.1 200 OK\r\n";

HttpResult performAt(const std::string& response)
{
    asio::io_context io;
    ScriptedTarget server(io, sendAndClose(response));
    std::thread thread([&io] { io.run(); });
    HttpClient client;
    HttpResult result = client.perform({ "GET", "http://127.0.0.1:" + std::to_string(server.port()) + "/" });
    io.stop();
    thread.join();
    return result;
}

OutboundResult::Outcome sendTo(const std::string& response, bool acceptsUnframed)
{
    asio::io_context io;
    ScriptedTarget server(io, sendAndClose(response));
    OutboundPool pool(io);
    OutboundRequest request { { asio::ip::address_v4::loopback(), server.port() }, {}, {} };
    request.head_.method_ = "GET";
    request.head_.target_ = "/";
    request.acceptsUnframed_ = acceptsUnframed;
    OutboundCallbacks callbacks;
    OutboundResult::Outcome outcome = OutboundResult::Outcome::NotSent;
    callbacks.onEnd_ = [&](const OutboundResult& end) {
        outcome = end.outcome_;
        io.stop();
    };
    pool.send(std::move(request), std::move(callbacks));
    io.run_for(std::chrono::seconds(5));
    return outcome;
}

} // namespace

class UnframedResponses : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UnframedResponses);
    CPPUNIT_TEST(responseOfAServiceThatMayBeCutOffIsNotAnswered);
    CPPUNIT_TEST(wholeJsonShowsItsOwnEnd);
    CPPUNIT_TEST(framedResponsesAreAnswered);
    CPPUNIT_TEST(storeAndPeersMustFrameTheirResponses);
    CPPUNIT_TEST_SUITE_END();

public:
    void responseOfAServiceThatMayBeCutOffIsNotAnswered()
    {
        for (const char* body : { "", "half of i", "{\"a\": 1", "[1, 2", "12", "tru" })
            CHECK(performAt(head + "\r\n" + body).outcome_ == HttpResult::Outcome::Unknown);
    }

    void wholeJsonShowsItsOwnEnd()
    {
        HttpResult result = performAt(head + "\r\n{\"a\": [1, 2]}");
        CHECK(result.outcome_ == HttpResult::Outcome::Answered);
        CHECK_EQUAL(std::string("{\"a\": [1, 2]}"), result.body_);
    }

    void framedResponsesAreAnswered()
    {
        for (const char* rest : { "Content-Length: 4\r\n\r\nhalf", "Content-Length: 0\r\n\r\n",
                 "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n" })
            CHECK(performAt(head + rest).outcome_ == HttpResult::Outcome::Answered);
        CHECK(performAt("HTTP/1.1 204 No Content\r\n\r\n").outcome_ == HttpResult::Outcome::Answered);
    }

    void storeAndPeersMustFrameTheirResponses()
    {
        CHECK(sendTo(head + "\r\nhalf", false) == OutboundResult::Outcome::Unknown);
        CHECK(sendTo(head + "\r\nhalf", true) == OutboundResult::Outcome::Answered);
        CHECK(sendTo(head + "Content-Length: 4\r\n\r\nhalf", false) == OutboundResult::Outcome::Answered);
    }
};

REGISTER_SUITE(UnframedResponses);
