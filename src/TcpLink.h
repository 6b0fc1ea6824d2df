#pragma once

/** \file
 * TcpLink: one TCP connection in an event loop.
 *
 * It reads whenever there is something, also while nobody waits for data: that is how a peer's close is
 * noticed while its request is still being served. Writes go out at once as far as the socket takes them.
 */

#include "Types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fescue {

/** How a connection came to its end. */
enum class CloseReason {
    ConnectFailed, ///< It never stood; nothing was sent.
    ClosedByPeer, ///< The peer closed its direction.
    Reset, ///< Reset, timed out or failed otherwise.
};

/** A connection that keeps itself alive until it is closed. Not safe from several threads: all functions and
 * callbacks belong to the thread that runs the event loop. */
class TcpLink : public std::enable_shared_from_this<TcpLink> {
public:
    struct Callbacks {
        std::function<void()> onConnected_;
        std::function<void(std::string_view)> onData_;
        std::function<void(CloseReason)> onClosed_; ///< At most once; never called from `close`.
    };

    /** A connection that was accepted. */
    static std::shared_ptr<TcpLink> accepted(asio::ip::tcp::socket socket);
    /** A connection to be made. */
    static std::shared_ptr<TcpLink> create(asio::io_context& io);

    void setCallbacks(Callbacks callbacks);
    /** Starts to connect. */
    void connect(const asio::ip::tcp::endpoint& peer);
    /** Starts to read. */
    void start();
    /** Sends bytes, or queues what the socket does not take now. */
    void send(std::string_view data);
    /** Bytes that were queued and not yet taken by the socket. */
    std::size_t queuedBytes() const { return output_.size() - sent_; }
    /** Stops or resumes reading, for back pressure. */
    void pauseReading(bool isPaused);
    /** Closes after what is queued has been written. */
    void closeAfterFlush();
    /** Closes now; no callback follows. With `isAborting` the peer sees a reset. */
    void close(bool isAborting = false);
    bool isOpen() const { return isOpen_; }

private:
    explicit TcpLink(asio::ip::tcp::socket socket);
    explicit TcpLink(asio::io_context& io);
    void awaitReadable();
    void read();
    void awaitWritable();
    void flush();
    void end(CloseReason how);

    asio::ip::tcp::socket socket_;
    Callbacks callbacks_;
    std::string output_;
    std::size_t sent_ = 0;
    bool isOpen_ = false;
    bool isReading_ = false;
    bool isPaused_ = false;
    bool isWriting_ = false;
    bool isClosingAfterFlush_ = false;
};

/** Parses `ip:port`. Pure. Nothing when it is not an IPv4 address with a port. */
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);

} // namespace fescue
