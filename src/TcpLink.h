#pragma once

/** \file
 * TcpLink: a TCP connection on an event loop.
 *
 * It always reads available data, even when no data is expected, so that it detects a peer that closes the
 * connection while its request is being served. Writes are sent immediately as far as the socket accepts
 * them.
 */

#include "SocketBuffers.h"
#include "Types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fescue {

/** The most bytes that are read from a connection at a time. */
constexpr std::size_t maxReadBytes = 64 * 1024;

/** Sets the sizes of the buffers of a socket, connected or not, or of a listening one. Where the operating
 * system refuses them, the socket works with those that it has. */
template <typename Socket> void setBufferSizes(Socket& socket, const SocketBuffers& buffers)
{
    asio::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(buffers.receive_), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(buffers.send_), ignored);
}

/** Why a connection ended. */
enum class CloseReason {
    ConnectFailed, ///< The connection was never established; nothing was sent.
    ClosedByPeer, ///< The peer closed its side in order, and no write had failed before.
    Reset, ///< Reset by the peer, timed out or failed otherwise, as a read or a write has met it.
};

/** Bytes that the kernel holds for connections. They count towards the memory of the VM. */
struct SocketBytes {
    std::size_t unread_ = 0; ///< Received, and not read by this process yet.
    std::size_t unsent_ = 0; ///< Written by this process, and not acknowledged by the peer yet.

    SocketBytes& operator+=(const SocketBytes& other)
    {
        unread_ += other.unread_;
        unsent_ += other.unsent_;
        return *this;
    }
};

/** A connection that keeps itself alive until it is closed. Not thread-safe: all functions must be called,
 * and all callbacks are invoked, on the thread that runs the event loop. */
class TcpLink : public std::enable_shared_from_this<TcpLink> {
public:
    struct Callbacks {
        std::function<void()> onConnected_;
        std::function<void(std::string_view)> onData_;
        std::function<void(CloseReason)> onClosed_; ///< At most once; never called from `close`.
        /** Bytes or the end of the connection can be read, by `readNow`. Without it they are read at once. */
        std::function<void()> onReadable_;
    };

    /** Wraps an accepted socket. Its buffers are those of the listening socket. */
    static std::shared_ptr<TcpLink> accepted(asio::ip::tcp::socket socket);
    /** Creates an unconnected link; `connect` follows. */
    static std::shared_ptr<TcpLink> create(
        asio::io_context& io, const SocketBuffers& buffers = outboundBuffers);

    void setCallbacks(Callbacks callbacks);
    /** Starts to connect; reading starts once connected. */
    void connect(const asio::ip::tcp::endpoint& peer);
    /** Starts to read from an accepted connection. */
    void start();
    /** Writes bytes, and queues what the socket does not accept immediately. */
    void send(std::string_view data);
    /** Sets the sizes of the buffers of an accepted connection. */
    void setBuffers(const SocketBuffers& buffers);
    /** Bytes queued and not yet written to the socket. */
    std::size_t queuedBytes() const { return output_.size() - sent_; }
    /** Pauses or resumes reading, for backpressure. */
    void pauseReading(bool isPaused);
    /** Reads at most so many bytes at a time. Precondition: at least 1. */
    void setMaxRead(std::size_t bytes) { maxRead_ = bytes; }
    /** Reads what has come unless reading is paused, and then waits for more. */
    void readNow();
    /** Closes the connection once all queued bytes have been written. */
    void closeAfterFlush();
    /** Closes immediately; no callback is invoked afterwards. With `isAborting` the peer receives a reset. */
    void close(bool isAborting = false);
    /** Writes of this process that have failed. Thread-safe. */
    static std::uint64_t writeErrors();
    bool isOpen() const { return isOpen_; }
    /** Whether a write has failed, so that nothing sent from now on arrives. The next read reports the end.
     */
    bool hasWriteFailed() const { return hasWriteFailed_; }
    /** Whether the peer has neither closed nor reset the connection, as the operating system knows it now,
     * before the end is read. */
    bool isPeerOpen();
    /** Sends what is queued and then the end of this side; reading goes on, so that a peer that still sends
     * receives what was sent before. `close` must follow. */
    void finishSending();
    /** What the kernel holds for this connection; nothing if the operating system does not tell. */
    SocketBytes socketBytes();

private:
    explicit TcpLink(asio::ip::tcp::socket socket);
    TcpLink(asio::io_context& io, const SocketBuffers& buffers);
    void awaitReadable();
    void read();
    void awaitWritable();
    void flush();
    void end(CloseReason reason);

    asio::ip::tcp::socket socket_;
    SocketBuffers buffers_; ///< Of a connection that this process opens.
    Callbacks callbacks_;
    std::string output_;
    std::size_t sent_ = 0;
    std::size_t maxRead_ = maxReadBytes;
    bool isOpen_ = false;
    bool isReading_ = false;
    bool isPaused_ = false;
    bool isWriting_ = false;
    bool isClosingAfterFlush_ = false;
    bool isFinishing_ = false;
    bool hasWriteFailed_ = false;
};

/** Parses `ip:port`. Returns nothing unless it is an IPv4 address with a port other than 0. Pure. */
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);

} // namespace fescue
