// Guards against an answer without a length that counts as complete although its connection was reset while
// the request was still being written: the failed write consumes the error, so the read sees an orderly end.

#include "EventLoop.h"
#include "OutboundPool.h"
#include "Suite.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

using asio::ip::tcp;

struct Upload {
    std::size_t bodyBytes_;
    Milliseconds untilReset_; ///< From the answer.
    std::size_t readBytes_; ///< Of the request, before the answer.
};

const std::string partOfAnswer
    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: one\n\n";

// The target answers before it has read the body, and resets the connection later.
void answerAndReset(tcp::acceptor& acceptor, const Upload& upload)
{
    tcp::socket peer(acceptor.get_executor());
    acceptor.accept(peer);
    std::string request(upload.readBytes_, '\0');
    asio::error_code error;
    asio::read(peer, asio::buffer(request), error);
    asio::write(peer, asio::buffer(partOfAnswer), error);
    std::this_thread::sleep_for(upload.untilReset_);
    peer.set_option(tcp::socket::linger(true, 0));
    peer.close();
}

OutboundResult send(const Upload& upload)
{
    asio::io_context targetIo;
    tcp::acceptor acceptor(targetIo, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::thread target([&] { answerAndReset(acceptor, upload); });
    asio::io_context io;
    OutboundPool pool(io);
    OutboundRequest request { acceptor.local_endpoint(), {}, std::string(upload.bodyBytes_, 'x') };
    request.head_.method_ = "POST";
    request.head_.target_ = "/";
    request.acceptsUnframed_ = true;
    std::optional<OutboundResult> result;
    OutboundCallbacks callbacks;
    callbacks.onEnd_ = [&](const OutboundResult& end) { result = end; };
    pool.send(std::move(request), std::move(callbacks));
    runLoopUntil(
        io, [] {}, [&] { return result.has_value(); });
    target.join();
    return *result;
}

} // namespace

class InterruptedUploads : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InterruptedUploads);
    CPPUNIT_TEST(answerThatIsResetDuringTheUploadIsNotComplete);
    CPPUNIT_TEST(answerThatIsResetAfterTheUploadIsNotComplete);
    CPPUNIT_TEST_SUITE_END();

    static void checkNotComplete(const Upload& upload)
    {
        constexpr int rounds = 5;
        for (int i = 0; i < rounds; ++i) {
            OutboundResult result = send(upload);
            CHECK(result.outcome_ == OutboundResult::Outcome::Unknown);
            CHECK(result.connectionEnd_ == OutboundResult::ConnectionEnd::Reset);
        }
    }

public:
    void answerThatIsResetDuringTheUploadIsNotComplete()
    {
        constexpr std::size_t kibi = 1024;
        // More than the buffers of the sockets hold, from some of them on.
        for (std::size_t bodyBytes : { 64 * kibi, 3000 * kibi, 4000 * kibi, 8192 * kibi, 32768 * kibi }) {
            for (int ms : { 0, 20, 100 }) {
                for (std::size_t readBytes : { 16 * kibi, 60 * kibi })
                    checkNotComplete({ bodyBytes, Milliseconds { ms }, readBytes });
            }
        }
    }

    void answerThatIsResetAfterTheUploadIsNotComplete() { checkNotComplete({ 0, Milliseconds { 20 }, 20 }); }
};

REGISTER_SUITE(InterruptedUploads);
