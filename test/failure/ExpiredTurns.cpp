// Turns that wait for their program's budget until their deadlines are refused, whatever their callers send
// behind them.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <chrono>
#include <fmt/format.h>
#include <thread>

using namespace fescue::test;

class ExpiredTurns : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ExpiredTurns);
    CPPUNIT_TEST(turnThatExpiresBesideAnotherMayBeGrantedMeanwhile);
    CPPUNIT_TEST_SUITE_END();

public:
    void turnThatExpiresBesideAnotherMayBeGrantedMeanwhile();
};

REGISTER_SUITE(ExpiredTurns);

namespace {

std::string turnOf(const std::string& program, int id, int maxTokens, int deadlineMs)
{
    return fmt::format("POST /turn/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
                       "Fescuewinch-Request-Id: {}{}\r\nFescuewinch-Deadline-Ms: {}\r\n"
                       "Fescuewinch-Program-Id: {}\r\nFescuewinch-Token-Budget: 1000\r\n"
                       "Fescuewinch-Token-Count: 100,{}\r\n\r\n",
        program, id, deadlineMs, program, maxTokens);
}

} // namespace

// Guards against the end of the process by an exception: while the first of two expired turns was refused,
// the next request on its connection let the second one be granted, which was then looked up as a waiting
// one.
void ExpiredTurns::turnThatExpiresBesideAnotherMayBeGrantedMeanwhile()
{
    // The target answers nothing, so the first turn of each program keeps its part of the budget.
    EntryVmHarness vms({ [](const fescue::HttpHead&, const std::string&) { return TargetAction {}; } });
    constexpr int programs = 5;
    for (int i = 0; i < programs; ++i) {
        std::string program = fmt::format("p{}", i);
        RawConnection running(vms.port());
        CHECK(running.send(turnOf(program, 1, 300, 3000)));
        vms.waitUntil("the first turn runs", [&vms, i] { return vms.targetRequests() > i; });
        // The second waits for the first to return tokens; the third, which would fit, waits behind it.
        RawConnection large(vms.port());
        RawConnection small(vms.port());
        CHECK(large.send(turnOf(program, 2, 900, 400) + turnOf(program, 4, 100, 400)));
        CHECK(small.send(turnOf(program, 3, 100, 400)));
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        CPPUNIT_ASSERT_MESSAGE("the process has ended", !vms.process().tryReap());
    }
}
