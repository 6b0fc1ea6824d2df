// Guards against callers that fill a VM's memory with many large bodies of legal size at once, and against
// large bodies and answers that take seconds since the buffers of their sockets are small.

#include "CallerCrowd.h"
#include "Suite.h"

#include <fmt/format.h>
#include <future>
#include <thread>

using namespace fescue;
using namespace fescue::test;

class LegalBodyCrowd : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LegalBodyCrowd);
    CPPUNIT_TEST(wholeBodiesAtOnceLeaveRoomForOrdinaryCallers);
    CPPUNIT_TEST(bodiesThatStopShortLeaveRoomForOrdinaryCallers);
    CPPUNIT_TEST(bodiesSentPieceByPieceThatStopShortLeaveRoomForOrdinaryCallers);
    CPPUNIT_TEST(twentyBodiesOfFourMbAreServedInTurn);
    CPPUNIT_TEST(singleBodyOfTheLargestLegalSizeIsServed);
    CPPUNIT_TEST(answerOfFourMbArrivesBeforeTheDeadline);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t callers = 80;
    static constexpr std::size_t bodyBytes = 1 << 20;
    static constexpr std::size_t partBytes = 16 << 10;

    static TargetAction answerOk(const HttpHead& request, const std::string&)
    {
        return TargetAction { stampedResponse(request, "ok") };
    }

    static void withstand(const std::vector<CallerBytes>& bytes)
    {
        withstandCrowd(bytes, VmLimits { 64, 0, bodyBytes });
    }

    // All but the last byte.
    static CallerBytes unfinishedBody(std::size_t maxSend)
    {
        return { callHead(fmt::format("Content-Length: {}\r\n", bodyBytes)), std::string(partBytes, 'b'),
            bodyBytes / partBytes - 1, std::string(partBytes - 1, 'b'), maxSend };
    }

    // A caller that repeats what has certainly not run. Returns the last status.
    static int statusOfBody(const EntryVmHarness& vm, std::size_t bytes)
    {
        constexpr int maxTries = 20;
        int status = 0;
        for (int i = 0; i < maxTries; ++i) {
            try {
                status = statusOf(
                    vm.request("POST", "/call/x", "Fescuewinch-Request-Id: r1\r\n", std::string(bytes, 'b')));
            } catch (const std::runtime_error&) {
                status = 0;
            }
            if (status != 503 && status != 408)
                return status;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return status;
    }

public:
    void wholeBodiesAtOnceLeaveRoomForOrdinaryCallers()
    {
        auto bytes = crowdOf(callers, unfinishedBody(256 << 10));
        for (CallerBytes& caller : bytes)
            caller.end_ += "b";
        withstand(bytes);
    }

    void bodiesThatStopShortLeaveRoomForOrdinaryCallers()
    {
        withstand(crowdOf(callers, unfinishedBody(256 << 10)));
    }

    void bodiesSentPieceByPieceThatStopShortLeaveRoomForOrdinaryCallers()
    {
        withstand(crowdOf(callers, unfinishedBody(partBytes)));
    }

    void twentyBodiesOfFourMbAreServedInTurn()
    {
        constexpr std::size_t largeCallers = 20;
        VmLimits limits { 88, 0, 4 << 20 };
        EntryVmHarness vm({ answerOk }, true, 1, limits);
        CallerCrowd observer(vm, {});
        std::vector<std::future<int>> statuses;
        for (std::size_t i = 0; i < largeCallers; ++i)
            statuses.push_back(
                std::async(std::launch::async, [&] { return statusOfBody(vm, limits.maxBodyBytes_); }));
        observer.watch();
        for (auto& status : statuses)
            CHECK_EQUAL(200, status.get());
        checkWithstood(vm, observer, limits);
    }

    void singleBodyOfTheLargestLegalSizeIsServed()
    {
        VmLimits limits { 88, 0, 4 << 20 };
        EntryVmHarness vm({ answerOk }, true, 1, limits);
        CHECK_EQUAL(200,
            statusOf(vm.request("POST", "/call/x", "Fescuewinch-Request-Id: r1\r\n",
                std::string(limits.maxBodyBytes_, 'b'))));
    }

    void answerOfFourMbArrivesBeforeTheDeadline()
    {
        constexpr std::size_t answerBytes = 4 << 20;
        constexpr std::chrono::milliseconds deadline { 1200 };
        EntryVmHarness vm({ [](const HttpHead& request, const std::string&) {
            return TargetAction { stampedResponse(request, std::string(answerBytes, 'a')) };
        } },
            true, 1, VmLimits { 88, 0, 4 << 20 });
        auto start = std::chrono::steady_clock::now();
        std::string answer = vm.request("POST", "/call/x", requestHeaders);
        CHECK(std::chrono::steady_clock::now() - start < deadline);
        CHECK(answer.size() > answerBytes);
    }
};

REGISTER_SUITE(LegalBodyCrowd);
