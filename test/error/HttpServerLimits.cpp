// The HTTP server with callers that send incomplete requests, read slowly, disconnect or open too many
// connections.

#include "Cluster.h"
#include "HttpServer.h"
#include "RawConnection.h"
#include "Suite.h"

#include <atomic>
#include <mutex>

using namespace fescue;
using namespace fescue::test;

class HttpServerLimits : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerLimits);
    CPPUNIT_TEST(incompleteRequestTimesOut);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(slowReaderIsCutOffWithALastChunk);
    CPPUNIT_TEST(writesAfterDisconnectAreRefused);
    CPPUNIT_TEST(exchangesOutliveTheirServer);
    CPPUNIT_TEST(connectionsBeyondTheLimitWait);
    CPPUNIT_TEST_SUITE_END();

public:
    void incompleteRequestTimesOut();
    void pipelinedRequestsAreAnsweredInOrder();
    void slowReaderIsCutOffWithALastChunk();
    void writesAfterDisconnectAreRefused();
    void exchangesOutliveTheirServer();
    void connectionsBeyondTheLimitWait();
};

REGISTER_SUITE(HttpServerLimits);

namespace {

constexpr const char* get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::size_t chunkSize = 65536;

void answerAtOnce(const HttpRequest& request, const HttpExchangePtr& exchange)
{
    exchange->answer({ 200, "text/plain", "<" + request.path_ + ">", {} });
}

// Begins a chunked response to each request and keeps its exchange.
struct Streams {
    std::mutex mutex_;
    std::vector<HttpExchangePtr> open_;

    HttpHandler handler()
    {
        return [this](const HttpRequest&, const HttpExchangePtr& exchange) {
            exchange->begin({ 200, "text/event-stream", "first", {} });
            std::lock_guard<std::mutex> lock(mutex_);
            open_.push_back(exchange);
        };
    }

    HttpExchangePtr at(std::size_t i)
    {
        waitUntil("a request has arrived", [&] {
            std::lock_guard<std::mutex> lock(mutex_);
            return open_.size() > i;
        });
        return open_[i];
    }
};

} // namespace

void HttpServerLimits::incompleteRequestTimesOut()
{
    HttpServerOptions options;
    options.readTimeout_ = Milliseconds { 300 };
    HttpServer server(options, answerAtOnce);
    RawConnection half(server.port());
    half.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
    RawConnection whole(server.port());
    whole.send(get);
    CHECK(whole.readUntil("</x>").find("200") != std::string::npos);
    CHECK(half.readAll().empty());
}

void HttpServerLimits::pipelinedRequestsAreAnsweredInOrder()
{
    Streams streams;
    HttpServer server({}, [&streams](const HttpRequest&, const HttpExchangePtr& exchange) {
        std::lock_guard<std::mutex> lock(streams.mutex_);
        streams.open_.push_back(exchange);
    });
    RawConnection caller(server.port());
    caller.send(std::string(get) + get);
    streams.at(1)->answer({ 200, "text/plain", "second", {} });
    streams.at(0)->answer({ 200, "text/plain", "first", {} });
    std::string text = caller.readUntil("second");
    CHECK(text.find("first") < text.find("second"));
}

void HttpServerLimits::slowReaderIsCutOffWithALastChunk()
{
    HttpServerOptions options;
    options.maxBuffered_ = { 1024 * 1024 };
    Streams streams;
    HttpServer server(options, streams.handler());
    RawConnection slow(server.port(), 4096);
    slow.send(get);
    HttpExchangePtr exchange = streams.at(0);
    std::size_t taken = 0;
    constexpr std::size_t chunksBeyondSocketBuffers = 2048;
    while (taken < chunksBeyondSocketBuffers && exchange->write(std::string(chunkSize, 'x')))
        ++taken;
    CHECK(taken < chunksBeyondSocketBuffers);
    CHECK(!exchange->write("later"));
    exchange->abort("the last word");
    std::string text = slow.readUntil("\r\n0\r\n\r\n");
    CHECK(text.find("the last word") != std::string::npos);
    CHECK(text.find("later") == std::string::npos);
}

void HttpServerLimits::writesAfterDisconnectAreRefused()
{
    Streams streams;
    HttpServer server({}, streams.handler());
    {
        RawConnection gone(server.port());
        gone.send(get);
        gone.readUntil("first");
    }
    HttpExchangePtr exchange = streams.at(0);
    waitUntil("a write is refused", [&] { return !exchange->write("more"); });
    exchange->end();
    RawConnection next(server.port());
    next.send(get);
    CHECK(next.readUntil("first").find("200") != std::string::npos);
}

// Guards against a use of freed memory: a gateway that ends while requests are open answers them, or drops
// them, after its server is gone.
void HttpServerLimits::exchangesOutliveTheirServer()
{
    Streams streams;
    auto server = std::make_unique<HttpServer>(HttpServerOptions {}, streams.handler());
    RawConnection first(server->port());
    first.send(get);
    first.readUntil("first");
    RawConnection second(server->port());
    second.send(get);
    second.readUntil("first");
    HttpExchangePtr ended = streams.at(0);
    HttpExchangePtr dropped = streams.at(1);
    server.reset();
    CHECK(!ended->write("more"));
    ended->end();
    CHECK(!dropped->write("more"));
    dropped->abort("the last word");
}

void HttpServerLimits::connectionsBeyondTheLimitWait()
{
    HttpServerOptions options;
    options.maxConnections_ = 2;
    std::atomic<int> handled { 0 };
    HttpServer server(options, [&handled](const HttpRequest& request, const HttpExchangePtr& exchange) {
        ++handled;
        answerAtOnce(request, exchange);
    });
    auto first = std::make_unique<RawConnection>(server.port());
    RawConnection second(server.port());
    first->send(get);
    first->readUntil("</x>");
    RawConnection third(server.port());
    third.send(get);
    constexpr int rounds = 200;
    for (int i = 0; i < rounds; ++i) {
        second.send(get);
        second.readUntil("</x>");
    }
    CHECK_EQUAL(rounds + 1, handled.load());
    first.reset();
    CHECK(!third.readUntil("</x>").empty());
}
