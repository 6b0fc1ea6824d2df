#include "HttpWire.h"
#include "Suite.h"

using namespace fescue;

namespace {

HttpParseError errorOf(const std::string& text, HttpReader::Side side = HttpReader::Side::Requests)
{
    HttpReader reader(side, { 512, 64 });
    reader.feed(text);
    CHECK(reader.error().has_value());
    return *reader.error();
}

std::string requestWith(const std::string& lines)
{
    return "POST /a/ HTTP/1.1\r\nHost: h\r\n" + lines + "\r\nhello";
}

} // namespace

class AmbiguousFraming : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AmbiguousFraming);
    CPPUNIT_TEST(duplicateLengthsAreRejected);
    CPPUNIT_TEST(lengthTogetherWithChunksIsRejected);
    CPPUNIT_TEST(unknownTransferEncodingIsRejected);
    CPPUNIT_TEST(foldedHeaderLineIsRejected);
    CPPUNIT_TEST(whitespaceBeforeColonIsRejected);
    CPPUNIT_TEST(bareLineFeedIsRejected);
    CPPUNIT_TEST(signedOrEmptyLengthIsRejected);
    CPPUNIT_TEST(malformedChunkIsRejected);
    CPPUNIT_TEST(oversizedHeadAndBodyAreRejected);
    CPPUNIT_TEST(responseThatIsNotHttpIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void duplicateLengthsAreRejected()
    {
        CHECK(errorOf(requestWith("Content-Length: 5\r\nContent-Length: 5\r\n")) == HttpParseError::BadHead);
        CHECK(errorOf(requestWith("Content-Length: 5, 5\r\n")) == HttpParseError::BadHead);
    }

    void lengthTogetherWithChunksIsRejected()
    {
        CHECK(errorOf(requestWith("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"))
            == HttpParseError::BadHead);
    }

    void unknownTransferEncodingIsRejected()
    {
        CHECK(errorOf(requestWith("Transfer-Encoding: xchunked\r\n")) == HttpParseError::BadHead);
        CHECK(errorOf(requestWith("Transfer-Encoding: chunked, gzip\r\n")) == HttpParseError::BadHead);
    }

    void foldedHeaderLineIsRejected()
    {
        CHECK(errorOf(requestWith("X-A: one\r\n two\r\nContent-Length: 5\r\n")) == HttpParseError::BadHead);
    }

    void whitespaceBeforeColonIsRejected()
    {
        CHECK(errorOf(requestWith("Content-Length : 5\r\n")) == HttpParseError::BadHead);
    }

    void bareLineFeedIsRejected()
    {
        CHECK(errorOf("GET /a/ HTTP/1.1\nHost: h\n\n") == HttpParseError::BadHead);
        CHECK(errorOf(requestWith("X-A: b\nContent-Length: 5\r\n")) == HttpParseError::BadHead);
    }

    void signedOrEmptyLengthIsRejected()
    {
        CHECK(errorOf(requestWith("Content-Length: +5\r\n")) == HttpParseError::BadHead);
        CHECK(errorOf(requestWith("Content-Length:\r\n")) == HttpParseError::BadHead);
    }

    void malformedChunkIsRejected()
    {
        HttpReader reader(HttpReader::Side::Requests, {});
        reader.feed("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
        CHECK(reader.error().has_value());
    }

    void oversizedHeadAndBodyAreRejected()
    {
        CHECK(errorOf("GET /" + std::string(600, 'a')) == HttpParseError::HeadTooLarge);
        CHECK(errorOf(requestWith("Content-Length: 65\r\n")) == HttpParseError::BodyTooLarge);
        std::string chunk = "41\r\n" + std::string(65, 'x') + "\r\n";
        HttpReader reader(HttpReader::Side::Requests, { 512, 64 });
        reader.feed("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
        CHECK(reader.error() == HttpParseError::BodyTooLarge);
    }

    void responseThatIsNotHttpIsRejected()
    {
        CHECK(errorOf("garbage\r\n\r\n", HttpReader::Side::Responses) == HttpParseError::BadHead);
    }
};

REGISTER_SUITE(AmbiguousFraming);
