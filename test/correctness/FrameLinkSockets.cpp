// Links send many small frames, so their sockets must set TCP_NODELAY: with Nagle's algorithm a frame would
// wait for the acknowledgement of the previous one.

#include "Cluster.h"
#include "FrameLink.h"
#include "Suite.h"

#include <atomic>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace fescue;
using namespace fescue::test;

class FrameLinkSockets : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FrameLinkSockets);
    CPPUNIT_TEST(bothEndsSetTcpNoDelay);
    CPPUNIT_TEST_SUITE_END();

public:
    void bothEndsSetTcpNoDelay();
};

REGISTER_SUITE(FrameLinkSockets);

namespace {

// TCP_NODELAY of each connected TCP socket of this process.
std::vector<int> noDelaySettings()
{
    std::vector<int> settings;
    constexpr int maxDescriptor = 256;
    for (int descriptor = 3; descriptor < maxDescriptor; ++descriptor) {
        sockaddr_in peer {};
        socklen_t size = sizeof(peer);
        auto* address = reinterpret_cast<sockaddr*>(&peer);
        int isNoDelay = 0;
        socklen_t optionSize = sizeof(isNoDelay);
        bool isConnected = getpeername(descriptor, address, &size) == 0 && peer.sin_family == AF_INET;
        if (isConnected && getsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isNoDelay, &optionSize) == 0)
            settings.push_back(isNoDelay);
    }
    return settings;
}

} // namespace

void FrameLinkSockets::bothEndsSetTcpNoDelay()
{
    std::atomic<int> opened { 0 };
    auto handlers = [&opened] {
        return FrameHandlers { [&opened](const FrameLinkPtr&) { ++opened; },
            [](const FrameLinkPtr&, Frame) {}, [](const FrameLinkPtr&) {} };
    };
    FrameServer server("127.0.0.1", 0, 1, FrameLimits {}, handlers());
    FrameDialer dialer(1, FrameLimits {}, handlers());
    FrameLinkPtr link = dialer.dial("127.0.0.1:" + std::to_string(server.port()));
    waitUntil("both ends are open", [&] { return opened == 2; });
    CHECK(noDelaySettings() == (std::vector<int> { 1, 1 }));
}
