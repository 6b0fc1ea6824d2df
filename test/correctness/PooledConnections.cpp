// Guards against a pause of one exchange that outlasts it, on a connection that carries later requests.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "EventLoop.h"
#include "OutboundPool.h"

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
    CPPUNIT_TEST_SUITE_END();

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
};

REGISTER_SUITE(PooledConnections);
