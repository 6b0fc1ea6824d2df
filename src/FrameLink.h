#pragma once

/** \file
 * FrameLink: links that carry frames between our processes; the one place that includes websocketpp.
 *
 * A `FrameServer` accepts links, a `FrameDialer` keeps one to each address it is asked for. Both call back
 * on their own threads, for one link in the order of its frames. A link whose peer reads too slowly or
 * sends something that is not a frame is closed.
 */

#include "Frame.h"

#include <functional>
#include <memory>

namespace fescue {

/** One open link. Safe from any thread. */
class FrameLink {
public:
    virtual ~FrameLink() = default;
    /** Queues a frame. Returns false when the link is known to be closed; a link whose backlog has grown too
     * large is closed, and `onClosed_` tells. */
    virtual bool send(const Frame& frame) = 0;
    /** Whether all queued frames have been handed to the network. */
    virtual bool isFlushed() = 0;
    /** Closes the link; its `onClosed_` still comes. */
    virtual void close() = 0;
};

using FrameLinkPtr = std::shared_ptr<FrameLink>;

/** What a link's events lead to. */
struct FrameHandlers {
    std::function<void(const FrameLinkPtr&)> onOpen_;
    std::function<void(const FrameLinkPtr&, Frame)> onFrame_;
    std::function<void(const FrameLinkPtr&)> onClosed_; ///< Also for a dialed link that never opened.
};

/** Limits of a link. */
struct FrameLimits {
    ByteCount maxMessage_ { 16 * 1024 * 1024 };
    ByteCount maxBacklog_ { 32 * 1024 * 1024 };
};

/** Accepts links on `address:port`; stops when it is destroyed. */
class FrameServer {
public:
    /** Binds and starts `threads` threads. Throws `std::system_error` when the address cannot be bound. */
    FrameServer(const std::string& address, std::uint16_t port, std::size_t threads,
        const FrameLimits& limits, FrameHandlers handlers);
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    /** The port that is bound. Safe from any thread. */
    std::uint16_t port() const;
    /** Ends the threads; no callback comes any more, and what is sent over links goes nowhere. Safe to call
     * twice, not from a callback. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Opens links; stops when it is destroyed. */
class FrameDialer {
public:
    FrameDialer(std::size_t threads, const FrameLimits& limits, FrameHandlers handlers);
    ~FrameDialer();
    FrameDialer(const FrameDialer&) = delete;
    FrameDialer& operator=(const FrameDialer&) = delete;

    /** Starts to open a link to `host:port`. `onOpen_` or `onClosed_` follows. Safe from any thread; returns
     * null when the address has not that form. */
    FrameLinkPtr dial(const std::string& address);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
