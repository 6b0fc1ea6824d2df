// Reads of the newest records move on past any key that another writer has chosen.

#include "BootClock.h"
#include "EventLoop.h"
#include "FrontServer.h"
#include "PlatformStore.h"
#include "StoreClient.h"
#include "Suite.h"

#include <fmt/format.h>
#include <optional>
#include <vector>

using namespace fescue;

namespace {

const platform::StorePartition partition { platform::targetTopic, 0 };

using Page = tl::expected<platform::NewestPage, platform::StoreError>;

Page readAfter(asio::io_context& io, platform::StoreClient& client, const std::string& key)
{
    std::optional<Page> page;
    client.readNewest(
        partition, key, Milliseconds { 1000 }, [&page](Page answer) { page = std::move(answer); });
    fescue::test::runLoopUntil(
        io, [&] { client.tick(bootNow()); }, [&] { return page.has_value(); });
    return *page;
}

const std::vector<std::string> oddParts { " ", "#", "%", "%41", "&", "&part=7", "+", "=", "?", "/", "\"",
    "\\", "\t", "\r", "\n", "\x01", "\x7f", "\xc3\xbc", "%zz" };

} // namespace

class NewestPageKeys : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NewestPageKeys);
    CPPUNIT_TEST(pagesFollowAnyKey);
    CPPUNIT_TEST(keysAreEncodedInTheQuery);
    CPPUNIT_TEST_SUITE_END();

public:
    void pagesFollowAnyKey()
    {
        for (const std::string& part : oddParts) {
            asio::io_context io(1);
            standin::PlatformStore store(io);
            platform::StoreClient client(io, { asio::ip::address_v4::loopback(), store.port() });
            std::string key = "k" + part + "k";
            store.put(platform::targetTopic, "j", "v");
            store.put(platform::targetTopic, key, "v");
            store.put(platform::targetTopic, key + "2", "v");
            Page page = readAfter(io, client, key);
            std::string shown = fmt::format("after a key with {:?}", part);
            CPPUNIT_ASSERT_MESSAGE(shown, page.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::size_t { 1 }, page->records_.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, key + "2", page->records_[0].key_);
        }
    }

    void keysAreEncodedInTheQuery()
    {
        asio::io_context io(1);
        std::string target;
        FrontServer server(
            io, "127.0.0.1:0",
            [&target](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                target = request.head_.target_;
                HttpHead head;
                head.status_ = 200;
                reply->answer(std::move(head), R"({"end-offset":1,"items":[],"has-more":false})");
            },
            [](int, const char*, const HttpHead*) {});
        platform::StoreClient client(io, { asio::ip::address_v4::loopback(), server.port() });
        CHECK(readAfter(io, client, "a-Z.0_9~:/").has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("/log-newest?topic=keyed.servers&part=0&after=a-Z.0_9~:/"), target);
        CHECK(readAfter(io, client, std::string("a b&c=#%+\r\n\0\xff/", 14)).has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("/log-newest?topic=keyed.servers&part=0"
                                         "&after=a%20b%26c%3D%23%25%2B%0D%0A%00%FF/"),
            target);
    }
};

REGISTER_SUITE(NewestPageKeys);
