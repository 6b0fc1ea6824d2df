// FrontReplyImpl: guards against answers that are out of order, not framed, or sent after their connection
// has ended.

#include "FrontCaller.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

class FrontReplies : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FrontReplies);
    CPPUNIT_TEST(requestsOfOneConnectionAreAnsweredInOrder);
    CPPUNIT_TEST(answerHasALengthUnlessItHasNoBody);
    CPPUNIT_TEST(answerInPartsIsChunked);
    CPPUNIT_TEST(abortedAnswerResetsItsConnection);
    CPPUNIT_TEST(disconnectIsReportedOnceAndEndsTheReply);
    CPPUNIT_TEST(drainClosesAConnectionAfterItsAnswer);
    CPPUNIT_TEST(lessOfAnAnswerWaitsWhileRoomIsShort);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsOfOneConnectionAreAnsweredInOrder()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        constexpr int count = 30;
        std::string requests;
        for (int i = 0; i < count; ++i)
            requests += fmt::format("POST /{} HTTP/1.1\r\nHost: h.example\r\nContent-Length: {}\r\n\r\n{}", i,
                i, std::string(i, 'b'));
        constexpr std::size_t piece = 97; // Not at the borders of requests.
        std::size_t sent = 0;
        std::string expected;
        for (int i = 0; i < count; ++i) {
            while (server.open_.empty()) {
                caller.send(requests.substr(sent, piece));
                sent = std::min(sent + piece, requests.size());
                server.io_.run_for(std::chrono::milliseconds(1));
                server.io_.restart();
            }
            CHECK_EQUAL(std::size_t { 1 }, server.open_.size()); // The next one is not begun before its end.
            CHECK_EQUAL(fmt::format("/{}", i), server.open_.front().first);
            std::string body = fmt::format("answer {}", i);
            expected += fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
            server.next()->answer(headOf(200), body);
        }
        server.runUntil([&] { return caller.received().size() >= expected.size(); });
        CHECK_EQUAL(expected, caller.received());
    }

    void answerHasALengthUnlessItHasNoBody()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        caller.send(requestFor("/a") + "HEAD /b HTTP/1.1\r\nHost: h.example\r\n\r\n" + requestFor("/c"));
        server.next()->answer(headOf(200), "body");
        server.next()->answer(headOf(200), "body");
        server.next()->answer(headOf(204), "");
        const std::string expected = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
                                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
                                     "HTTP/1.1 204 No Content\r\n\r\n";
        server.runUntil([&] { return caller.received().size() >= expected.size(); });
        CHECK_EQUAL(expected, caller.received());
    }

    void answerInPartsIsChunked()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        caller.send(requestFor("/a"));
        auto reply = server.next();
        reply->begin(headOf(200));
        reply->write("one");
        reply->write("");
        reply->write("four");
        reply->end();
        const std::string expected = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "3\r\none\r\n4\r\nfour\r\n0\r\n\r\n";
        server.runUntil([&] { return caller.received().size() >= expected.size(); });
        CHECK_EQUAL(expected, caller.received());
    }

    void abortedAnswerResetsItsConnection()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        caller.send(requestFor("/a"));
        auto reply = server.next();
        bool isReported = false;
        reply->onDisconnect([&] { isReported = true; });
        reply->begin(headOf(200));
        reply->write("one");
        reply->abort();
        reply->write("two"); // Has no effect.
        reply->end();
        server.runUntil([&] { return caller.readToEnd().has_value(); });
        CHECK(caller.readToEnd() == asio::error_code(asio::error::connection_reset));
        CHECK(!isReported);
        CHECK_EQUAL(std::size_t { 0 }, server.server_.connections());
    }

    void disconnectIsReportedOnceAndEndsTheReply()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        caller.send(requestFor("/a"));
        auto reply = server.next();
        int reports = 0;
        reply->onDisconnect([&] { ++reports; });
        caller.reset();
        server.runUntil([&] { return reports > 0; });
        reply->answer(headOf(200), "body"); // Has no effect.
        server.io_.run_for(std::chrono::milliseconds(5));
        CHECK_EQUAL(1, reports);
        CHECK_EQUAL(std::size_t { 0 }, reply->pendingBytes());
        CHECK_EQUAL(std::size_t { 0 }, server.server_.connections());
    }

    void drainClosesAConnectionAfterItsAnswer()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        caller.send(requestsFor("/a", 2));
        auto reply = server.next();
        server.server_.drain();
        reply->answer(headOf(200), "body");
        server.runUntil([&] { return caller.readToEnd().has_value(); });
        CHECK_EQUAL(std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"),
            caller.received());
        CHECK(server.open_.empty());
    }

    void lessOfAnAnswerWaitsWhileRoomIsShort()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        caller.send(requestFor("/a"));
        auto reply = server.next();
        CHECK_EQUAL(maxUnreadAnswerBytes, reply->maxPendingBytes());
        FrontLimits limits;
        limits.memory_ = { server.server_.heldMemory().total_, 0, 0 };
        server.server_.setLimits(limits);
        CHECK(reply->maxPendingBytes() < maxUnreadAnswerBytes);
        CHECK(reply->maxPendingBytes() > 0);
    }
};

REGISTER_SUITE(FrontReplies);
