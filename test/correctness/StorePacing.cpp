#include "StoreHealth.h"
#include "StoreThrottle.h"
#include "Suite.h"

#include <array>
#include <optional>

using namespace fescue;

namespace {

constexpr std::size_t vmCount = 82;
constexpr std::uint32_t callsPerSecond = 1500; // Limit of the store for all VMs together.
constexpr std::int64_t callMs = 4;
constexpr std::int64_t outageEndsMs = 5000;

MonotonicTime at(std::int64_t ms) { return MonotonicTime(Milliseconds { 100000 + ms }); }

/** Simulates a store with one rate limit for all VMs, which have a backlog of calls when the store recovers
 * from an outage. Each VM also adds 5 new calls a second, in total 27 percent of the store's rate. */
class RateLimitedStore {
public:
    struct Totals {
        std::uint64_t served_ = 0;
        std::uint64_t refused_ = 0;
        std::optional<std::int64_t> drainedAt_; ///< When the backlog was drained.
    };

    /** Without a throttle each refused call is retried 150 ms later. */
    RateLimitedStore(std::size_t backlog, bool isThrottled)
        : isThrottled_(isThrottled)
    {
        for (Vm& vm : vms_)
            vm.waiting_ = backlog;
    }

    Totals run(std::int64_t durationMs)
    {
        Totals totals;
        for (std::int64_t now = 0; now < durationMs; ++now) {
            credits_ = std::min(credits_ + callsPerSecond / 1000.0, callsPerSecond * 0.1);
            std::size_t waiting = 0;
            for (Vm& vm : vms_) {
                isThrottled_ ? advance(vm, now, totals) : advanceUnthrottled(vm, now, totals);
                waiting += vm.waiting_;
            }
            if (now > outageEndsMs && waiting < vmCount && !totals.drainedAt_)
                totals.drainedAt_ = now;
        }
        return totals;
    }

private:
    struct Vm {
        StoreThrottle throttle_;
        std::size_t waiting_ = 0;
        std::vector<std::int64_t> ends_;
    };

    void advance(Vm& vm, std::int64_t now, Totals& totals)
    {
        constexpr std::int64_t newCallEveryMs = 200;
        if (now % newCallEveryMs == 0)
            ++vm.waiting_;
        std::vector<std::int64_t> open;
        for (std::int64_t end : vm.ends_) {
            if (end > now) {
                open.push_back(end);
                continue;
            }
            bool isServed = now >= outageEndsMs && serve();
            vm.waiting_ += isServed ? 0 : 1;
            ++(isServed ? totals.served_ : totals.refused_);
            auto failure = now < outageEndsMs ? StoreCallOutcome::Refused : StoreCallOutcome::OverRate;
            onStoreCallEnded(vm.throttle_, isServed ? StoreCallOutcome::Served : failure, at(now), random_);
        }
        vm.ends_ = std::move(open);
        while (vm.waiting_ > 0 && canCallStore(vm.throttle_, at(now))) {
            --vm.waiting_;
            onStoreCallStarted(vm.throttle_, at(now));
            vm.ends_.push_back(now + callMs);
        }
    }

    void advanceUnthrottled(Vm& vm, std::int64_t now, Totals& totals)
    {
        constexpr std::int64_t newCallEveryMs = 200;
        constexpr std::int64_t repeatAfterMs = 150;
        if (now % newCallEveryMs == 0)
            ++vm.waiting_;
        for (; vm.waiting_ > vm.ends_.size();)
            vm.ends_.push_back(now + callMs);
        std::vector<std::int64_t> open;
        for (std::int64_t end : vm.ends_) {
            bool isServed = end <= now && now >= outageEndsMs && serve();
            if (isServed) {
                ++totals.served_;
                --vm.waiting_;
                continue;
            }
            totals.refused_ += end <= now ? 1 : 0;
            open.push_back(end <= now ? now + repeatAfterMs : end);
        }
        vm.ends_ = std::move(open);
    }

    bool serve()
    {
        bool isServed = credits_ >= 1;
        credits_ -= isServed ? 1 : 0;
        return isServed;
    }

    bool isThrottled_;
    std::array<Vm, vmCount> vms_;
    double credits_ = 0;
    Random random_ { 3 };
};

} // namespace

class StorePacing : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StorePacing);
    CPPUNIT_TEST(refusalBacksOffAllCallsOfTheVm);
    CPPUNIT_TEST(callsThatFailTogetherCountOnce);
    CPPUNIT_TEST(servedCallEndsTheBackoff);
    CPPUNIT_TEST(outageDoesNotLowerTheRate);
    CPPUNIT_TEST(retryAfterGrowsWithTheLengthOfAnOutage);
    CPPUNIT_TEST(callerDuringALongOutageIsServedAfterItsEnd);
    CPPUNIT_TEST(callsWithLostAnswersAreRetriedSoon);
    CPPUNIT_TEST(timeoutAdaptsToASlowStore);
    CPPUNIT_TEST(manyVmsRecoverTogetherFromAnOutage);
    CPPUNIT_TEST_SUITE_END();

    StoreThrottle throttle_;
    Random random_ { 1 };

    void fail(std::int64_t ms)
    {
        onStoreCallStarted(throttle_, at(0));
        onStoreCallEnded(throttle_, StoreCallOutcome::OverRate, at(ms), random_);
    }

public:
    void setUp() override { throttle_ = {}; }

    void refusalBacksOffAllCallsOfTheVm()
    {
        CHECK(canCallStore(throttle_, at(0)));
        fail(0);
        CHECK(!canCallStore(throttle_, at(49)));
        CHECK(canCallStore(throttle_, at(100)));
        std::int64_t now = 0;
        for (int i = 0; i < 10; ++i) {
            now += throttle_.options_.maxBackoff_.count();
            CHECK(canCallStore(throttle_, at(now)));
            fail(now);
        }
        CHECK(!canCallStore(throttle_, at(now + throttle_.options_.maxBackoff_.count() / 2 - 1)));
    }

    void callsThatFailTogetherCountOnce()
    {
        double rate = throttle_.rate_.value_;
        for (int i = 0; i < 8; ++i)
            onStoreCallStarted(throttle_, at(0));
        for (int i = 0; i < 8; ++i)
            onStoreCallEnded(throttle_, StoreCallOutcome::OverRate, at(i), random_);
        CHECK_EQUAL(std::uint32_t { 1 }, throttle_.failures_);
        CHECK_EQUAL(std::uint32_t { 0 }, throttle_.inFlight_);
        CHECK_EQUAL(rate / 2, throttle_.rate_.value_);
    }

    void servedCallEndsTheBackoff()
    {
        fail(0);
        onStoreCallStarted(throttle_, at(100));
        // Only one probe is allowed until the store is known to serve again.
        CHECK(!canCallStore(throttle_, at(100)));
        onStoreCallEnded(throttle_, StoreCallOutcome::Served, at(104), random_);
        onStoreCallStarted(throttle_, at(104));
        CHECK(canCallStore(throttle_, at(104)));
        for (int i = 0; i < 1000; ++i) {
            onStoreCallStarted(throttle_, at(200));
            onStoreCallEnded(throttle_, StoreCallOutcome::Served, at(200), random_);
        }
        CHECK_EQUAL(throttle_.options_.maxRate_.value_, throttle_.rate_.value_);
    }

    void outageDoesNotLowerTheRate()
    {
        double rate = throttle_.rate_.value_;
        onStoreCallStarted(throttle_, at(0));
        onStoreCallEnded(throttle_, StoreCallOutcome::Refused, at(0), random_);
        CHECK_EQUAL(rate, throttle_.rate_.value_);
        CHECK(!canCallStore(throttle_, at(1)));
    }

    void retryAfterGrowsWithTheLengthOfAnOutage()
    {
        StoreHealth health;
        CHECK(outageRetryAfter(health, at(0)) == minOutageRetryAfter);
        updateStoreHealth(health, false, at(0));
        updateStoreHealth(health, false, at(0));
        CHECK(outageRetryAfter(health, at(100)) == minOutageRetryAfter);
        CHECK(outageRetryAfter(health, at(1300)) == Milliseconds { 1300 });
        CHECK(outageRetryAfter(health, at(9000)) == maxOutageRetryAfter);
        updateStoreHealth(health, true, at(9000));
        CHECK(outageRetryAfter(health, at(9100)) == minOutageRetryAfter);
    }

    // A caller with four attempts in all arrives three seconds before the end of a seven-second outage.
    void callerDuringALongOutageIsServedAfterItsEnd()
    {
        constexpr std::int64_t endsAt = 7000;
        constexpr int attempts = 4;
        StoreHealth health;
        updateStoreHealth(health, false, at(0));
        updateStoreHealth(health, false, at(0));
        std::int64_t now = endsAt - 3000;
        int attempt = 1;
        for (; attempt < attempts && now < endsAt; ++attempt)
            now += outageRetryAfter(health, at(now)).count();
        CHECK(now >= endsAt);
        CHECK(endsAt - 3000 + (attempts - 1) * minOutageRetryAfter.count() < endsAt);
    }

    // With half of the answers lost, calls are retried soon and the store does not count as failing.
    void callsWithLostAnswersAreRetriedSoon()
    {
        std::int64_t now = 0;
        for (int i = 0; i < 40; ++i) {
            onStoreCallStarted(throttle_, at(now));
            recordStoreLatency(throttle_, Milliseconds { 4 });
            onStoreCallEnded(throttle_, StoreCallOutcome::Served, at(now += 4), random_);
        }
        CHECK(storeTimeout(throttle_) == throttle_.options_.minTimeout_);
        for (int i = 0; i < 20; ++i) {
            onStoreCallStarted(throttle_, at(now));
            onStoreCallEnded(
                throttle_, StoreCallOutcome::TimedOut, at(now += storeTimeout(throttle_).count()), random_);
            CHECK(canCallStore(throttle_, at(now)));
            CHECK(!isStoreFailing(throttle_, at(now)));
            onStoreCallStarted(throttle_, at(now));
            recordStoreLatency(throttle_, Milliseconds { 4 });
            onStoreCallEnded(throttle_, StoreCallOutcome::Served, at(now += 4), random_);
        }
    }

    // The latency of the store rises by a factor of sixty from one call to the next.
    void timeoutAdaptsToASlowStore()
    {
        constexpr std::int64_t slowMs = 240;
        for (int i = 0; i < 40; ++i)
            recordStoreLatency(throttle_, Milliseconds { 4 });
        std::int64_t now = 0;
        for (int tries = 0; storeTimeout(throttle_).count() < slowMs; ++tries) {
            CHECK(tries < 4);
            onStoreCallStarted(throttle_, at(now));
            onStoreCallEnded(
                throttle_, StoreCallOutcome::TimedOut, at(now += storeTimeout(throttle_).count()), random_);
        }
        CHECK(!isStoreFailing(throttle_, at(now + slowMs)));
        for (int i = 0; i < 50; ++i) {
            recordStoreLatency(throttle_, Milliseconds { slowMs + i % 40 });
            CHECK(storeTimeout(throttle_).count() > slowMs + 40);
        }
    }

    // After an outage of five seconds, all VMs write their many pending claims at once.
    void manyVmsRecoverTogetherFromAnOutage()
    {
        auto totals = RateLimitedStore(60, true).run(20000);
        CHECK(totals.drainedAt_.has_value());
        // The backlog and the new calls are some 8,200 calls, which take 5.5 s at the store's rate.
        constexpr std::int64_t twiceTheMinimumMs = 11000;
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(*totals.drainedAt_), *totals.drainedAt_ < outageEndsMs + twiceTheMinimumMs);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(totals.refused_) + " refused, " + std::to_string(totals.served_)
                + " served, empty at " + std::to_string(*totals.drainedAt_),
            totals.refused_ < totals.served_ / 2);
        auto unthrottled = RateLimitedStore(60, false).run(20000);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(unthrottled.refused_), unthrottled.refused_ > 4 * totals.refused_);
    }
};

REGISTER_SUITE(StorePacing);
