#pragma once

/** \file
 * SoakProxy: a loopback proxy before a server, which delays, cuts, silences or resets what passes.
 */

#include "Types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>

namespace fescue::test {

/** What happens to bytes that pass now. Bytes held by a cut go on when it ends. */
struct ProxyTrouble {
    Milliseconds delay_ { 0 }; ///< Of each part, in both directions.
    bool cutsToServer_ = false;
    bool cutsToClient_ = false;
    bool silencesNew_ = false; ///< New connections are accepted and lead nowhere.
};

/** The proxy. Belongs to the thread of its event loop. */
class SoakProxy {
public:
    /** Binds a free port of this machine. */
    SoakProxy(asio::io_context& io, std::uint16_t serverPort);
    ~SoakProxy();

    std::uint16_t port() const;
    ProxyTrouble& trouble();
    /** Resets all connections. */
    void resetAll();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue::test
