#include "FreePort.h"

#include <asio/ip/tcp.hpp>
#include <stdexcept>
#include <unistd.h>

namespace fescue::test {

int freePort(asio::io_context& io)
{
    using asio::ip::tcp;
    constexpr int first = 15000;
    constexpr int last = 32000; // Linux takes ports for outgoing connections from 32768 on.
    // Test processes that run side by side have neighbouring ids, and so ports of their own to choose from: a
    // port that was found free is bound only later, by another process.
    constexpr int portsOfAProcess = 128;
    constexpr int blocks = (last - first) / portsOfAProcess;
    static int next = 0;
    int block = first + ::getpid() % blocks * portsOfAProcess;
    for (int tries = 0; tries < portsOfAProcess; ++tries) {
        int port = block + next++ % portsOfAProcess;
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
