#include "FreePort.h"

#include <asio/ip/tcp.hpp>
#include <stdexcept>
#include <unistd.h>

namespace fescue::test {

int findFreePort(asio::io_context& io)
{
    using asio::ip::tcp;
    constexpr int firstPort = 15000;
    constexpr int lastPort = 32000; // Linux uses ports from 32768 for outgoing connections.
    // A port found free here is bound later by another process. Each test process therefore searches its own
    // block of ports: processes that run concurrently have adjacent ids and so get different blocks. One that
    // needs more goes on into the next blocks.
    constexpr int portsPerProcess = 128;
    constexpr int blockCount = (lastPort - firstPort) / portsPerProcess;
    static int next = 0;
    int block = ::getpid() % blockCount * portsPerProcess;
    for (int attempt = 0; attempt < lastPort - firstPort; ++attempt) {
        int port = firstPort + (block + next++) % (lastPort - firstPort);
        tcp::acceptor acceptor(io);
        asio::error_code error;
        acceptor.open(tcp::v4());
        acceptor.bind({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) }, error);
        if (!error)
            return port;
    }
    throw std::runtime_error("no free port between 15000 and 32000; stop the processes that listen there");
}

} // namespace fescue::test
