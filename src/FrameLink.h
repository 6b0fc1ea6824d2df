#pragma once

/** \file
 * FrameLink: websocket connections that carry frames between gateways and schedulers. Only FrameLink.cpp
 * includes websocketpp.
 *
 * A `FrameServer` accepts links and a `FrameDialer` opens them. Both invoke their callbacks on their own
 * threads; the callbacks of one link come in the order of its frames. A link is closed when its peer reads
 * too slowly or sends a message that is not a valid frame.
 */

#include "Frame.h"

#include <functional>
#include <memory>

namespace fescue {

/** One link. Thread-safe. */
class FrameLink {
public:
    virtual ~FrameLink() = default;
    /** Queues a frame. Returns false when the link is known to be closed. When the send backlog exceeds its
     * limit, the link is closed and `onClosed_` is called. */
    virtual bool send(const Frame& frame) = 0;
    /** Whether all queued frames have been written to the socket. */
    virtual bool isFlushed() = 0;
    /** Closes the link; `onClosed_` is still called. */
    virtual void close() = 0;
};

using FrameLinkPtr = std::shared_ptr<FrameLink>;

/** Callbacks for the events of links. */
struct FrameHandlers {
    std::function<void(const FrameLinkPtr&)> onOpen_;
    std::function<void(const FrameLinkPtr&, Frame)> onFrame_;
    std::function<void(const FrameLinkPtr&)> onClosed_; ///< Also called for a dialed link that never opened.
};

/** Size limits of a link. */
struct FrameLimits {
    ByteCount maxMessage_ { 16 * 1024 * 1024 };
    ByteCount maxBacklog_ { 32 * 1024 * 1024 };
};

/** Accepts links on `address:port`. The destructor stops it. */
class FrameServer {
public:
    /** Binds the address and starts `threads` threads. Throws `std::system_error` when the address cannot be
     * bound. */
    FrameServer(const std::string& address, std::uint16_t port, std::size_t threads,
        const FrameLimits& limits, FrameHandlers handlers);
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    /** The bound port. Thread-safe. */
    std::uint16_t port() const;
    /** Joins the threads. Afterwards no callback is invoked and frames sent on links are dropped. May be
     * called twice, but not from a callback. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Opens links. The destructor stops it. */
class FrameDialer {
public:
    FrameDialer(std::size_t threads, const FrameLimits& limits, FrameHandlers handlers);
    ~FrameDialer();
    FrameDialer(const FrameDialer&) = delete;
    FrameDialer& operator=(const FrameDialer&) = delete;

    /** Starts to open a link to `host:port`. Either `onOpen_` or `onClosed_` is called later. Thread-safe.
     * Returns null when the address is malformed. */
    FrameLinkPtr dial(const std::string& address);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
