#pragma once

/** \file
 * SoakServer: the HTTP server of a soak run's targets.
 *
 * Unlike `FrontServer`, it also sends responses whose body ends with the connection.
 */

#include "FrontServer.h"

namespace fescue::test {

/** Accepts connections on a port of its own. Must be used on the thread of the event loop.
 *
 * A response that begins with `BodyFraming::UntilClose` has no framing and ends with its connection. */
class SoakServer {
public:
    SoakServer(asio::io_context& io, FrontHandler handler, FrontRejectionHandler onRejected);
    ~SoakServer();

    std::uint16_t port() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue::test
