// SocketBuffers, TcpLink and the sums of MemoryBudget: guards against callers that make the kernel hold more
// than the VM's memory.

#include "BootClock.h"
#include "FrontCaller.h"
#include "SocketBuffers.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

class SocketBounds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SocketBounds);
    CPPUNIT_TEST(readsAreNoLargerThanSet);
    CPPUNIT_TEST(readableLinkIsReadWhenToldTo);
    CPPUNIT_TEST(kernelHoldsNoMoreOfInputThanItsBuffersCost);
    CPPUNIT_TEST(costCountsBothBuffersAsTheKernelDoublesThem);
    CPPUNIT_TEST(budgetsLeaveMemoryForTheProcess);
    CPPUNIT_TEST(connectionsTakeAtMostTheirPartOfABudget);
    CPPUNIT_TEST(limitsThatAreNotKnownBoundNothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array<std::int64_t, 4> memories { 64, 88, 120, 260 };

public:
    void readsAreNoLargerThanSet()
    {
        asio::io_context io { 1 };
        asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
        FrontCaller caller(io, acceptor.local_endpoint().port());
        auto link = TcpLink::accepted(acceptor.accept());
        std::string received;
        std::size_t largest = 0;
        link->setCallbacks({ nullptr,
            [&](std::string_view data) {
                largest = std::max(largest, data.size());
                received.append(data);
            },
            nullptr });
        link->setMaxRead(100);
        std::string sent(1050, 'a');
        caller.send(sent);
        link->start();
        runLoopUntil(
            io, [] {}, [&] { return received.size() == sent.size(); });
        CHECK_EQUAL(std::size_t { 100 }, largest);
        link->setMaxRead(1000);
        caller.send(sent);
        runLoopUntil(
            io, [] {}, [&] { return received.size() == 2 * sent.size(); });
        CHECK_EQUAL(std::size_t { 1000 }, largest);
        link->close();
    }

    void readableLinkIsReadWhenToldTo()
    {
        asio::io_context io { 1 };
        asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
        FrontCaller caller(io, acceptor.local_endpoint().port());
        auto link = TcpLink::accepted(acceptor.accept());
        std::string received;
        int notices = 0;
        link->setCallbacks(
            { nullptr, [&](std::string_view data) { received.append(data); }, nullptr, [&] { ++notices; } });
        link->setMaxRead(2);
        link->start();
        caller.send("abcd");
        io.run_for(std::chrono::milliseconds(20));
        CHECK_EQUAL(1, notices);
        CHECK_EQUAL(std::string(), received);
        link->readNow();
        CHECK_EQUAL(std::string("ab"), received);
        io.restart();
        runLoopUntil(
            io, [] {}, [&] { return notices == 2; }); // For the rest.
        link->readNow();
        CHECK_EQUAL(std::string("abcd"), received);
        link->close();
    }

    void kernelHoldsNoMoreOfInputThanItsBuffersCost()
    {
        HoldingServer server;
        FrontCaller caller(server.io_, server.server_.port());
        server.runUntil([&] { return server.server_.connections() == 1; });
        auto end = bootNow() + Milliseconds { 100 };
        while (bootNow() < end)
            caller.fill(std::string(1000, 'a'));
        CHECK(server.server_.socketBytes().unread_ > 0);
        CHECK(server.server_.socketBytes().unread_ <= costOf(wideBuffers));
    }

    void costCountsBothBuffersAsTheKernelDoublesThem()
    {
        CHECK_EQUAL(std::size_t { 0 }, costOf(SocketBuffers {}));
        CHECK_EQUAL(std::size_t { 2 * (3000 + 500) }, costOf(SocketBuffers { 3000, 500 }));
        for (const SocketBuffers& buffers : { narrowBuffers, wideBuffers, outboundBuffers, storeBuffers })
            CHECK(costOfConnection(buffers) > costOf(buffers));
        CHECK(costOfConnection(narrowBuffers) < costOfConnection(wideBuffers));
    }

    void budgetsLeaveMemoryForTheProcess()
    {
        for (std::int64_t megabytes : memories) {
            std::size_t memory = static_cast<std::size_t>(megabytes) << 20;
            std::size_t textOfTurns = memory / 4;
            std::size_t monitoring = 2 * monitoringBudget().total_; // Readiness and metrics.
            std::size_t process = memory / 16; // With links to targets and the store.
            CHECK(callerBudget(megabytes).total_ + peerBudget(megabytes).total_ + monitoring + textOfTurns
                    + process
                < memory);
            CHECK(callerBudget(megabytes).forSmall_ < callerBudget(megabytes).total_);
            CHECK(callerBudget(megabytes).forWideBuffers_ < callerBudget(megabytes).total_);
        }
    }

    void connectionsTakeAtMostTheirPartOfABudget()
    {
        constexpr std::int64_t sockets = 8000;
        for (std::int64_t megabytes : memories) {
            MemoryBudget budget = callerBudget(megabytes);
            std::size_t connections = maxCallerConnections(sockets, budget);
            CHECK(connections > 0);
            CHECK(connections <= static_cast<std::size_t>(sockets) * 3 / 4);
            CHECK(connections * costOfConnection(narrowBuffers) <= budget.total_ / 2);
            for (const MemoryBudget& other : { peerBudget(megabytes), monitoringBudget() }) {
                CHECK(maxConnections(other) > 0);
                CHECK(maxConnections(other) * costOfConnection(narrowBuffers) < other.total_);
            }
        }
        CHECK_EQUAL(std::size_t { 6 }, maxCallerConnections(8, callerBudget(260)));
    }

    void limitsThatAreNotKnownBoundNothing()
    {
        CHECK_EQUAL(std::size_t { 0 }, callerBudget(0).total_);
        CHECK_EQUAL(std::size_t { 0 }, peerBudget(0).total_);
        CHECK_EQUAL(std::size_t { 0 }, maxConnections({}));
        CHECK_EQUAL(std::size_t { 0 }, maxCallerConnections(0, {}));
        CHECK_EQUAL(std::size_t { 600 }, maxCallerConnections(800, {}));
        CHECK(maxCallerConnections(0, callerBudget(64)) > 0);
    }
};

REGISTER_SUITE(SocketBounds);
