// Guards against a target's answer whose status is no HTTP status, such as 000: it must not reach the caller,
// and must not keep the request until its deadline.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::vector<std::string> invalidStatusLines { "HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK" };
// Well before the deadline of a request.
constexpr Milliseconds promptly { 600 };

struct Framing {
    std::string headers_;
    std::string body_;
    bool closes_;
};

const std::vector<Framing> framings { { "Content-Length: 2\r\n", "hi", false },
    { "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r\n", false },
    { "Content-Length: 0\r\n", "", false }, { "", "hi", true } };

ScriptedTarget::Script answerWith(const std::string& statusLine, const Framing& framing)
{
    return [=](const HttpHead& request, const std::string&) {
        std::string head = stampedHead(request, framing.headers_);
        return TargetAction { statusLine + head.substr(head.find("\r\n")) + framing.body_, framing.closes_ };
    };
}

} // namespace

class InvalidStatuses : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InvalidStatuses);
    CPPUNIT_TEST(answerWithAnInvalidStatusIsNotPassedOn);
    CPPUNIT_TEST(repeatableRequestGoesToAnotherTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerWithAnInvalidStatusIsNotPassedOn()
    {
        for (const std::string& statusLine : invalidStatusLines) {
            for (const Framing& framing : framings) {
                for (const char* path : { "/read/1", "/call/1", "/turn/1" }) {
                    EntryVmHarness vm({ answerWith(statusLine, framing) });
                    MonotonicTime from = bootNow();
                    std::string answer
                        = vm.request("POST", path, requestHeaders + programHeaders("p1", "9000"), "prompt");
                    std::string detail
                        = fmt::format("{}, {}{}: {}", statusLine, framing.headers_, path, answer);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(detail, 502, statusOf(answer));
                    CPPUNIT_ASSERT_MESSAGE(detail, answer.find("Response-Stamp") == std::string::npos);
                    CPPUNIT_ASSERT_MESSAGE(detail, bootNow() - from < promptly);
                }
            }
        }
    }

    void repeatableRequestGoesToAnotherTarget()
    {
        auto answerWell = [](const HttpHead& request, const std::string&) {
            return TargetAction { stampedResponse(request, "good") };
        };
        for (const Framing& framing : framings) {
            auto first = std::make_shared<std::atomic<bool>>(true);
            auto answerOnceWithInvalid = [=](const HttpHead& request, const std::string& body) {
                return first->exchange(false) ? answerWith("HTTP/1.1 000 OK", framing)(request, body)
                                              : answerWell(request, body);
            };
            EntryVmHarness vm({ answerOnceWithInvalid, answerOnceWithInvalid });
            MonotonicTime from = bootNow();
            std::string answer = vm.request("GET", "/read/1", requestHeaders);
            CHECK_EQUAL(200, statusOf(answer));
            CHECK(answer.find("good") != std::string::npos);
            CHECK(bootNow() - from < promptly);
        }
    }
};

REGISTER_SUITE(InvalidStatuses);
