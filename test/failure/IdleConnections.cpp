// Guards against a caller's connection that is closed for another one although a request has come on it, and
// against idle connections that keep a VM from serving large requests.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

class IdleConnections : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IdleConnections);
    CPPUNIT_TEST(connectionOnWhichARequestHasComeIsNotClosedForAnother);
    CPPUNIT_TEST(largeBodyIsServedBesideIdleConnections);
    CPPUNIT_TEST_SUITE_END();

    // Three of four descriptors are for callers, without the 200 that are for files.
    static constexpr int descriptors = 1000;
    static constexpr int mostCallers = 600;

    static std::vector<std::unique_ptr<RawConnection>> connectMany(int port, int count)
    {
        std::vector<std::unique_ptr<RawConnection>> callers;
        callers.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            callers.push_back(std::make_unique<RawConnection>(port));
        return callers;
    }

    static void sendRequest(RawConnection& caller)
    {
        caller.send("GET /read/a HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n\r\n");
    }

    // Callers that have been served once.
    static std::vector<std::unique_ptr<RawConnection>> idleCallers(const EntryVmHarness& vm, int count)
    {
        auto idle = connectMany(vm.port(), count);
        for (const auto& caller : idle) {
            sendRequest(*caller);
            CHECK_EQUAL(200, statusOf(caller->readUntil("ok")));
        }
        return idle;
    }

    static TargetAction answerOk(const HttpHead& request, const std::string&)
    {
        return TargetAction { stampedResponse(request, "ok") };
    }

public:
    // The VM finds the requests and the new connections at the same time, as after a pause.
    void connectionOnWhichARequestHasComeIsNotClosedForAnother()
    {
        constexpr int newCallers = 100;
        EntryVmHarness vm({ answerOk }, true, 1, VmLimits { 260, descriptors, 65536 });
        auto idle = idleCallers(vm, mostCallers);
        vm.process().pause();
        auto others = connectMany(vm.port(), newCallers);
        for (const auto& caller : idle)
            sendRequest(*caller);
        vm.process().signal(SIGCONT);
        int unanswered = 0;
        for (const auto& caller : idle)
            unanswered += statusOf(caller->readUntil("\r\n\r\n")) == 0 ? 1 : 0;
        CHECK_EQUAL(0, unanswered);
    }

    void largeBodyIsServedBesideIdleConnections()
    {
        constexpr int callers = 1140;
        constexpr std::size_t maxBodyBytes = 4 << 20;
        EntryVmHarness vm({ answerOk }, true, 1, VmLimits { 120, 8200, maxBodyBytes });
        auto idle = idleCallers(vm, callers);
        for (std::size_t bytes : { maxBodyBytes / 2, maxBodyBytes })
            CHECK_EQUAL(
                200, statusOf(vm.request("POST", "/call/x", requestHeaders, std::string(bytes, 'b'))));
    }
};

REGISTER_SUITE(IdleConnections);
