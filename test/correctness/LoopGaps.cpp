// A pause of the process is told from an event loop that does not come back.

#include "LoopWatch.h"
#include "Suite.h"

using namespace fescue;

namespace {

MonotonicTime at(std::int64_t ms) { return MonotonicTime {} + Milliseconds { ms }; }

} // namespace

class LoopGaps : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoopGaps);
    CPPUNIT_TEST(firstTickHasNoGap);
    CPPUNIT_TEST(ordinaryTicksAreNotReported);
    CPPUNIT_TEST(pauseIsNoBusyLoop);
    CPPUNIT_TEST(busyLoopIsReportedOnceInASecond);
    CPPUNIT_TEST(longBusyStepIsBoth);
    CPPUNIT_TEST(busyLoopOnHalfOfACoreIsReported);
    CPPUNIT_TEST(processorTimeGrowsWithWork);
    CPPUNIT_TEST_SUITE_END();

public:
    void firstTickHasNoGap()
    {
        LoopWatch watch;
        LoopGap gap = takeTick(watch, at(900000), Milliseconds { 5000 });
        CHECK(!gap.isPause_ && !gap.isBusy_);
    }

    void ordinaryTicksAreNotReported()
    {
        LoopWatch watch;
        for (std::int64_t ms = 0; ms < 1000; ms += 25) {
            LoopGap gap = takeTick(watch, at(ms), Milliseconds { ms });
            CHECK(!gap.isPause_ && !gap.isBusy_);
        }
        CHECK_EQUAL(std::int64_t { 0 }, std::int64_t { watch.longestBusy_.count() });
    }

    // Guards against a line that blames a pause for the process's own work, and the other way round.
    void pauseIsNoBusyLoop()
    {
        LoopWatch watch;
        takeTick(watch, at(0), Milliseconds { 10 });
        LoopGap gap = takeTick(watch, at(3000), Milliseconds { 30 });
        CHECK(gap.isPause_ && !gap.isBusy_);
        CHECK(gap.used_ == Milliseconds { 20 });
    }

    void busyLoopIsReportedOnceInASecond()
    {
        LoopWatch watch;
        takeTick(watch, at(0), Milliseconds { 0 });
        int reported = 0;
        for (std::int64_t ms = 300; ms <= 3000; ms += 300)
            reported += takeTick(watch, at(ms), Milliseconds { ms }).isBusy_ ? 1 : 0;
        CHECK_EQUAL(3, reported);
        CHECK(watch.longestBusy_ == Milliseconds { 300 });
    }

    void longBusyStepIsBoth()
    {
        LoopWatch watch;
        takeTick(watch, at(0), Milliseconds { 0 });
        LoopGap gap = takeTick(watch, at(4000), Milliseconds { 3900 });
        CHECK(gap.isPause_ && gap.isBusy_);
        CHECK(watch.longestBusy_ == Milliseconds { 4000 });
    }

    // Guards against a share of a core that hides a busy loop.
    void busyLoopOnHalfOfACoreIsReported()
    {
        LoopWatch watch;
        watch.share_ = 0.5;
        takeTick(watch, at(0), Milliseconds { 0 });
        CHECK(takeTick(watch, at(1000), Milliseconds { 450 }).isBusy_);
        CHECK(!takeTick(watch, at(3000), Milliseconds { 550 }).isBusy_);
    }

    void processorTimeGrowsWithWork()
    {
        Milliseconds before = usedProcessorTime();
        volatile std::uint64_t sum = 0;
        while (usedProcessorTime() - before < Milliseconds { 20 })
            sum = sum + 1;
        CHECK(sum > 0);
    }
};

REGISTER_SUITE(LoopGaps);
