// libcurl resends a request automatically when a reused connection closes without an answer. A request that
// may run at most once must not be sent twice, and its result must tell whether it was sent.

#include "HttpClient.h"
#include "Suite.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <future>
#include <thread>

using namespace fescue;

class SentOnce : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SentOnce);
    CPPUNIT_TEST(unmarkedRequestIsResentByTheLibrary);
    CPPUNIT_TEST(markedRequestIsSentOnceAndItsOutcomeIsUnknown);
    CPPUNIT_TEST(refusedConnectIsNotSent);
    CPPUNIT_TEST(requestIsNotSentWhenItsDeadlineExpiresWhileConnecting);
    CPPUNIT_TEST_SUITE_END();

public:
    void unmarkedRequestIsResentByTheLibrary();
    void markedRequestIsSentOnceAndItsOutcomeIsUnknown();
    void refusedConnectIsNotSent();
    void requestIsNotSentWhenItsDeadlineExpiresWhileConnecting();
};

REGISTER_SUITE(SentOnce);

namespace {

using asio::ip::tcp;

const tcp::endpoint anyLocalPort(asio::ip::make_address("127.0.0.1"), 0);

std::string urlOf(const tcp::acceptor& acceptor)
{
    return "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/payouts";
}

// Answers a GET that is the first request of a connection and counts POSTs. Closes the connection after a
// POST, or after the second request, without an answer.
class ConnectionClosingServer {
public:
    ConnectionClosingServer()
        : acceptor_(io_, anyLocalPort)
        , thread_([this] { run(); })
    {
    }

    ~ConnectionClosingServer()
    {
        isStopping_ = true;
        asio::io_context io;
        std::error_code ignored;
        tcp::socket(io).connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (std::thread& connection : connections_)
            connection.join();
    }

    std::string url() const { return urlOf(acceptor_); }
    int posts() const { return posts_; }

private:
    void run()
    {
        while (!isStopping_) {
            auto socket = std::make_shared<tcp::socket>(io_);
            acceptor_.accept(*socket);
            connections_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(tcp::socket& socket)
    {
        std::string head;
        std::error_code error;
        std::size_t size = asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
        if (error)
            return;
        bool isPost = head.compare(0, 4, "POST") == 0;
        posts_ += isPost ? 1 : 0;
        if (isPost)
            return;
        head.erase(0, size);
        asio::write(
            socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), error);
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
        posts_ += head.compare(0, 4, "POST") == 0 ? 1 : 0;
    }

    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_ { false };
    std::atomic<int> posts_ { 0 };
    std::vector<std::thread> connections_;
    std::thread thread_;
};

HttpResult payOnReusedConnection(const ConnectionClosingServer& server, bool isAtMostOnce)
{
    HttpClient client;
    HttpResult first = client.perform({ "GET", server.url() });
    CHECK_EQUAL(200, first.status_);
    HttpCall payout { "POST", server.url(), {}, "{\"amount\": 120}" };
    payout.isAtMostOnce_ = isAtMostOnce;
    return client.perform(std::move(payout));
}

} // namespace

void SentOnce::unmarkedRequestIsResentByTheLibrary()
{
    ConnectionClosingServer server;
    payOnReusedConnection(server, false);
    CHECK_EQUAL(2, server.posts());
}

void SentOnce::markedRequestIsSentOnceAndItsOutcomeIsUnknown()
{
    ConnectionClosingServer server;
    HttpResult result = payOnReusedConnection(server, true);
    CHECK(result.outcome_ == HttpResult::Outcome::Unknown);
    CHECK_EQUAL(1, server.posts());
}

void SentOnce::refusedConnectIsNotSent()
{
    asio::io_context io;
    tcp::acceptor closed(io, anyLocalPort);
    HttpCall call { "POST", urlOf(closed), {}, "{}" };
    call.isAtMostOnce_ = true;
    closed.close();
    CHECK(HttpClient().perform(std::move(call)).outcome_ == HttpResult::Outcome::NotSent);
}

void SentOnce::requestIsNotSentWhenItsDeadlineExpiresWhileConnecting()
{
    asio::io_context io;
    tcp::acceptor slow(io);
    slow.open(tcp::v4());
    slow.bind(anyLocalPort);
    slow.listen(0);
    // Fill the accept queue of the listener, so that the next connect waits for a SYN retransmission.
    std::array<std::unique_ptr<tcp::socket>, 4> fillers;
    for (auto& filler : fillers) {
        filler = std::make_unique<tcp::socket>(io, tcp::v4());
        filler->non_blocking(true);
        auto to = slow.local_endpoint();
        static_cast<void>(::connect(filler->native_handle(), to.data(), static_cast<socklen_t>(to.size())));
    }
    HttpCall call { "POST", urlOf(slow), {}, "{}" };
    call.isAtMostOnce_ = true;
    call.connectTimeout_ = Milliseconds { 30000 };
    call.timeout_ = Milliseconds { 5000 };
    MonotonicTime sendDeadline = monotonicNow() + Milliseconds { 100 };
    call.sendDeadline_ = sendDeadline;
    HttpClient client;
    auto result = std::async(std::launch::async, [&] { return client.perform(std::move(call)); });
    while (monotonicNow() < sendDeadline)
        std::this_thread::yield();
    for (std::size_t i = 0; i < fillers.size(); ++i)
        fillers[i]->close();
    std::vector<tcp::socket> accepted;
    for (std::size_t i = 0; i < 2; ++i)
        accepted.push_back(slow.accept());
    CHECK(result.get().outcome_ == HttpResult::Outcome::NotSent);
}
