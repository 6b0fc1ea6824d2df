// VMs that all start while the store does not serve them go on running, and serve once it does.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <chrono>
#include <functional>
#include <thread>

using namespace fescue::test;

class StartsWithoutStore : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StartsWithoutStore);
    CPPUNIT_TEST(storeThatRefusesAllCalls);
    CPPUNIT_TEST(storeThatIsOverItsRate);
    CPPUNIT_TEST(storeThatDoesNotAnswer);
    CPPUNIT_TEST(storeThatLosesTheFirstAnswers);
    CPPUNIT_TEST(storeThatForgetsItsHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    void storeThatRefusesAllCalls();
    void storeThatIsOverItsRate();
    void storeThatDoesNotAnswer();
    void storeThatLosesTheFirstAnswers();
    void storeThatForgetsItsHistory();
};

REGISTER_SUITE(StartsWithoutStore);

namespace {

using Change = std::function<void(fescue::standin::PlatformStore&)>;

// Starts all VMs anew after `begin`, and checks that each serves soon after `end`.
void checkAllServeAfter(const Change& begin, const Change& end)
{
    constexpr std::size_t vmCount = 3;
    constexpr std::chrono::milliseconds faultTime { 2500 };
    auto answer = [](const fescue::HttpHead& request, const std::string&) {
        return TargetAction { stampedResponse(request, "answer") };
    };
    EntryVmHarness vms({ answer, answer }, true, vmCount);
    vms.runOnStore(begin);
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        vms.replaceProcess(vm);
    std::this_thread::sleep_for(faultTime);
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        CHECK(!vms.process(vm).tryReap());
    vms.runOnStore(end);
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        vms.waitUntil("the VM is ready", [&vms, vm] { return vms.readinessStatus(vm) == 200; });
        CHECK_EQUAL(200, statusOf(vms.requestAt(vm, "GET", "/read/x", requestHeaders)));
    }
}

} // namespace

// Guards against a day on which no request is served, although all processes run.
void StartsWithoutStore::storeThatRefusesAllCalls()
{
    checkAllServeAfter([](auto& store) { store.faults().isDown_ = true; },
        [](auto& store) { store.faults().isDown_ = false; });
}

// The same for a store that says 429, as to calls beyond its rate.
void StartsWithoutStore::storeThatIsOverItsRate()
{
    checkAllServeAfter(
        [](auto& store) {
            store.faults().downStatus_ = 429;
            store.faults().isDown_ = true;
        },
        [](auto& store) { store.faults().isDown_ = false; });
}

// The same for a store that takes connections and is silent.
void StartsWithoutStore::storeThatDoesNotAnswer()
{
    checkAllServeAfter([](auto& store) { store.faults().isSilent_ = true; },
        [](auto& store) { store.faults().isSilent_ = false; });
}

// The same for a store that applies the first appends without an answer.
void StartsWithoutStore::storeThatLosesTheFirstAnswers()
{
    constexpr int lostAnswers = 6;
    checkAllServeAfter([](auto& store) { store.faults().answersToDrop_ = lostAnswers; },
        [](auto& store) { store.faults().answersToDrop_ = 0; });
}

// The same for a store that keeps only the newest records while the VMs start.
void StartsWithoutStore::storeThatForgetsItsHistory()
{
    auto compactAll = [](auto& store) {
        for (const char* topic : { "keyed.op", "keyed.servers", "keyed.entry-vms" })
            store.compact(topic);
    };
    checkAllServeAfter(compactAll, compactAll);
}
