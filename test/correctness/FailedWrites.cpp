// Guards against a connection that is used again although a write to it has failed: a request that is sent on
// it would count as one that may have run.

#include "EventLoop.h"
#include "OutboundPool.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

using namespace fescue;
using namespace fescue::test;

namespace {

using asio::ip::tcp;

OutboundRequest requestTo(const tcp::endpoint& peer, std::string body)
{
    OutboundRequest request { peer, {}, std::move(body) };
    request.head_.method_ = "POST";
    request.head_.target_ = "/";
    return request;
}

} // namespace

class FailedWrites : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FailedWrites);
    CPPUNIT_TEST(connectionWithAFailedWriteIsNotUsedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void connectionWithAFailedWriteIsNotUsedAgain()
    {
        constexpr std::size_t unsentBytes
            = 32 * 1024 * 1024; // Far more than the buffers of the sockets hold.
        constexpr int rounds = 20;
        for (int i = 0; i < rounds; ++i) {
            asio::io_context io;
            tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            OutboundPool pool(io);
            std::optional<OutboundResult> first;
            std::optional<OutboundResult> second;
            OutboundCallbacks callbacks;
            callbacks.onEnd_ = [&](const OutboundResult& end) {
                first = end;
                OutboundCallbacks next;
                next.onEnd_ = [&](const OutboundResult& nextEnd) { second = nextEnd; };
                pool.send(requestTo(acceptor.local_endpoint(), "next"), std::move(next));
            };
            pool.send(
                requestTo(acceptor.local_endpoint(), std::string(unsentBytes, 'x')), std::move(callbacks));
            tcp::socket peer(io);
            acceptor.accept(peer);
            runLoopUntil(
                io, [] {}, [&] { return peer.available() > 0; });
            // Answers before it has read the request, and ends the connection, all before the next read.
            asio::write(peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
            peer.set_option(tcp::socket::linger(true, 0));
            peer.close();
            runLoopUntil(
                io, [] {}, [&] { return first.has_value(); });
            if (first->outcome_ != OutboundResult::Outcome::Answered)
                continue; // The read has met the reset.
            tcp::socket other(io);
            bool hasOther = false;
            acceptor.async_accept(other, [&hasOther](const asio::error_code& error) { hasOther = !error; });
            runLoopUntil(
                io, [] {}, [&] { return second.has_value() || hasOther; });
            CHECK(hasOther && !second);
        }
    }
};

REGISTER_SUITE(FailedWrites);
