// Guards against a connection that was reset and is reported as closed in order: the operating system reports
// an error once, and a write may have met it before the next read.

#include "EventLoop.h"
#include "TcpLink.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

using namespace fescue;
using namespace fescue::test;

namespace {

using asio::ip::tcp;

const std::string answer = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: one\n\n";

// How a link ended, and what it had received by then.
struct LinkEnd {
    std::string received_;
    std::optional<CloseReason> reason_;
};

// Sends `size` bytes to a peer that reads little of them, answers, and then ends the connection.
LinkEnd sendToPeerThat(const std::function<void(tcp::socket&)>& endsConnection, std::size_t size)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    auto link = TcpLink::create(io);
    LinkEnd end;
    link->setCallbacks({ [&] { link->send(std::string(size, 'x')); },
        [&end](std::string_view data) { end.received_ += data; },
        [&end](CloseReason reason) { end.reason_ = reason; } });
    link->connect(acceptor.local_endpoint());
    tcp::socket peer(io);
    acceptor.accept(peer);
    runLoopUntil(
        io, [] {}, [&] { return peer.available() > 0; });
    asio::write(peer, asio::buffer(answer));
    runLoopUntil(
        io, [] {}, [&] { return end.received_ == answer; });
    endsConnection(peer);
    runLoopUntil(
        io, [] {}, [&] { return end.reason_.has_value(); });
    return end;
}

void reset(tcp::socket& peer)
{
    peer.set_option(tcp::socket::linger(true, 0));
    peer.close();
}

// Far more than the buffers of both sockets hold.
constexpr std::size_t unsentBytes = 32 * 1024 * 1024;

} // namespace

class LinkEnds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LinkEnds);
    CPPUNIT_TEST(resetThatAWriteHasMetIsAReset);
    CPPUNIT_TEST(closeWithUnreadBytesIsAReset);
    CPPUNIT_TEST(resetWithoutAWriteIsAReset);
    CPPUNIT_TEST(orderlyCloseIsAClose);
    CPPUNIT_TEST(openPeerIsKnownWithoutARead);
    CPPUNIT_TEST_SUITE_END();

public:
    void resetThatAWriteHasMetIsAReset()
    {
        constexpr int rounds = 20;
        for (int i = 0; i < rounds; ++i) {
            LinkEnd end = sendToPeerThat(reset, unsentBytes);
            CHECK(end.reason_ == CloseReason::Reset);
            CHECK_EQUAL(answer, end.received_);
        }
    }

    // So a process ends that has not read all of a request.
    void closeWithUnreadBytesIsAReset()
    {
        constexpr int rounds = 20;
        for (int i = 0; i < rounds; ++i) {
            for (std::size_t size : { std::size_t { 100 }, unsentBytes })
                CHECK(sendToPeerThat([](tcp::socket& peer) { peer.close(); }, size).reason_
                    == CloseReason::Reset);
        }
    }

    void resetWithoutAWriteIsAReset() { CHECK(sendToPeerThat(reset, 100).reason_ == CloseReason::Reset); }

    void orderlyCloseIsAClose()
    {
        auto readAndClose = [](tcp::socket& peer) {
            std::string bytes(peer.available(), ' ');
            asio::read(peer, asio::buffer(bytes));
            peer.close();
        };
        CHECK(sendToPeerThat(readAndClose, 100).reason_ == CloseReason::ClosedByPeer);
    }

    void openPeerIsKnownWithoutARead()
    {
        asio::io_context io;
        tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        auto link = TcpLink::create(io);
        bool isConnected = false;
        link->setCallbacks({ [&] { isConnected = true; }, nullptr, nullptr });
        link->connect(acceptor.local_endpoint());
        tcp::socket peer(io);
        acceptor.accept(peer);
        runLoopUntil(
            io, [] {}, [&] { return isConnected; });
        CHECK(link->isPeerOpen());
        asio::write(peer, asio::buffer(answer));
        CHECK(link->isPeerOpen());
        peer.close();
        CHECK(!link->isPeerOpen() && link->isOpen());
    }
};

REGISTER_SUITE(LinkEnds);
