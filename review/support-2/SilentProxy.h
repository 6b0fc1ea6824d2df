#pragma once

/** \file
 * SilentProxy: a loopback proxy before the store, whose open connections can fall silent for good.
 */

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace review {

/** Passes bytes on after a delay. To be used on the thread of its event loop. */
class SilentProxy {
public:
    SilentProxy(asio::io_context& io, std::uint16_t serverPort, int answerDelayMs);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    /** The connections that are open now carry nothing from now on and stay open; new ones work. Returns how
     * many they are. */
    std::size_t silence();

private:
    class Session;
    void accept();

    asio::io_context& io_;
    asio::ip::tcp::endpoint server_;
    int answerDelayMs_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Session>> sessions_;
    std::vector<std::shared_ptr<Session>> silent_;
};

} // namespace review
