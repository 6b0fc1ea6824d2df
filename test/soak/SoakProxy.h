#pragma once

/** \file
 * SoakProxy: a loopback TCP proxy that delays or blocks traffic and resets connections.
 */

#include "Types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>

namespace fescue::test {

/** Faults that apply to current traffic. Blocked bytes are forwarded when the block ends. */
struct ProxyFaults {
    Milliseconds delay_ { 0 }; ///< Added to each chunk, in both directions.
    bool blocksToServer_ = false;
    bool blocksToClient_ = false;
    bool ignoresNewConnections_ = false; ///< New connections are accepted but not forwarded.
};

/** The proxy. Must only be used on the thread of its event loop. */
class SoakProxy {
public:
    /** Binds a free loopback port. */
    SoakProxy(asio::io_context& io, std::uint16_t serverPort);
    ~SoakProxy();

    std::uint16_t port() const;
    ProxyFaults& faults();
    /** Resets all connections. */
    void resetAll();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue::test
