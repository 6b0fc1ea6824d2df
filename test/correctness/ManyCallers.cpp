// FrontRoomImpl: guards against an event loop that stands still when the answers of thousands of callers find
// no room, each of which looks through all connections for one that could give way.

#include "FrontCaller.h"
#include "LoopWatch.h"
#include "Suite.h"

#include <memory>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr std::size_t callerCount = 3000;
constexpr std::size_t kilobyte = 1024;

struct Crowd {
    HoldingServer server_;
    std::vector<std::unique_ptr<FrontCaller>> callers_;

    Crowd()
    {
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers_.push_back(std::make_unique<FrontCaller>(server_.io_, server_.server_.port()));
            callers_.back()->send(requestFor("/a"));
            server_.runUntil([&] { return server_.open_.size() == callers_.size(); });
        }
    }
};

} // namespace

class ManyCallers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ManyCallers);
    CPPUNIT_TEST(answersWithoutRoomAreRefusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersWithoutRoomAreRefusedAtOnce()
    {
        // About as many as targets answer within a second, of which they may take a small part.
        constexpr std::size_t answers = 1000;
        constexpr Milliseconds maxTime { 50 };
        constexpr std::size_t answerBytes = 200 * kilobyte;
        Crowd crowd;
        FrontLimits limits;
        limits.memory_ = { crowd.server_.server_.heldMemory().total_, 2 * kilobyte, 0, kilobyte };
        crowd.server_.server_.setLimits(limits);
        Milliseconds begin = usedProcessorTime();
        for (std::size_t i = 0; i < answers; ++i)
            CHECK(!crowd.server_.open_[i].second->reserveForAnswer(answerBytes));
        Milliseconds time = usedProcessorTime() - begin;
        std::printf("%zu answers beside %zu callers: %ld ms\n", answers, callerCount,
            static_cast<long>(time.count()));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()) + " ms", time < maxTime);
    }
};

REGISTER_SUITE(ManyCallers);
