// Guards against a request that runs although it came after the answer that closes its connection, so that
// its own answer may be lost.

#include "FrontServer.h"
#include "RawConnection.h"
#include "Suite.h"

#include <atomic>
#include <chrono>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr std::size_t bodyBytes = 64 << 10;
constexpr std::chrono::milliseconds handlingTime { 100 };

// A server on a thread of its own.
class Server {
public:
    Server()
        : server_(
            io_, "127.0.0.1:0",
            [this](const FrontRequest&, const std::shared_ptr<FrontReply>& reply) {
                isBehind_ = reply->pendingBytes() > 0;
                ++handled_;
                HttpHead head;
                head.status_ = 200;
                reply->answer(std::move(head), std::string(bodyBytes, 'b'));
            },
            [](int, const char*, const HttpHead*) {})
        , port_(server_.port())
        , thread_([this] { io_.run(); })
    {
    }

    ~Server()
    {
        io_.stop();
        thread_.join();
    }

    std::uint16_t port() const { return port_; }
    int handled() const { return handled_; }
    // Whether the sockets were full when the last request came, so that the connection cannot close at once.
    bool isBehind() const { return isBehind_; }

private:
    asio::io_context io_ { 1 };
    std::atomic<int> handled_ { 0 };
    std::atomic<bool> isBehind_ { false };
    FrontServer server_;
    std::uint16_t port_;
    std::thread thread_;
};

} // namespace

class ClosingConnections : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClosingConnections);
    CPPUNIT_TEST(requestAfterTheLastAnswerIsNotHandled);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestAfterTheLastAnswerIsNotHandled()
    {
        Server server;
        constexpr int receiveBuffer = 4096;
        RawConnection caller(server.port(), receiveBuffer);
        int sent = 0;
        constexpr int maxRequests = 1000;
        while (!server.isBehind() && sent < maxRequests) {
            caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            ++sent;
            while (server.handled() < sent)
                std::this_thread::yield();
        }
        CHECK(server.isBehind());
        caller.send("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        std::this_thread::sleep_for(handlingTime);
        CHECK_EQUAL(sent + 1, server.handled());
        caller.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
        std::this_thread::sleep_for(handlingTime);
        CHECK(caller.readAll().size() > bodyBytes * static_cast<std::size_t>(sent + 1));
        CHECK_EQUAL(sent + 1, server.handled());
    }
};

REGISTER_SUITE(ClosingConnections);
