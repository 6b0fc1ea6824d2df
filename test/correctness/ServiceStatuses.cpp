// Guards against a service's answer whose status is no HTTP status, such as 000, and that counts as an
// answer.

#include "EntryVmHarness.h"
#include "HttpClient.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

class ServiceStatuses : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServiceStatuses);
    CPPUNIT_TEST(answerWithAnInvalidStatusIsNotAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerWithAnInvalidStatusIsNotAnswered()
    {
        for (const char* line :
            { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK" }) {
            for (const char* rest : { "Content-Length: 2\r\n\r\nhi", "\r\nhi", "Content-Length: 0\r\n\r\n",
                     "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" }) {
                std::string bytes = std::string(line) + "\r\n" + rest;
                asio::io_context io;
                ScriptedTarget server(io, [&bytes](const HttpHead&, const std::string&) {
                    return TargetAction { bytes, true };
                });
                std::thread thread([&io] { io.run(); });
                HttpClient client;
                HttpResult result
                    = client.perform({ "GET", "http://127.0.0.1:" + std::to_string(server.port()) + "/" });
                io.stop();
                thread.join();
                CPPUNIT_ASSERT_MESSAGE(bytes, result.outcome_ == HttpResult::Outcome::Unknown);
            }
        }
    }
};

REGISTER_SUITE(ServiceStatuses);
