// Malformed messages at a VM's port for peers: each is refused, and the VM goes on serving.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

std::vector<std::string> badMessages()
{
    constexpr std::size_t depth = 1024 * 1024; // More levels than the stack of a thread holds.
    const std::string excessiveLength = "\xbb"
                                        "aaaaaaaa";
    return { "", "garbage", "\xff", "\x9f", excessiveLength, std::string(depth, '\x81') };
}

} // namespace

class BadPeerMessages : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BadPeerMessages);
    CPPUNIT_TEST(malformedMessagesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void malformedMessagesAreRefused()
    {
        EntryVmHarness vm({ [](const HttpHead& request, const std::string&) {
            return TargetAction { stampedResponse(request, "served") };
        } });
        for (const char* path : { "/turns", "/turns/ended", "/streams", "/streams/origin", "/permits",
                 "/relay", "/conversations/chain", "/conversations/copies", "/conversations/keep" }) {
            for (const std::string& message : badMessages()) {
                RawConnection peer(vm.peerPort());
                peer.send(fmt::format("POST {} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n"
                                      "Content-Length: {}\r\n\r\n{}",
                    path, message.size(), message));
                CHECK_EQUAL(400, statusOf(peer.readAll()));
            }
        }
        CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/1", requestHeaders)));
    }
};

REGISTER_SUITE(BadPeerMessages);
