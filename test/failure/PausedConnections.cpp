// Guards against a request that gets no answer because its connection to the target was left paused by an
// earlier answer, whose caller reads slowly; and against callers whose close, or whose unread answers, a
// pause hides.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

// One byte more than the VM buffers of an answer before it passes it on, so that the read that pauses the
// connection to the target also completes the answer.
constexpr std::size_t largeBytes = (256 << 10) + 1;
// A short answer is complete by its first read.
constexpr std::size_t shortBytes = 32 << 10;
// Together more than the sockets hold for a caller that does not read.
constexpr int largeAnswers = 24;
constexpr int shortAnswers = 200;
// More than the VM may hold for one caller.
constexpr std::size_t hugeBytes = 40 << 20;
constexpr ByteCount maxGrowth { 16 << 20 };
constexpr int smallReceiveBuffer = 4096;
// A VM takes its links for lost when several targets cannot be reached.
constexpr std::size_t targets = 4;
constexpr Milliseconds noticeTime { 1000 };

TargetAction respond(const HttpHead& request, const std::string&)
{
    if (request.target_ == "/read/large")
        return { stampedResponse(request, std::string(largeBytes, 'b')) };
    if (request.target_ == "/read/short")
        return { stampedResponse(request, std::string(shortBytes, 'b')) };
    return { stampedResponse(request, "small") };
}

std::string requestFor(const std::string& path, int number, Milliseconds deadline)
{
    return fmt::format("GET /read/{} HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: {}-{}\r\n"
                       "Fescuewinch-Deadline-Ms: {}\r\n\r\n",
        path, path, number, deadline.count());
}

// The caller reads nothing until it has sent its requests.
void answersThatAreReadLateAreWhole(const EntryVmHarness& vms)
{
    RawConnection caller(vms.port(), smallReceiveBuffer);
    for (int i = 0; i < largeAnswers; ++i)
        caller.send(requestFor("large", i, Milliseconds { 1800 }));
    caller.send(requestFor("last", 0, Milliseconds { 1800 }));
    std::this_thread::sleep_for(Milliseconds { 300 });
    MonotonicTime from = bootNow();
    std::string answers = caller.readUntil("small");
    CHECK(bootNow() - from < Milliseconds { 1200 });
    for (int i = 0; i < largeAnswers; ++i)
        CHECK(answers.find(fmt::format("HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: large-{}\r\n", i))
            != std::string::npos);
    CHECK(std::count(answers.begin(), answers.end(), 'b') >= largeAnswers * std::ptrdiff_t { largeBytes });
}

// The large answers of one caller, who reads none, come between the small ones of others.
void othersAreAnsweredPromptly(const EntryVmHarness& vms)
{
    RawConnection slow(vms.port(), smallReceiveBuffer);
    for (int i = 0; i < largeAnswers; ++i) {
        slow.send(requestFor("large", i, Milliseconds { 2000 }));
        std::this_thread::sleep_for(Milliseconds { 50 });
        MonotonicTime from = bootNow();
        CHECK_EQUAL(200, statusOf(vms.request("GET", "/read/other", requestHeaders)));
        CHECK(bootNow() - from < Milliseconds { 600 });
    }
}

// All requests to the first of two VMs go through the second one.
void loseLinks(EntryVmHarness& vms)
{
    vms.setLinks(0, EntryVmHarness::LinkFault::Refused);
    std::this_thread::sleep_for(noticeTime);
    for (int i = 0; i < 3; ++i)
        vms.request("GET", "/read/0", requestHeaders);
}

} // namespace

class PausedConnections : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PausedConnections);
    CPPUNIT_TEST(answersOfACallerWhoReadsLateAreWhole);
    CPPUNIT_TEST(othersAreAnsweredWhileACallerReadsNothing);
    CPPUNIT_TEST(relayedAnswersOfACallerWhoReadsLateAreWhole);
    CPPUNIT_TEST(answerFromAnotherTargetIsPausedToo);
    CPPUNIT_TEST(closeOfACallerWithManyRequestsIsNoticed);
    CPPUNIT_TEST(requestsWaitWhileTheirCallerReadsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersOfACallerWhoReadsLateAreWhole()
    {
        EntryVmHarness vm({ respond });
        answersThatAreReadLateAreWhole(vm);
    }

    void othersAreAnsweredWhileACallerReadsNothing()
    {
        EntryVmHarness vm({ respond });
        othersAreAnsweredPromptly(vm);
    }

    void relayedAnswersOfACallerWhoReadsLateAreWhole()
    {
        EntryVmHarness vms(std::vector<ScriptedTarget::Script>(targets, respond), true, 2);
        loseLinks(vms);
        answersThatAreReadLateAreWhole(vms);
    }

    // The first target's answer breaks off, and the caller does not read the second one.
    void answerFromAnotherTargetIsPausedToo()
    {
        std::atomic<int> tornAnswers { 0 };
        auto script = [&tornAnswers](const HttpHead& request, const std::string& body) -> TargetAction {
            if (request.target_ != "/read/torn")
                return respond(request, body);
            if (++tornAnswers == 1)
                return { stampedHead(request, "Content-Length: 9\r\n") + "part", true };
            return { stampedResponse(request, std::string(hugeBytes, 'b')) };
        };
        EntryVmHarness vm({ script, script });
        ByteCount before = vm.residentMemory();
        RawConnection caller(vm.port(), smallReceiveBuffer);
        for (int i = 0; i < shortAnswers; ++i)
            caller.send(requestFor("short", i, Milliseconds { 2000 }));
        caller.send(requestFor("torn", 0, Milliseconds { 2000 }));
        constexpr std::ptrdiff_t bytes { shortAnswers * shortBytes };
        for (std::ptrdiff_t read = 0; read < bytes;) {
            std::string part = caller.readUntil("b");
            read += std::count(part.begin(), part.end(), 'b');
        }
        vm.waitUntil("the other target has the request", [&] { return tornAnswers == 2; });
        std::this_thread::sleep_for(Milliseconds { 500 });
        CHECK(vm.residentMemory() < before + maxGrowth);
    }

    void closeOfACallerWithManyRequestsIsNoticed()
    {
        EntryVmHarness vm({ [](const HttpHead&, const std::string&) { return TargetAction {}; } });
        {
            RawConnection caller(vm.port());
            caller.send(requestFor("hold", 0, Milliseconds { 2000 }));
            std::string more = requestFor("more", 0, Milliseconds { 2000 });
            // What the VM does not read of them fits into its socket, so that the close arrives.
            constexpr std::size_t pipelinedBytes = 300 << 10;
            for (std::size_t sent = 0; sent < pipelinedBytes; sent += more.size())
                caller.send(more);
            vm.waitUntil("the target has the request", [&] { return vm.target(0).requests() == 1; });
        }
        MonotonicTime from = bootNow();
        vm.waitUntil("the request is cancelled", [&] { return vm.target(0).closedConnections() > 0; });
        CHECK(bootNow() - from < Milliseconds { 500 });
        CHECK_EQUAL(1, vm.target(0).requests());
    }

    void requestsWaitWhileTheirCallerReadsNothing()
    {
        EntryVmHarness vm({ respond });
        ByteCount before = vm.residentMemory();
        RawConnection caller(vm.port(), smallReceiveBuffer);
        constexpr int requests = 1500;
        for (int i = 0; i < requests; ++i)
            caller.send(requestFor("short", i, Milliseconds { 2000 }));
        std::this_thread::sleep_for(Milliseconds { 1000 });
        CHECK(vm.residentMemory() < before + maxGrowth);
        CHECK(vm.target(0).requests() < requests);
    }
};

REGISTER_SUITE(PausedConnections);
