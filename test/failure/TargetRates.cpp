// Guards against more requests for a target than the rate that it names for all VMs together.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <algorithm>
#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr std::size_t vmCount = 4;
// The platform lets a target that has just named a limit settle for this long.
constexpr Milliseconds settleTime { 3000 };
constexpr Milliseconds window { 4000 };
// The platform counts this as kept: one and a half times the rate, and five requests.
constexpr double toleratedFactor = 1.5;
constexpr int toleratedExcess = 5;

int toleratedInWindow(double perSecond)
{
    return static_cast<int>(toleratedFactor * perSecond * 4) + toleratedExcess;
}

// A target that names a rate, and records when requests arrive.
class LimitedTarget {
public:
    explicit LimitedTarget(const std::string& rate) { setRate(rate); }

    // Names this rate from now on; none if it is empty.
    void setRate(const std::string& rate)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        rate_ = rate;
    }

    ScriptedTarget::Script script()
    {
        return [this](const HttpHead& request, const std::string&) -> TargetAction {
            std::lock_guard<std::mutex> lock(mutex_);
            arrivals_.push_back(bootNow());
            std::string limit = rate_.empty() ? "" : "Server-Limit: " + rate_ + "\r\n";
            return { stampedHead(request, limit + "Content-Length: 4\r\n") + "done" };
        };
    }

    // The most requests in any window that begins after `from`.
    int mostInWindow(MonotonicTime from) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
        std::ptrdiff_t most = 0;
        for (auto begin = first; begin != arrivals_.end(); ++begin)
            most = std::max(most, std::lower_bound(begin, arrivals_.end(), *begin + window) - begin);
        return static_cast<int>(most);
    }

    int arrivedSince(MonotonicTime from) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return static_cast<int>(arrivals_.end() - std::lower_bound(arrivals_.begin(), arrivals_.end(), from));
    }

private:
    mutable std::mutex mutex_;
    std::string rate_;
    std::vector<MonotonicTime> arrivals_;
};

// Callers at all VMs.
class Load {
public:
    Load(EntryVmHarness& vms, const std::string& method, const std::string& path, Milliseconds interval,
        int callersPerVm = 3)
        : vms_(vms)
    {
        for (std::size_t vm = 0; vm < vms.vmCount(); ++vm) {
            for (int caller = 0; caller < callersPerVm; ++caller)
                threads_.emplace_back(
                    [this, vm, method, path, interval] { run(vm, method, path, interval); });
        }
    }

    ~Load() { stop(); }

    void stop()
    {
        isStopped_ = true;
        for (std::thread& thread : threads_) {
            if (thread.joinable())
                thread.join();
        }
    }

    std::atomic<int> served_ { 0 };
    std::atomic<int> refused_ { 0 };
    std::atomic<int> failed_ { 0 };
    std::atomic<std::int64_t> slowestRefusalMs_ { 0 };
    std::atomic<int> refusalsWithoutRetryAfter_ { 0 };

private:
    void run(std::size_t vm, const std::string& method, const std::string& path, Milliseconds interval)
    {
        while (!isStopped_) {
            MonotonicTime begin = bootNow();
            int status = 0;
            std::string answer;
            try {
                answer = vms_.requestAt(vm, method, path, requestHeaders, method == "POST" ? "pay" : "");
                status = statusOf(answer);
            } catch (const std::exception&) {
                status = 0; // The VM is being restarted.
            }
            count(status, answer, bootNow() - begin);
            std::this_thread::sleep_until(std::chrono::steady_clock::now() + interval - (bootNow() - begin));
        }
    }

    void count(int status, const std::string& answer, Milliseconds took)
    {
        if (status == 200) {
            ++served_;
            return;
        }
        ++(status == 503 ? refused_ : failed_);
        if (status != 503)
            return;
        slowestRefusalMs_ = std::max(slowestRefusalMs_.load(), std::int64_t { took.count() });
        if (answer.find("Retry-After") == std::string::npos)
            ++refusalsWithoutRetryAfter_;
    }

    EntryVmHarness& vms_;
    std::atomic<bool> isStopped_ { false };
    std::vector<std::thread> threads_;
};

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

} // namespace

class TargetRates : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TargetRates);
    CPPUNIT_TEST(targetGetsItsRateFromAllVmsTogether);
    CPPUNIT_TEST(callsThatRunOnceCountToo);
    CPPUNIT_TEST(restartedVmsAddNoBurst);
    CPPUNIT_TEST(rateOfAWholeServiceIsUsedAndTheRestRefusedAtOnce);
    CPPUNIT_TEST(endOfALimitIsNoticed);
    CPPUNIT_TEST(anotherStartIsFreeOfTheLimit);
    CPPUNIT_TEST(callersDoNotGetTheStatement);
    CPPUNIT_TEST_SUITE_END();

    // About 60 requests a second at all VMs together.
    static constexpr Milliseconds callInterval { 200 };

    static void keepsTheRate(const std::string& method, const std::string& path)
    {
        LimitedTarget limited("5");
        LimitedTarget free("");
        EntryVmHarness vms({ limited.script(), free.script() }, true, vmCount);
        Load load(vms, method, path, callInterval);
        MonotonicTime begin = bootNow();
        sleepFor(settleTime + 2 * window);
        load.stop();
        CHECK_EQUAL(0, load.failed_.load());
        CHECK_EQUAL(0, load.refused_.load());
        CHECK(limited.mostInWindow(begin + settleTime) <= toleratedInWindow(5));
        // A limit is no reason to leave the target alone.
        CHECK(limited.arrivedSince(begin + settleTime) > 0);
    }

public:
    void targetGetsItsRateFromAllVmsTogether() { keepsTheRate("GET", "/read/1"); }

    void callsThatRunOnceCountToo() { keepsTheRate("POST", "/call/1"); }

    void restartedVmsAddNoBurst()
    {
        LimitedTarget limited("5");
        LimitedTarget free("");
        EntryVmHarness vms({ limited.script(), free.script() }, true, vmCount);
        Load load(vms, "GET", "/read/1", callInterval);
        MonotonicTime begin = bootNow();
        sleepFor(settleTime);
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            vms.restartVm(vm);
            sleepFor(Milliseconds { 1500 });
        }
        sleepFor(window);
        load.stop();
        CHECK(limited.mostInWindow(begin + settleTime) <= toleratedInWindow(5));
    }

    void rateOfAWholeServiceIsUsedAndTheRestRefusedAtOnce()
    {
        constexpr double rate = 10;
        LimitedTarget first("10");
        LimitedTarget second("10");
        EntryVmHarness vms({ first.script(), second.script() }, true, vmCount);
        // Each caller waits for its answer, so there are more of them than can wait for the rate.
        constexpr int callersPerVm = 16;
        Load load(vms, "GET", "/read/1", callInterval, callersPerVm);
        MonotonicTime begin = bootNow();
        sleepFor(settleTime + 2 * window);
        load.stop();
        for (const LimitedTarget* target : { &first, &second }) {
            CHECK(target->mostInWindow(begin + settleTime) <= toleratedInWindow(rate));
            CHECK(target->mostInWindow(begin + settleTime) >= static_cast<int>(rate * 4 / 2));
        }
        CHECK_EQUAL(0, load.failed_.load());
        CHECK(load.refused_ > 0);
        CHECK_EQUAL(0, load.refusalsWithoutRetryAfter_.load());
        // Callers wait 1.2 s; a refusal after that would come too late for them.
        CHECK(load.slowestRefusalMs_ < 1000);
    }

    void endOfALimitIsNoticed()
    {
        LimitedTarget target("5");
        EntryVmHarness vms({ target.script() }, true, vmCount);
        Load load(vms, "GET", "/read/1", callInterval);
        sleepFor(settleTime);
        CHECK(load.refused_ > 0);
        target.setRate("");
        sleepFor(settleTime);
        int refused = load.refused_;
        sleepFor(Milliseconds { 1000 });
        load.stop();
        CHECK_EQUAL(refused, load.refused_.load());
    }

    void anotherStartIsFreeOfTheLimit()
    {
        LimitedTarget target("0.5");
        EntryVmHarness vms({ target.script() }, true, vmCount);
        {
            Load load(vms, "GET", "/read/1", callInterval);
            sleepFor(settleTime);
            load.stop();
            CHECK(load.refused_ > 0);
        }
        target.setRate("");
        vms.runOnStore([&](standin::PlatformStore&) { vms.target(0).crash(); });
        sleepFor(settleTime);
        Load load(vms, "GET", "/read/1", callInterval);
        sleepFor(Milliseconds { 1000 });
        load.stop();
        CHECK(load.served_ > 0);
        CHECK_EQUAL(0, load.refused_.load());
    }

    void callersDoNotGetTheStatement()
    {
        LimitedTarget target("5");
        EntryVmHarness vm({ target.script() });
        std::string answer = vm.request("GET", "/read/1", requestHeaders);
        CHECK_EQUAL(200, statusOf(answer));
        CHECK(answer.find("Server-Limit") == std::string::npos);
    }
};

REGISTER_SUITE(TargetRates);
