#pragma once

/** \file
 * FrontCaller: a `FrontServer` and its callers in one process and on one thread.
 */

#include "EventLoop.h"
#include "FrontServer.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <optional>

namespace fescue::test {

/** A caller on the thread of the server, which therefore never waits. */
class FrontCaller {
public:
    /** `receiveBuffer` sets the size of the socket's receive buffer; 0 leaves the default. */
    FrontCaller(asio::io_context& io, std::uint16_t port, int receiveBuffer = 0)
        : socket_(io, asio::ip::tcp::v4())
    {
        if (receiveBuffer > 0)
            socket_.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        socket_.connect({ asio::ip::address_v4::loopback(), port });
        socket_.non_blocking(true);
    }

    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }

    /** Sends as much as the sockets take. */
    void fill(const std::string& bytes)
    {
        asio::error_code error;
        while (!error)
            socket_.write_some(asio::buffer(bytes), error);
    }

    /** All that has come so far. */
    const std::string& received()
    {
        std::array<char, 65536> buffer {};
        asio::error_code error;
        while (!error) {
            std::size_t size = socket_.read_some(asio::buffer(buffer), error);
            text_.append(buffer.data(), size);
        }
        if (error != asio::error::would_block && !end_)
            end_ = error; // The operating system reports it once.
        return text_;
    }

    /** Reads all that has come. Returns how the connection has ended; nothing while it is open. */
    const std::optional<asio::error_code>& readToEnd()
    {
        received();
        return end_;
    }

    void reset()
    {
        socket_.set_option(asio::ip::tcp::socket::linger(true, 0));
        socket_.close();
    }

private:
    asio::ip::tcp::socket socket_;
    std::string text_;
    std::optional<asio::error_code> end_;
};

inline std::string requestFor(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n";
}

inline std::string requestsFor(const std::string& path, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += requestFor(path);
    return text;
}

inline HttpHead headOf(int status)
{
    HttpHead head;
    head.status_ = status;
    return head;
}

inline void ignoreRejection(int /*status*/, const char* /*reason*/, const HttpHead* /*head*/) { }

/** A server whose requests wait until the test answers them. */
struct HoldingServer {
    asio::io_context io_ { 1 };
    std::vector<std::pair<std::string, std::shared_ptr<FrontReply>>> open_; ///< With their paths.
    FrontServer server_;

    HoldingServer()
        : server_(
            io_, "127.0.0.1:0",
            [this](const FrontRequest& request, std::shared_ptr<FrontReply> reply) {
                open_.emplace_back(request.head_.target_, std::move(reply));
            },
            ignoreRejection)
    {
    }

    template <typename Condition> void runUntil(const Condition& holds)
    {
        runLoopUntil(
            io_, [] {}, holds);
    }

    /** Waits for a request, and returns its reply. */
    std::shared_ptr<FrontReply> next()
    {
        runUntil([this] { return !open_.empty(); });
        auto reply = std::move(open_.front().second);
        open_.erase(open_.begin());
        return reply;
    }
};

} // namespace fescue::test
