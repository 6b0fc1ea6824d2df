// Guards against a request that gets no answer because its connection to the target was left paused by an
// earlier answer, whose caller reads slowly.

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
// Together more than the sockets hold for a caller that does not read.
constexpr int largeAnswers = 24;
constexpr int smallReceiveBuffer = 4096;
// A VM takes its links for lost when several targets cannot be reached.
constexpr std::size_t targets = 4;
constexpr Milliseconds noticeTime { 1000 };

TargetAction respond(const HttpHead& request, const std::string&)
{
    bool isLarge = request.target_.find("large") != std::string::npos;
    return { stampedResponse(request, isLarge ? std::string(largeBytes, 'b') : std::string("small")) };
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
};

REGISTER_SUITE(PausedConnections);
