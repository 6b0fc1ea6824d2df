#include "FreePort.h"

#include <asio/ip/tcp.hpp>
#include <random>
#include <stdexcept>

namespace fescue::test {

int freePort(asio::io_context& io)
{
    using asio::ip::tcp;
    constexpr int first = 15000;
    constexpr int last = 32000; // Linux takes ports for outgoing connections from 32768 on.
    constexpr int mostTries = 200;
    static std::mt19937 random { std::random_device {}() };
    for (int i = 0; i < mostTries; ++i) {
        int port = std::uniform_int_distribution<int>(first, last)(random);
        tcp::acceptor acceptor(io);
        asio::error_code error;
        acceptor.open(tcp::v4());
        acceptor.bind({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) }, error);
        if (!error)
            return port;
    }
    throw std::runtime_error("no free port between 15000 and 32000; end what listens there");
}

} // namespace fescue::test
