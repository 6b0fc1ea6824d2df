#include "HttpWire.h"
#include "Suite.h"

using namespace fescue;

namespace {

const std::string chunked = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
const std::string plain = "GET /x/ HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

class HttpWireReading : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpWireReading);
    CPPUNIT_TEST(pipelinedMessagesAreReadOneByOne);
    CPPUNIT_TEST(messageFedByteByByteIsParsedTheSame);
    CPPUNIT_TEST(responseWithoutLengthEndsWithItsConnection);
    CPPUNIT_TEST(truncatedResponseIsNotComplete);
    CPPUNIT_TEST(responseToHeadHasNoBody);
    CPPUNIT_TEST(responseWithAnInvalidStatusLineIsNoResponse);
    CPPUNIT_TEST(validStatusLinesAreParsed);
    CPPUNIT_TEST(hopByHopHeadersAreRecognized);
    CPPUNIT_TEST_SUITE_END();

public:
    void pipelinedMessagesAreReadOneByOne()
    {
        HttpReader reader(HttpReader::Side::Requests, {});
        std::string bytes = chunked + plain;
        std::size_t used = reader.feed(bytes);
        CHECK_EQUAL(chunked.size(), used);
        CHECK(reader.isComplete());
        CHECK_EQUAL(std::string("hello world"), reader.takeBody());
        CHECK_EQUAL(std::string("/a/b"), std::string(pathOf(reader.head())));
        reader.next();
        CHECK_EQUAL(plain.size(), reader.feed(std::string_view(bytes).substr(used)));
        CHECK(reader.isComplete());
        CHECK_EQUAL(std::string("GET"), reader.head().method_);
    }

    void messageFedByteByByteIsParsedTheSame()
    {
        HttpReader reader(HttpReader::Side::Requests, {});
        std::string body;
        for (char byte : chunked) {
            CHECK(!reader.isComplete());
            CHECK_EQUAL(std::size_t { 1 }, reader.feed({ &byte, 1 }));
            body += reader.takeBody();
        }
        CHECK(reader.isComplete());
        CHECK_EQUAL(std::string("hello world"), body);
        CHECK_EQUAL(std::string("h"), *findHeader(reader.head(), "host"));
    }

    void responseWithoutLengthEndsWithItsConnection()
    {
        HttpReader reader(HttpReader::Side::Responses, {});
        reader.feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\npart");
        CHECK(reader.hasHead());
        CHECK(!reader.isComplete());
        CHECK(reader.head().framing_ == BodyFraming::UntilClose);
        reader.feedEof();
        CHECK(reader.isComplete());
    }

    void truncatedResponseIsNotComplete()
    {
        const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n";
        for (const std::string& head :
            { std::string("X: y\r\n"), std::string("Content-Length: 9\r\n\r\n"),
                std::string("Content-Length: 9\r\n\r\nhalf"), chunks, chunks + "4", chunks + "4\r\n",
                chunks + "4\r\nha", chunks + "4\r\nhalf", chunks + "4\r\nhalf\r\n", chunks + "4\r\nhalf\r\n0",
                chunks + "4\r\nhalf\r\n0\r\n", chunks + "4\r\nhalf\r\n0\r\nTrailer: x\r\n" }) {
            HttpReader reader(HttpReader::Side::Responses, {});
            reader.feed(std::string("HTTP/1.1 200 OK\r\n") + head);
            reader.feedEof();
            CHECK(!reader.isComplete());
        }
    }

    // RFC 9112, section 4, and RFC 9110, section 15: a status has three digits and is from 100 to 599.
    void responseWithAnInvalidStatusLineIsNoResponse()
    {
        for (const char* line :
            { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK",
                "HTTP/1.1 200OK", "HTTP/1.1 2 00 OK", "HTTP/1.1 20x OK", "HTTP/1.1", "HTTP/1.1 ",
                "HTTP/2.0 200 OK", "HTTP/11.1 200 OK", "HTTP/1.11 200 OK", "http/1.1 200 OK" }) {
            HttpReader reader(HttpReader::Side::Responses, {});
            reader.feed(std::string(line) + "\r\nContent-Length: 0\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(line, reader.error() == HttpParseError::BadHead);
            CPPUNIT_ASSERT_MESSAGE(line, !reader.hasHead());
        }
    }

    void validStatusLinesAreParsed()
    {
        for (const auto& [line, status] :
            std::vector<std::pair<std::string, int>> { { "HTTP/1.1 200 OK", 200 },
                { "HTTP/1.0 404 Not Found", 404 }, { "HTTP/1.1 599 ", 599 }, { "HTTP/1.1 503", 503 } }) {
            HttpReader reader(HttpReader::Side::Responses, {});
            reader.feed(line + "\r\nContent-Length: 0\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(line, reader.isComplete());
            CHECK_EQUAL(status, reader.head().status_);
        }
    }

    void responseToHeadHasNoBody()
    {
        HttpReader reader(HttpReader::Side::Responses, {});
        reader.expectNoBody();
        reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
        CHECK(reader.isComplete());
    }

    void hopByHopHeadersAreRecognized()
    {
        HttpHead head;
        head.headers_ = { { "Connection", "close, X-Own" }, { "x-own", "1" }, { "X-Other", "2" } };
        CHECK(isHopByHop(head, head.headers_[0]));
        CHECK(isHopByHop(head, head.headers_[1]));
        CHECK(!isHopByHop(head, head.headers_[2]));
    }
};

REGISTER_SUITE(HttpWireReading);
