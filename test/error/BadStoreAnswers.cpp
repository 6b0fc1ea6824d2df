// Malformed and too large answers of the platform's store: each call reports them, and nothing is thrown.

#include "BootClock.h"
#include "EventLoop.h"
#include "FrontServer.h"
#include "StoreClient.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::platform;

namespace {

using Newest = tl::expected<NewestPage, StoreError>;

// Reads so many times, one after another; returns what the last read reported.
Newest readNewest(const std::string& answer, int reads = 1)
{
    asio::io_context io(1);
    FrontServer server(
        io, "127.0.0.1:0",
        [&answer](const FrontRequest&, const std::shared_ptr<FrontReply>& reply) {
            HttpHead head;
            head.status_ = 200;
            reply->answer(std::move(head), answer);
        },
        [](int, const char*, const HttpHead*) {});
    StoreClient client(io, { asio::ip::address_v4::loopback(), server.port() });
    std::optional<Newest> result;
    for (int i = 0; i < reads; ++i) {
        result.reset();
        client.readNewest({ "keyed.servers", 0 }, {}, Milliseconds { 5000 },
            [&result](Newest page) { result = std::move(page); });
        fescue::test::runLoopUntil(
            io, [&client] { client.tick(bootNow()); }, [&result] { return result.has_value(); });
    }
    return *result;
}

std::string pageWith(const std::string& offset)
{
    return fmt::format(
        R"({{"end-offset":8,"items":[{{"key":"k","value":"dg==","offset":{}}}],"has-more":false}})", offset);
}

} // namespace

class BadStoreAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BadStoreAnswers);
    CPPUNIT_TEST(offsetThatIsNoNumberIsMalformed);
    CPPUNIT_TEST(otherShapesAreMalformed);
    CPPUNIT_TEST(fieldsOfNoUseAreSkipped);
    CPPUNIT_TEST(answerThatIsTooLargeEndsItsCall);
    CPPUNIT_TEST(largestAnswersAreReadAgainAndAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the end of the process by an exception, thrown for an offset of another type.
    void offsetThatIsNoNumberIsMalformed()
    {
        Newest valid = readNewest(pageWith("7"));
        CHECK(valid.has_value());
        CHECK_EQUAL(std::uint64_t { 7 }, valid->records_.at(0).offset_);
        for (const char* offset : { R"("7")", "null", "true", "[7]", "{}", "-7", "7.5" }) {
            Newest page = readNewest(pageWith(offset));
            CPPUNIT_ASSERT_MESSAGE(offset, !page);
            CPPUNIT_ASSERT_MESSAGE(offset, page.error().failure_ == StoreFailure::MalformedAnswer);
        }
    }

    void otherShapesAreMalformed()
    {
        for (const char* answer : { "", "[]", "7", "null", "{}", R"({"end-offset":8})", R"({"items":[]})",
                 R"({"items":{},"end-offset":8})", R"({"items":[],"end-offset":-8})",
                 R"({"items":[],"end-offset":"8"})", R"({"items":[7],"end-offset":8})",
                 R"({"items":[[]],"end-offset":8})", R"({"items":[{}],"end-offset":8})",
                 R"({"items":[{"key":"k"}],"end-offset":8})", R"({"items":[{"value":""}],"end-offset":8})",
                 R"({"items":[{"key":[],"value":""}],"end-offset":8})",
                 R"({"items":[{"key":"k","value":{}}],"end-offset":8})",
                 R"({"items":[{"key":"k","value":"?"}],"end-offset":8})", R"({"items":[],"end-offset":8)",
                 R"({"items":[],"end-offset":8} 1)" }) {
            Newest page = readNewest(answer);
            CPPUNIT_ASSERT_MESSAGE(answer, !page);
            CPPUNIT_ASSERT_MESSAGE(answer, page.error().failure_ == StoreFailure::MalformedAnswer);
        }
    }

    void fieldsOfNoUseAreSkipped()
    {
        Newest page
            = readNewest(R"({"a":[{"items":[7],"end-offset":1}],"has-more":true,"items":[)"
                         R"({"b":{"key":7,"value":[]},"key":"k","value":"dg==","offset":3,"c":[[{}]]},)"
                         R"({"value":"","key":"l"}],"end-offset":8,"d":{"has-more":false}})");
        CHECK(page.has_value());
        CHECK(page->hasMore_);
        CHECK_EQUAL(std::uint64_t { 8 }, page->end_);
        CHECK_EQUAL(std::size_t { 2 }, page->records_.size());
        CHECK_EQUAL(std::string("k"), page->records_[0].key_);
        CHECK_EQUAL(std::string("v"), page->records_[0].value_);
        CHECK_EQUAL(std::uint64_t { 3 }, page->records_[0].offset_);
        CHECK_EQUAL(std::string("l"), page->records_[1].key_);
        CHECK_EQUAL(std::string(), page->records_[1].value_);
        CHECK_EQUAL(std::uint64_t { 0 }, page->records_[1].offset_);
    }

    // Guards against a process that is killed for the memory of one answer. A page has at most 1 MB of
    // values.
    void answerThatIsTooLargeEndsItsCall()
    {
        constexpr std::size_t tooLarge = 4 * 1024 * 1024;
        Newest page = readNewest(pageWith("7") + std::string(tooLarge, ' '), 3);
        CHECK(!page);
        CHECK(page.error().failure_ == StoreFailure::NoAnswer);
    }

    // Base64 of 1 MB and of the record that passes it; more in all than answers may hold at one time.
    void largestAnswersAreReadAgainAndAgain()
    {
        constexpr std::size_t largest = (1024 + 256) * 1024 / 3 * 4;
        constexpr int reads = 20;
        Newest page = readNewest(fmt::format(R"({{"items":[{{"key":"k","value":"{}"}}],"end-offset":8}})",
                                     std::string(largest, 'A')),
            reads);
        CHECK(page.has_value());
        CHECK_EQUAL(largest / 4 * 3, page->records_.at(0).value_.size());
    }
};

REGISTER_SUITE(BadStoreAnswers);
