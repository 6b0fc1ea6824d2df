// Guards against a response whose head was cut off by the end of its connection and is taken for a complete
// one without a body, or with the headers that had come.

#include "EntryVmHarness.h"
#include "HttpClient.h"
#include "OutboundPool.h"
#include "Suite.h"

#include <atomic>
#include <cstdio>
#include <fmt/format.h>
#include <future>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string body = "{\"whole\": true}";

struct Framing {
    const char* name_;
    std::string head_;
    std::string rest_;
};

const std::vector<Framing>& framings()
{
    static const std::vector<Framing> all {
        { "length", "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nContent-Type: text/plain\r\n\r\n", body },
        { "no body", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n", "" },
        { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n",
            toChunk(body) + "0\r\n\r\n" },
        { "none", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", body },
        { "interim", "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
            body },
        { "no content", "HTTP/1.1 204 No Content\r\nContent-Type: text/plain\r\n\r\n", "" },
        { "refusal", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 15\r\nRetry-After: 1\r\n\r\n",
            body },
    };
    return all;
}

// A server that serves `/F/N` with the first N bytes of the head with framing F, and then closes or resets
// the connection. A path that begins with `/whole` gets a complete response on a connection that stays open.
class CuttingServer {
public:
    explicit CuttingServer(bool resets)
        : server_(io_,
            [resets](
                const HttpHead& request, const std::string&) { return respond(request.target_, resets); })
        , thread_([this] { io_.run(); })
    {
    }

    ~CuttingServer()
    {
        io_.stop();
        thread_.join();
    }

    std::uint16_t port() const { return server_.port(); }
    static std::string path(std::size_t framing, std::size_t bytes)
    {
        return fmt::format("/{}/{}", framing, bytes);
    }

private:
    static TargetAction respond(const std::string& target, bool resets)
    {
        std::size_t framing = 0;
        std::size_t bytes = 0;
        if (std::sscanf(target.c_str(), "/%zu/%zu", &framing, &bytes) != 2)
            return { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
        TargetAction action { framings().at(framing).head_.substr(0, bytes) };
        action.closesConnection_ = !resets;
        action.resetsConnection_ = resets;
        return action;
    }

    asio::io_context io_;
    ScriptedTarget server_;
    std::thread thread_;
};

std::string describe(const Framing& framing, std::size_t bytes, bool resets)
{
    return fmt::format("{}, {} after {} bytes", framing.name_, resets ? "reset" : "closed", bytes);
}

HttpCall callOf(const CuttingServer& server, const std::string& path, bool isAtMostOnce)
{
    HttpCall call { "GET", fmt::format("http://127.0.0.1:{}{}", server.port(), path) };
    call.isAtMostOnce_ = isAtMostOnce;
    return call;
}

// Performs the call with a callback for the data, which must not be called for a torn head.
HttpResult performStreaming(HttpClient& client, HttpCall call)
{
    std::promise<HttpResult> done;
    std::atomic<bool> hadData { false };
    client.start(
        std::move(call), [&done](HttpResult result) { done.set_value(std::move(result)); },
        [&hadData](int, std::string_view) { hadData = true; });
    HttpResult result = done.get_future().get();
    CHECK(!hadData);
    return result;
}

// What the pool told about an exchange.
struct Exchanged {
    std::optional<OutboundResult> result_;
    bool hadHead_ = false;
};

Exchanged exchange(asio::io_context& io, OutboundPool& pool, const CuttingServer& server,
    const std::string& path, bool acceptsUnframed)
{
    Exchanged exchanged;
    OutboundRequest request { { asio::ip::address_v4::loopback(), server.port() }, {}, {} };
    request.head_.method_ = "GET";
    request.head_.target_ = path;
    request.acceptsUnframed_ = acceptsUnframed;
    OutboundCallbacks callbacks;
    callbacks.onHead_ = [&](const HttpHead&) { exchanged.hadHead_ = true; };
    callbacks.onEnd_ = [&](const OutboundResult& end) {
        exchanged.result_ = end;
        io.stop();
    };
    pool.send(std::move(request), std::move(callbacks));
    io.restart();
    io.run_for(std::chrono::seconds(5));
    return exchanged;
}

// Calls `visit` for each framing and each number of bytes that is less than the head.
void forEachCut(const std::function<void(std::size_t framing, std::size_t bytes)>& visit)
{
    for (std::size_t framing = 0; framing < framings().size(); ++framing) {
        for (std::size_t bytes = 0; bytes < framings()[framing].head_.size(); ++bytes)
            visit(framing, bytes);
    }
}

enum class Client { Plain, AtMostOnce, Streaming };

std::string findTakenForComplete(Client kind, bool resets, bool isReused)
{
    CuttingServer server(resets);
    HttpClient client;
    std::string taken;
    forEachCut([&](std::size_t framing, std::size_t bytes) {
        if (isReused)
            CHECK_EQUAL(std::string("ok"), client.perform(callOf(server, "/whole", false)).body_);
        HttpCall call = callOf(server, CuttingServer::path(framing, bytes), kind == Client::AtMostOnce);
        HttpResult result = kind == Client::Streaming ? performStreaming(client, std::move(call))
                                                      : client.perform(std::move(call));
        if (result.outcome_ != HttpResult::Outcome::Unknown || result.error_.empty())
            taken += fmt::format(
                "{}: status {}; ", describe(framings()[framing], bytes, resets), result.status_);
    });
    return taken;
}

void checkNoneIsTaken(Client kind)
{
    for (bool resets : { false, true }) {
        for (bool isReused : { false, true })
            CHECK_EQUAL(std::string(), findTakenForComplete(kind, resets, isReused));
    }
}

} // namespace

class TornHeads : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TornHeads);
    CPPUNIT_TEST(callOfASchedulerWithATornHeadHasAnUnknownOutcome);
    CPPUNIT_TEST(callThatRunsOnceWithATornHeadHasAnUnknownOutcome);
    CPPUNIT_TEST(streamOfAnEngineWithATornHeadHasAnUnknownOutcome);
    CPPUNIT_TEST(headersOfAnInterimResponseAreNotThoseOfTheResponse);
    CPPUNIT_TEST(responseWithAWholeHeadIsAnswered);
    CPPUNIT_TEST(exchangeOfAnEntryVmWithATornHeadHasAnUnknownOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    void callOfASchedulerWithATornHeadHasAnUnknownOutcome() { checkNoneIsTaken(Client::Plain); }

    void callThatRunsOnceWithATornHeadHasAnUnknownOutcome() { checkNoneIsTaken(Client::AtMostOnce); }

    void streamOfAnEngineWithATornHeadHasAnUnknownOutcome() { checkNoneIsTaken(Client::Streaming); }

    // The length of an interim response would frame a response that may be cut off.
    void headersOfAnInterimResponseAreNotThoseOfTheResponse()
    {
        asio::io_context io;
        ScriptedTarget server(io, [](const HttpHead&, const std::string&) {
            return TargetAction { "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\nX: early\r\n\r\n"
                                  "HTTP/1.1 200 OK\r\nY: late\r\n\r\nhalf of i",
                true };
        });
        std::thread thread([&io] { io.run(); });
        HttpClient client;
        HttpResult result = client.perform({ "GET", fmt::format("http://127.0.0.1:{}/", server.port()) });
        io.stop();
        thread.join();
        CHECK(result.outcome_ == HttpResult::Outcome::Unknown);
        CHECK_EQUAL(std::size_t { 0 }, result.headers_.count("x"));
        CHECK_EQUAL(std::string("late"), result.headers_["y"]);
    }

    void responseWithAWholeHeadIsAnswered()
    {
        for (const Framing& framing : framings()) {
            asio::io_context io;
            ScriptedTarget server(io, [&framing](const HttpHead&, const std::string&) {
                return TargetAction { framing.head_ + framing.rest_, true };
            });
            std::thread thread([&io] { io.run(); });
            HttpClient client;
            HttpResult result = client.perform({ "GET", fmt::format("http://127.0.0.1:{}/", server.port()) });
            io.stop();
            thread.join();
            CPPUNIT_ASSERT_MESSAGE(framing.name_, result.outcome_ == HttpResult::Outcome::Answered);
            CHECK_EQUAL(framing.rest_.empty() ? std::string() : body, result.body_);
        }
    }

    void exchangeOfAnEntryVmWithATornHeadHasAnUnknownOutcome()
    {
        for (bool resets : { false, true }) {
            CuttingServer server(resets);
            asio::io_context io;
            OutboundPool pool(io);
            forEachCut([&](std::size_t framing, std::size_t bytes) {
                for (bool isReused : { false, true }) {
                    for (bool acceptsUnframed : { false, true }) {
                        if (isReused) {
                            Exchanged first = exchange(io, pool, server, "/whole", acceptsUnframed);
                            CHECK(first.result_->outcome_ == OutboundResult::Outcome::Answered);
                        }
                        Exchanged torn = exchange(
                            io, pool, server, CuttingServer::path(framing, bytes), acceptsUnframed);
                        std::string what = describe(framings()[framing], bytes, resets);
                        CPPUNIT_ASSERT_MESSAGE(
                            what, torn.result_ && torn.result_->outcome_ == OutboundResult::Outcome::Unknown);
                        CPPUNIT_ASSERT_MESSAGE(what, !torn.hadHead_ && !torn.result_->hadHead_);
                        CHECK_EQUAL(isReused, torn.result_->wasReused_);
                    }
                }
            });
        }
    }
};

REGISTER_SUITE(TornHeads);
