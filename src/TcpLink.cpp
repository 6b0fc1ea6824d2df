#include "TcpLink.h"

#include <array>
#include <asio/error.hpp>
#include <atomic>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace fescue {

namespace {

    using asio::ip::tcp;
    using ErrorCode = asio::error_code;

    // How long sent data may stay unacknowledged before the connection fails. Shorter than the shortest known
    // deadline of callers (1.2 s), so that a repeatable request can still be retried at another target.
    constexpr int userTimeoutMs = 800;
    // The same for accepted connections. A caller that does not read for a while acknowledges nothing either,
    // once its buffer is full, so this bounds how long its answer is kept.
    constexpr int acceptedUserTimeoutMs = 10000;
    // The output buffer is compacted once more than this many of its bytes have been sent.
    constexpr std::size_t compactionThresholdBytes = 64 * 1024;

    std::atomic<std::uint64_t> failedWrites { 0 };

    void setOptions(tcp::socket& socket, int unacknowledgedMs)
    {
        ErrorCode ignored; // The socket works without these options, too.
        socket.set_option(tcp::no_delay(true), ignored);
        socket.non_blocking(true, ignored);
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMs,
            sizeof unacknowledgedMs);
    }

    bool wouldBlock(const ErrorCode& error)
    {
        return error == asio::error::would_block || error == asio::error::try_again
            || error == asio::error::interrupted;
    }

} // namespace

TcpLink::TcpLink(tcp::socket socket)
    : socket_(std::move(socket))
{
}

TcpLink::TcpLink(asio::io_context& io, const SocketBuffers& buffers)
    : socket_(io)
    , buffers_(buffers)
{
}

std::shared_ptr<TcpLink> TcpLink::accepted(tcp::socket socket)
{
    std::shared_ptr<TcpLink> link(new TcpLink(std::move(socket)));
    setOptions(link->socket_, acceptedUserTimeoutMs);
    link->isOpen_ = true;
    return link;
}

std::shared_ptr<TcpLink> TcpLink::create(asio::io_context& io, const SocketBuffers& buffers)
{
    return std::shared_ptr<TcpLink>(new TcpLink(io, buffers));
}

void TcpLink::setBuffers(const SocketBuffers& buffers)
{
    setBufferSizes(socket_, buffers);
    // An established connection keeps the window of the buffer that it was accepted with.
    ::setsockopt(
        socket_.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP, &buffers.receive_, sizeof buffers.receive_);
}

void TcpLink::setCallbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

void TcpLink::connect(const tcp::endpoint& peer)
{
    isOpen_ = true;
    ErrorCode error;
    socket_.open(tcp::v4(), error);
    if (!error) {
        setOptions(socket_, userTimeoutMs);
        setBufferSizes(socket_, buffers_); // The window is agreed on when the connection is opened.
    }
    socket_.async_connect(peer, [self = shared_from_this()](const ErrorCode& failure) {
        if (!self->isOpen_)
            return;
        if (failure)
            return self->end(CloseReason::ConnectFailed);
        if (self->callbacks_.onConnected_)
            self->callbacks_.onConnected_();
        self->start();
    });
}

void TcpLink::start()
{
    if (isOpen_)
        awaitReadable();
}

void TcpLink::awaitReadable()
{
    if (isReading_ || isPaused_ || !isOpen_)
        return;
    isReading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
        self->isReading_ = false;
        if (error || !self->isOpen_)
            return;
        if (self->callbacks_.onReadable_)
            self->callbacks_.onReadable_();
        else
            self->readNow();
    });
}

void TcpLink::readNow()
{
    auto self = shared_from_this();
    if (isOpen_ && !isPaused_ && !isReading_)
        read();
    awaitReadable();
}

void TcpLink::read()
{
    // All links share one buffer, since they run on one thread and pass the bytes on before the next read.
    static std::array<char, maxReadBytes> buffer;
    ErrorCode error;
    std::size_t size = socket_.read_some(asio::buffer(buffer, maxRead_), error);
    if (wouldBlock(error))
        return;
    if (error) {
        // The operating system reports an error once. After a write has met it, the read sees an orderly end.
        bool isOrderly = error == asio::error::eof && !hasWriteFailed_;
        return end(isOrderly ? CloseReason::ClosedByPeer : CloseReason::Reset);
    }
    if (callbacks_.onData_)
        callbacks_.onData_({ buffer.data(), size });
}

void TcpLink::send(std::string_view data)
{
    if (!isOpen_ || data.empty())
        return;
    output_.append(data);
    if (!isWriting_)
        flush();
}

void TcpLink::flush()
{
    while (queuedBytes() > 0) {
        ErrorCode error;
        sent_ += socket_.write_some(asio::buffer(output_.data() + sent_, queuedBytes()), error);
        if (wouldBlock(error)) {
            if (sent_ > compactionThresholdBytes) {
                output_.erase(0, sent_);
                sent_ = 0;
            }
            return awaitWritable();
        }
        // The failure is reported by the next read, since `send` must not invoke callbacks.
        if (error) {
            ++failedWrites;
            hasWriteFailed_ = true;
            break;
        }
    }
    output_.clear();
    // An idle connection does not keep the memory of a large answer.
    if (output_.capacity() > compactionThresholdBytes)
        output_.shrink_to_fit();
    sent_ = 0;
    if (isClosingAfterFlush_)
        close();
    else if (isFinishing_)
        finishSending();
}

void TcpLink::awaitWritable()
{
    isWriting_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const ErrorCode& error) {
        self->isWriting_ = false;
        if (!error && self->isOpen_)
            self->flush();
    });
}

void TcpLink::pauseReading(bool isPaused)
{
    isPaused_ = isPaused;
    awaitReadable();
}

std::uint64_t TcpLink::writeErrors() { return failedWrites; }

bool TcpLink::isPeerOpen()
{
    if (!isOpen_)
        return false;
    pollfd socket { socket_.native_handle(), POLLIN | POLLRDHUP, 0 };
    constexpr int noWait = 0;
    bool hasEvents = ::poll(&socket, 1, noWait) > 0;
    return !hasEvents || (socket.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) == 0;
}

void TcpLink::finishSending()
{
    isFinishing_ = true;
    ErrorCode ignored; // A peer that is gone needs no end.
    if (isOpen_ && queuedBytes() == 0)
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

SocketBytes TcpLink::socketBytes()
{
    int unread = 0;
    int unsent = 0;
    if (!isOpen_ || ::ioctl(socket_.native_handle(), SIOCINQ, &unread) != 0
        || ::ioctl(socket_.native_handle(), SIOCOUTQ, &unsent) != 0)
        return {};
    return { static_cast<std::size_t>(unread), static_cast<std::size_t>(unsent) };
}

void TcpLink::closeAfterFlush()
{
    isClosingAfterFlush_ = true;
    if (isOpen_ && queuedBytes() == 0)
        close();
}

void TcpLink::close(bool isAborting)
{
    if (!isOpen_)
        return;
    isOpen_ = false;
    ErrorCode ignored; // The connection is discarded in any case.
    if (isAborting)
        socket_.set_option(tcp::socket::linger(true, 0), ignored);
    else
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    // The callbacks may own this link and one of them may be running, so they are destroyed later.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->callbacks_ = {}; });
}

void TcpLink::end(CloseReason reason)
{
    if (!isOpen_)
        return;
    auto self = shared_from_this();
    auto onClosed = std::move(callbacks_.onClosed_);
    close(reason == CloseReason::Reset);
    if (onClosed)
        onClosed(reason);
}

std::optional<tcp::endpoint> parseEndpoint(const std::string& text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* last = text.data() + text.size();
    auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    ErrorCode error;
    auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != last || port == 0)
        return std::nullopt;
    return tcp::endpoint(address, port);
}

} // namespace fescue
