// FrontTurnsImpl and the accepting part of FrontServer: guards against callers that keep the event loop to
// themselves.

#include "FrontCaller.h"
#include "Suite.h"

#include <asio/steady_timer.hpp>
#include <chrono>

using namespace fescue;
using namespace fescue::test;

namespace {

// Longer than half of a slice, so that few of them fit into one.
constexpr std::chrono::milliseconds handlingTime { 1 };

void spin(std::chrono::milliseconds time)
{
    auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) { }
}

// A server that answers each request after some work, and notes their paths.
struct BusyServer {
    asio::io_context io_ { 1 };
    std::vector<std::string> served_;
    std::unique_ptr<FrontServer> server_;

    BusyServer()
        : server_(std::make_unique<FrontServer>(
            io_, "127.0.0.1:0",
            [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                spin(handlingTime);
                served_.push_back(request.head_.target_);
                reply->answer(headOf(200), "ok");
            },
            ignoreRejection))
    {
    }

    std::size_t served(const std::string& path) const
    {
        return static_cast<std::size_t>(std::count(served_.begin(), served_.end(), path));
    }

    template <typename Condition> void runUntil(const Condition& holds)
    {
        runLoopUntil(
            io_, [] {}, holds);
    }
};

// Callers that wait for their turns while the first of them is served.
std::vector<std::unique_ptr<FrontCaller>> connectCrowd(BusyServer& server)
{
    std::vector<std::unique_ptr<FrontCaller>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<FrontCaller>(server.io_, server.server_->port()));
        callers.back()->send(requestsFor("/a", 10));
    }
    server.runUntil([&] { return !server.served_.empty(); });
    return callers;
}

} // namespace

class FrontTurns : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FrontTurns);
    CPPUNIT_TEST(sessionThatIsAlwaysReadableLeavesTimersTheirTurn);
    CPPUNIT_TEST(sessionThatIsAlwaysReadableLeavesOthersTheirTurn);
    CPPUNIT_TEST(sessionsTakeTurnsRequestByRequest);
    CPPUNIT_TEST(connectionsThatWaitTogetherAreAcceptedTogether);
    CPPUNIT_TEST(connectionBeyondTheLimitWaitsUntilNewOnesHaveHadATurn);
    CPPUNIT_TEST(callerBeyondTheLimitIsRefusedAheadOfThoseThatAreServed);
    CPPUNIT_TEST(refusedCallersLeaveNoPlacesForMoreThanTheLimit);
    CPPUNIT_TEST(silentCallersBeyondTheLimitGiveWay);
    CPPUNIT_TEST(callerThatReadsNoAnswersGivesWayWhereTheseMayBeLost);
    CPPUNIT_TEST(answerLeavesTheNextRequestToATurn);
    CPPUNIT_TEST(sessionsThatAwaitTheirTurnsEndWithTheirServer);
    CPPUNIT_TEST(closedSessionsThatAwaitTheirTurnsAreDropped);
    CPPUNIT_TEST_SUITE_END();

    // Requests that one slice may serve, and one that begins at its end.
    static constexpr std::size_t maxOfSlice = 3;
    static constexpr std::size_t manyRequests = 300;

public:
    void sessionThatIsAlwaysReadableLeavesTimersTheirTurn()
    {
        BusyServer server;
        FrontCaller caller(server.io_, server.server_->port());
        caller.send(requestsFor("/a", manyRequests));
        asio::steady_timer timer(server.io_);
        std::size_t before = 0;
        std::size_t most = 0;
        std::function<void()> wait = [&] {
            timer.expires_after(std::chrono::milliseconds(0));
            timer.async_wait([&](const asio::error_code&) {
                most = std::max(most, server.served_.size() - before);
                before = server.served_.size();
                wait();
            });
        };
        wait();
        server.runUntil([&] { return server.served_.size() >= manyRequests / 2; });
        CHECK(most <= 2 * maxOfSlice);
    }

    void sessionThatIsAlwaysReadableLeavesOthersTheirTurn()
    {
        BusyServer server;
        FrontCaller busy(server.io_, server.server_->port());
        busy.send(requestsFor("/busy", manyRequests));
        server.runUntil([&] { return server.served("/busy") > 0; });
        FrontCaller ordinary(server.io_, server.server_->port());
        ordinary.send(requestFor("/ordinary"));
        std::size_t before = server.served("/busy");
        server.runUntil([&] { return server.served("/ordinary") == 1; });
        // It is accepted, becomes readable and takes its turn, each after one slice.
        constexpr std::size_t slices = 5;
        CHECK(server.served("/busy") - before <= slices * maxOfSlice);
    }

    void sessionsTakeTurnsRequestByRequest()
    {
        BusyServer server;
        FrontCaller first(server.io_, server.server_->port());
        FrontCaller second(server.io_, server.server_->port());
        FrontCaller third(server.io_, server.server_->port());
        first.send(requestsFor("/0", manyRequests));
        second.send(requestsFor("/1", manyRequests));
        third.send(requestsFor("/2", manyRequests));
        server.runUntil(
            [&] { return server.served("/0") + server.served("/1") + server.served("/2") >= 90; });
        for (const char* path : { "/0", "/1", "/2" }) {
            CHECK(server.served(path) >= 20);
            CHECK(server.served(path) <= 40);
        }
    }

    // Each of them would wait for a round of its own behind those that are busy.
    void connectionsThatWaitTogetherAreAcceptedTogether()
    {
        BusyServer server;
        FrontCaller busy(server.io_, server.server_->port());
        busy.send(requestsFor("/busy", manyRequests));
        server.runUntil([&] { return server.served("/busy") > 0; });
        constexpr std::size_t count = 40;
        std::vector<std::unique_ptr<FrontCaller>> callers;
        for (std::size_t i = 0; i < count; ++i)
            callers.push_back(std::make_unique<FrontCaller>(server.io_, server.server_->port()));
        std::size_t before = server.served("/busy");
        server.runUntil([&] { return server.server_->connections() == count + 1; });
        constexpr std::size_t slices = 3;
        CHECK(server.served("/busy") - before <= slices * maxOfSlice);
    }

    void connectionBeyondTheLimitWaitsUntilNewOnesHaveHadATurn()
    {
        BusyServer server;
        FrontLimits limits;
        limits.maxConnections_ = 2;
        server.server_->setLimits(limits);
        constexpr std::size_t count = 10;
        std::vector<std::unique_ptr<FrontCaller>> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(std::make_unique<FrontCaller>(server.io_, server.server_->port()));
            callers.back()->send(requestFor("/a"));
        }
        server.runUntil([&] { return server.served_.size() == count; });
        for (const auto& caller : callers)
            CHECK_EQUAL(std::size_t { 0 }, caller->received().find("HTTP/1.1 200 OK"));
        CHECK(server.server_->connections() <= limits.maxConnections_);
    }

    // Guards against refused callers that keep the few places for them while they wait behind a crowd: those
    // who came later were closed without an answer.
    void callerBeyondTheLimitIsRefusedAheadOfThoseThatAreServed()
    {
        constexpr std::size_t count = 60;
        BusyServer server;
        FrontLimits limits;
        limits.maxConnections_ = count;
        server.server_->setLimits(limits);
        std::vector<std::unique_ptr<FrontCaller>> callers;
        for (std::size_t i = 0; i < count; ++i)
            callers.push_back(std::make_unique<FrontCaller>(server.io_, server.server_->port()));
        server.runUntil([&] { return server.server_->connections() == count; });
        int rounds = 0;
        server.runUntil([&] { return ++rounds > 20; }); // Their first turns are over.
        for (const auto& caller : callers)
            caller->send(requestFor("/a"));
        FrontCaller refused(server.io_, server.server_->port());
        server.runUntil([&] { return server.server_->connections() == count + 1; });
        refused.send(requestFor("/refused"));
        std::size_t before = server.served_.size();
        server.runUntil([&] { return !refused.received().empty(); });
        CHECK_EQUAL(std::size_t { 0 }, refused.received().find("HTTP/1.1 503 "));
        constexpr std::size_t slices = 4;
        CHECK(server.served_.size() - before <= slices * maxOfSlice);
    }

    // Guards against callers that are served in the places of refused ones, until all who come are closed
    // without an answer.
    void refusedCallersLeaveNoPlacesForMoreThanTheLimit()
    {
        HoldingServer server;
        FrontLimits limits;
        limits.maxConnections_ = 4;
        server.server_.setLimits(limits);
        std::vector<std::unique_ptr<FrontCaller>> callers;
        constexpr std::size_t count = 100;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(std::make_unique<FrontCaller>(server.io_, server.server_.port()));
            FrontCaller& caller = *callers.back();
            caller.send(requestFor("/a"));
            if (i < limits.maxConnections_) {
                server.runUntil([&] { return server.open_.size() == i + 1; });
                continue;
            }
            server.runUntil([&] { return !caller.received().empty() || server.open_.size() > 4; });
            CHECK_EQUAL(limits.maxConnections_, server.open_.size());
            CHECK_EQUAL(std::size_t { 0 }, caller.received().find("HTTP/1.1 503 "));
        }
    }

    // Guards against callers beyond the limit that stay silent, and keep others from a refusal.
    void silentCallersBeyondTheLimitGiveWay()
    {
        HoldingServer server;
        FrontLimits limits;
        limits.maxConnections_ = 1;
        server.server_.setLimits(limits);
        FrontCaller served(server.io_, server.server_.port());
        served.send(requestFor("/a"));
        server.runUntil([&] { return server.open_.size() == 1; });
        std::vector<std::unique_ptr<FrontCaller>> silent;
        constexpr std::size_t count = 64;
        for (std::size_t i = 0; i < count; ++i)
            silent.push_back(std::make_unique<FrontCaller>(server.io_, server.server_.port()));
        server.runUntil([&] { return server.server_.connections() == count + 1; });
        FrontCaller ordinary(server.io_, server.server_.port());
        ordinary.send(requestFor("/b"));
        server.runUntil([&] { return !ordinary.received().empty() || ordinary.readToEnd(); });
        CHECK_EQUAL(std::size_t { 0 }, ordinary.received().find("HTTP/1.1 503 "));
    }

    void callerThatReadsNoAnswersGivesWayWhereTheseMayBeLost()
    {
        for (bool mayBeLost : { false, true }) {
            HoldingServer server;
            FrontLimits limits;
            limits.maxConnections_ = 1;
            limits.displacesBusy_ = mayBeLost;
            server.server_.setLimits(limits);
            FrontCaller silent(server.io_, server.server_.port());
            silent.send(requestFor("/a"));
            constexpr std::size_t moreThanSocketsTake = 16 << 20;
            server.next()->answer(headOf(200), std::string(moreThanSocketsTake, 'b'));
            FrontCaller ordinary(server.io_, server.server_.port());
            ordinary.send(requestFor("/b"));
            if (mayBeLost)
                server.next()->answer(headOf(200), "ok");
            server.runUntil([&] { return !ordinary.received().empty(); });
            std::string status = mayBeLost ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable";
            CHECK_EQUAL(std::size_t { 0 }, ordinary.received().find(status));
        }
    }

    // Handlers would nest without a bound if the end of one request began the next.
    void answerLeavesTheNextRequestToATurn()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        caller.send(requestsFor("/a", 2));
        server.next()->answer(headOf(200), "ok");
        CHECK(server.open_.empty());
        server.next()->answer(headOf(200), "ok");
    }

    void sessionsThatAwaitTheirTurnsEndWithTheirServer()
    {
        BusyServer server;
        auto callers = connectCrowd(server);
        std::size_t before = server.served_.size();
        server.server_.reset();
        server.io_.run_for(std::chrono::milliseconds(20));
        CHECK_EQUAL(before, server.served_.size());
        CHECK(server.io_.stopped()); // Nothing is left to do.
    }

    void closedSessionsThatAwaitTheirTurnsAreDropped()
    {
        BusyServer server;
        auto callers = connectCrowd(server);
        std::size_t before = server.served_.size();
        server.server_->shutDown();
        server.runUntil([&] { return server.server_->connections() == 0; });
        CHECK_EQUAL(before, server.served_.size());
    }
};

REGISTER_SUITE(FrontTurns);
