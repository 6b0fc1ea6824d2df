// OutboundConnection: guards against a pause of one exchange that outlasts it, on a connection that carries
// later requests.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "EventLoop.h"
#include "OutboundPool.h"

#include <asio/write.hpp>
#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr std::size_t bodyBytes = 1000;

std::string response()
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", bodyBytes)
        + std::string(bodyBytes, 'b');
}

// A pool and a server on one event loop.
struct Bench {
    explicit Bench(bool closes)
        : server_(io_,
            [closes](const HttpHead&, const std::string&) {
                return TargetAction { response(), closes };
            })
        , pool_(io_)
    {
    }

    // Performs an exchange, and pauses its reading when its body comes if `pauses`. Returns its result; the
    // default one if it has not ended within a second.
    OutboundResult perform(bool pauses)
    {
        OutboundRequest request;
        request.peer_ = { asio::ip::address_v4::loopback(), server_.port() };
        request.head_.method_ = "GET";
        request.head_.target_ = "/";
        OutboundCallbacks callbacks;
        std::shared_ptr<OutboundCall> call;
        std::optional<OutboundResult> result;
        callbacks.onBody_ = [&](const std::string&) {
            if (pauses)
                call->pauseReading(true);
        };
        callbacks.onEnd_ = [&](const OutboundResult& end) { result = end; };
        call = pool_.send(std::move(request), std::move(callbacks));
        MonotonicTime deadline = bootNow() + Milliseconds { 1000 };
        runLoopUntil(
            io_, [] {}, [&] { return result || bootNow() > deadline; });
        if (!result)
            call->cancel();
        return result.value_or(OutboundResult {});
    }

    void runFor(Milliseconds time)
    {
        io_.run_for(time);
        io_.restart();
    }

    asio::io_context io_;
    ScriptedTarget server_;
    OutboundPool pool_;
};

} // namespace

class PooledConnections : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PooledConnections);
    CPPUNIT_TEST(requestAfterAPausedResponseIsAnswered);
    CPPUNIT_TEST(closeAfterAPausedResponseIsNoticed);
    CPPUNIT_TEST(pauseInACallbackStopsReading);
    CPPUNIT_TEST(pauseAfterAResumptionInACallbackStopsReading);
    CPPUNIT_TEST(pauseOutsideOfCallbacksStopsReading);
    CPPUNIT_TEST_SUITE_END();

    using Action = std::function<void(OutboundCall&)>;

    // Receives a response in two parts, with `onPart` in the callback of the first one and `afterPart` once
    // it has returned. Returns how many parts came until
    // reading is resumed.
    static int partsOfPaused(const Action& onPart, const Action& afterPart)
    {
        asio::io_context io;
        asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
        OutboundPool pool(io);
        OutboundRequest request;
        request.peer_ = acceptor.local_endpoint();
        request.head_.method_ = "GET";
        request.head_.target_ = "/";
        int parts = 0;
        std::shared_ptr<OutboundCall> call;
        OutboundCallbacks callbacks;
        callbacks.onBody_ = [&](const std::string&) {
            if (++parts == 1 && onPart)
                onPart(*call);
        };
        call = pool.send(std::move(request), std::move(callbacks));
        asio::ip::tcp::socket server(io);
        acceptor.accept(server);
        asio::write(
            server, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")));
        runLoopUntil(
            io, [] {}, [&] { return parts > 0; });
        if (afterPart)
            afterPart(*call);
        asio::write(server, asio::buffer(std::string_view("more")));
        io.run_for(Milliseconds { 50 });
        io.restart();
        int partsWhilePaused = parts;
        call->pauseReading(false);
        runLoopUntil(
            io, [] {}, [&] { return parts == 2; });
        call->cancel();
        return partsWhilePaused;
    }

public:
    void requestAfterAPausedResponseIsAnswered()
    {
        Bench bench(false);
        for (int i = 0; i < 3; ++i) {
            OutboundResult result = bench.perform(true);
            CHECK(result.outcome_ == OutboundResult::Outcome::Answered);
            CHECK_EQUAL(i > 0, result.wasReused_);
        }
    }

    void closeAfterAPausedResponseIsNoticed()
    {
        Bench bench(true);
        for (int i = 0; i < 3; ++i) {
            OutboundResult result = bench.perform(true);
            CHECK(result.outcome_ == OutboundResult::Outcome::Answered);
            CHECK(!result.wasReused_);
            bench.runFor(Milliseconds { 20 });
        }
    }

    void pauseInACallbackStopsReading()
    {
        CHECK_EQUAL(1, partsOfPaused([](OutboundCall& call) { call.pauseReading(true); }, nullptr));
    }

    void pauseAfterAResumptionInACallbackStopsReading()
    {
        auto pauseTwice = [](OutboundCall& call) {
            call.pauseReading(true);
            call.pauseReading(false);
            call.pauseReading(true);
        };
        CHECK_EQUAL(1, partsOfPaused(pauseTwice, nullptr));
    }

    void pauseOutsideOfCallbacksStopsReading()
    {
        CHECK_EQUAL(1, partsOfPaused(nullptr, [](OutboundCall& call) { call.pauseReading(true); }));
    }
};

REGISTER_SUITE(PooledConnections);
