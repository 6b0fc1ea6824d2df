// A burst of turns that end on many VMs, against a store that takes a bounded number of appends.

#include "AppendLane.h"
#include "Suite.h"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace fescue;

namespace {

constexpr std::size_t laneCount = 12; // Partitions of the store.
constexpr std::int64_t durationMs = 10000;

// What became of the turns of a simulation, in steps of a millisecond.
struct Result {
    std::size_t appends_ = 0;
    std::vector<std::int64_t> waitsMs_; ///< From the end of a turn to the acknowledgement of its record.
};

struct Append {
    std::int64_t endsAt_;
    std::vector<std::int64_t> turns_; ///< When they ended.
    bool isLost_;
};

// Plays turns that end at random times. Of the appends, the share `lost` has no answer until a time-out.
Result play(double turnsPerSecond, std::int64_t appendMs, double lost)
{
    std::mt19937 random(1);
    constexpr double msPerSecond = 1000;
    std::poisson_distribution<int> arrivals(turnsPerSecond / msPerSecond);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<AppendLane> lanes(laneCount);
    std::vector<std::deque<std::int64_t>> waiting(laneCount);
    std::vector<std::vector<Append>> inFlight(laneCount);
    constexpr std::int64_t timeoutMs = 120;
    Result result;
    for (std::int64_t ms = 0; ms < durationMs; ++ms) {
        for (int i = arrivals(random); i > 0; --i)
            waiting[random() % laneCount].push_back(ms);
        for (std::size_t i = 0; i < laneCount; ++i) {
            for (Append& append : inFlight[i]) {
                if (append.endsAt_ != ms)
                    continue;
                onAppendEnded(lanes[i]);
                for (std::int64_t turn : append.turns_)
                    append.isLost_ ? waiting[i].push_front(turn) : result.waitsMs_.push_back(ms - turn);
            }
            MonotonicTime now { Milliseconds { ms } };
            if (waiting[i].empty() || !canAppend(lanes[i], now))
                continue;
            onAppendStarted(lanes[i], now);
            ++result.appends_;
            bool isLost = share(random) < lost;
            inFlight[i].push_back(
                { ms + (isLost ? timeoutMs : appendMs), { waiting[i].begin(), waiting[i].end() }, isLost });
            waiting[i].clear();
        }
    }
    std::sort(result.waitsMs_.begin(), result.waitsMs_.end());
    return result;
}

double perSecond(std::size_t count)
{
    constexpr double seconds = 10;
    return static_cast<double>(count) / seconds;
}

} // namespace

class TurnBatches : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TurnBatches);
    CPPUNIT_TEST(burstOfTurnsNeedsABoundedNumberOfAppends);
    CPPUNIT_TEST(fewTurnsDoNotWaitForOthers);
    CPPUNIT_TEST(lostAnswersDelayOnlyTheirOwnTurns);
    CPPUNIT_TEST_SUITE_END();

public:
    // Twice the turns of a calm second on 60 VMs; the store takes 1,200 writes a second, of which the claims
    // on budgets need half.
    void burstOfTurnsNeedsABoundedNumberOfAppends()
    {
        constexpr double storeLimit = 1200;
        constexpr std::int64_t appendMs = 10;
        Result burst = play(1740, appendMs, 0);
        CHECK(perSecond(burst.appends_) <= storeLimit / 2);
        CHECK(burst.waitsMs_.back() <= appendInterval.count() + appendMs);
        Result threefold = play(5000, appendMs, 0);
        CHECK(perSecond(threefold.appends_) <= storeLimit / 2);
        CHECK(threefold.waitsMs_.back() <= appendInterval.count() + appendMs);
    }

    void fewTurnsDoNotWaitForOthers()
    {
        constexpr std::int64_t appendMs = 10;
        Result few = play(20, appendMs, 0);
        CHECK_EQUAL(appendMs, few.waitsMs_[few.waitsMs_.size() / 2]);
    }

    void lostAnswersDelayOnlyTheirOwnTurns()
    {
        constexpr std::int64_t appendMs = 10;
        Result lossy = play(870, appendMs, 0.1);
        CHECK(lossy.waitsMs_[lossy.waitsMs_.size() * 8 / 10] <= appendInterval.count() + appendMs);
        CHECK(perSecond(lossy.waitsMs_.size()) > 800);
    }
};

REGISTER_SUITE(TurnBatches);
