#include "HttpWire.h"
#include "Suite.h"

using namespace fescue;

namespace {

HttpFault faultOf(const std::string& text, HttpReader::Side side = HttpReader::Side::Requests)
{
    HttpReader reader(side, { 512, 64 });
    reader.feed(text);
    CHECK(reader.fault().has_value());
    return *reader.fault();
}

std::string requestWith(const std::string& lines)
{
    return "POST /a/ HTTP/1.1\r\nHost: h\r\n" + lines + "\r\nhello";
}

} // namespace

class AmbiguousFraming : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AmbiguousFraming);
    CPPUNIT_TEST(twoLengthsAreRefused);
    CPPUNIT_TEST(lengthBesideChunksIsRefused);
    CPPUNIT_TEST(unknownTransferEncodingIsRefused);
    CPPUNIT_TEST(foldedHeaderLineIsRefused);
    CPPUNIT_TEST(blankBeforeTheColonIsRefused);
    CPPUNIT_TEST(bareLineFeedIsRefused);
    CPPUNIT_TEST(signedOrEmptyLengthIsRefused);
    CPPUNIT_TEST(badChunkIsRefused);
    CPPUNIT_TEST(headAndBodyAreBounded);
    CPPUNIT_TEST(answerThatIsNotHttpIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void twoLengthsAreRefused()
    {
        CHECK(faultOf(requestWith("Content-Length: 5\r\nContent-Length: 5\r\n")) == HttpFault::BadHead);
        CHECK(faultOf(requestWith("Content-Length: 5, 5\r\n")) == HttpFault::BadHead);
    }

    void lengthBesideChunksIsRefused()
    {
        CHECK(faultOf(requestWith("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"))
            == HttpFault::BadHead);
    }

    void unknownTransferEncodingIsRefused()
    {
        CHECK(faultOf(requestWith("Transfer-Encoding: xchunked\r\n")) == HttpFault::BadHead);
        CHECK(faultOf(requestWith("Transfer-Encoding: chunked, gzip\r\n")) == HttpFault::BadHead);
    }

    void foldedHeaderLineIsRefused()
    {
        CHECK(faultOf(requestWith("X-A: one\r\n two\r\nContent-Length: 5\r\n")) == HttpFault::BadHead);
    }

    void blankBeforeTheColonIsRefused()
    {
        CHECK(faultOf(requestWith("Content-Length : 5\r\n")) == HttpFault::BadHead);
    }

    void bareLineFeedIsRefused()
    {
        CHECK(faultOf("GET /a/ HTTP/1.1\nHost: h\n\n") == HttpFault::BadHead);
        CHECK(faultOf(requestWith("X-A: b\nContent-Length: 5\r\n")) == HttpFault::BadHead);
    }

    void signedOrEmptyLengthIsRefused()
    {
        CHECK(faultOf(requestWith("Content-Length: +5\r\n")) == HttpFault::BadHead);
        CHECK(faultOf(requestWith("Content-Length:\r\n")) == HttpFault::BadHead);
    }

    void badChunkIsRefused()
    {
        HttpReader reader(HttpReader::Side::Requests, {});
        reader.feed("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
        CHECK(reader.fault().has_value());
    }

    void headAndBodyAreBounded()
    {
        CHECK(faultOf("GET /" + std::string(600, 'a')) == HttpFault::HeadTooLarge);
        CHECK(faultOf(requestWith("Content-Length: 65\r\n")) == HttpFault::BodyTooLarge);
        std::string chunk = "41\r\n" + std::string(65, 'x') + "\r\n";
        HttpReader reader(HttpReader::Side::Requests, { 512, 64 });
        reader.feed("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
        CHECK(reader.fault() == HttpFault::BodyTooLarge);
    }

    void answerThatIsNotHttpIsRefused()
    {
        CHECK(faultOf("garbage\r\n\r\n", HttpReader::Side::Responses) == HttpFault::BadHead);
    }
};

REGISTER_SUITE(AmbiguousFraming);
