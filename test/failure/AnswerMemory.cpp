// Guards against requests that make a VM hold far more than their callers have sent, so that its process is
// killed: answers that do not end, and turns that continue long conversations.

#include "CallerCrowd.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

class AnswerMemory : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AnswerMemory);
    CPPUNIT_TEST(answersThatStopShort);
    CPPUNIT_TEST(turnsThatContinueALongConversation);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t kilobyte = 1024;
    static constexpr int descriptors = 8200;
    static constexpr VmLimits limits { 260, descriptors, 4 << 20 };

    static CallerBytes oneRequest(const std::string& request)
    {
        CallerBytes bytes;
        bytes.head_ = request;
        return bytes;
    }

public:
    void answersThatStopShort()
    {
        constexpr std::size_t callers = 2300;
        auto script = [](const HttpHead& request, const std::string&) {
            if (request.target_.find("large") == std::string::npos)
                return TargetAction { stampedResponse(request, "ok") };
            return TargetAction { stampedHead(request, fmt::format("Content-Length: {}\r\n", 240 * kilobyte))
                + std::string(200 * kilobyte, 'b') };
        };
        EntryVmHarness vm(std::vector<ScriptedTarget::Script>(60, script), true, 1, limits);
        CallerCrowd crowd(vm,
            crowdOf(callers,
                oneRequest(
                    "GET /read/large HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n\r\n")));
        crowd.press();
        crowd.watch();

        checkWithstood(vm, crowd, limits, TargetRoom::TakenByCrowd);
    }

    void turnsThatContinueALongConversation()
    {
        constexpr int turns = 30;
        constexpr std::size_t inputBytes = 100 * kilobyte;
        constexpr std::size_t callers = 200;
        auto script = [](const HttpHead& request, const std::string&) {
            if (findHeader(request, "Fescuewinch-Request-Id")->find("silent") != std::string::npos)
                return TargetAction {};
            return TargetAction { stampedHead(request,
                                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                + toChunk("id: 1\ndata: x\n\n") + "0\r\n\r\n" };
        };
        EntryVmHarness vm(std::vector<ScriptedTarget::Script>(10, script), true, 1, limits);
        std::string previous;
        auto headersOf = [&](const std::string& id) {
            return fmt::format("Fescuewinch-Request-Id: {}\r\n", id) + programHeaders("program", "900000")
                + (previous.empty() ? "" : "Fescuewinch-Previous-Turn: " + previous + "\r\n");
        };
        for (int i = 0; i < turns; ++i) {
            std::string id = fmt::format("turn{}", i);
            std::string answer = vm.request("POST", "/kept/1", headersOf(id), std::string(inputBytes, 'c'));
            CHECK_EQUAL(200, statusOf(answer));
            previous = id;
        }
        std::vector<CallerBytes> crowdBytes;
        for (std::size_t i = 0; i < callers; ++i)
            crowdBytes.push_back(
                oneRequest("POST /kept/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n"
                    + headersOf(fmt::format("silent{}", i)) + "\r\nd"));
        CallerCrowd crowd(vm, crowdBytes);
        crowd.press();
        crowd.watch();

        checkWithstood(vm, crowd, limits, TargetRoom::TakenByCrowd);
    }
};

REGISTER_SUITE(AnswerMemory);
