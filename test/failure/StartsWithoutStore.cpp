// VMs that all start while the store does not serve them go on running, and serve once it does.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>

using namespace fescue::test;

class StartsWithoutStore : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StartsWithoutStore);
    CPPUNIT_TEST(storeThatRefusesAllCalls);
    CPPUNIT_TEST(storeThatIsOverItsRate);
    CPPUNIT_TEST(storeThatDoesNotAnswer);
    CPPUNIT_TEST(storeThatLosesTheFirstAnswers);
    CPPUNIT_TEST(storeThatForgetsItsHistory);
    CPPUNIT_TEST(storeThatRefusesAllAppendsDoesNotKeepVmsFromServing);
    CPPUNIT_TEST(entryThatThePredecessorRemovesLateIsWrittenAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void storeThatRefusesAllCalls();
    void storeThatIsOverItsRate();
    void storeThatDoesNotAnswer();
    void storeThatLosesTheFirstAnswers();
    void storeThatForgetsItsHistory();
    void storeThatRefusesAllAppendsDoesNotKeepVmsFromServing();
    void entryThatThePredecessorRemovesLateIsWrittenAgain();
};

REGISTER_SUITE(StartsWithoutStore);

namespace {

using Change = std::function<void(fescue::standin::PlatformStore&)>;

void waitForEntries(EntryVmHarness& vms, const std::map<std::string, std::string>& before)
{
    vms.waitUntil("each VM has written an entry of its own", [&vms, &before] {
        std::map<std::string, std::string> entries;
        vms.runOnStore([&entries](auto& store) { entries = store.newest("keyed.entry-vms"); });
        std::size_t written = 0;
        for (const auto& [vm, entry] : entries) {
            auto old = before.find(vm);
            written += !entry.empty() && (old == before.end() || old->second != entry) ? 1 : 0;
        }
        return written == vms.vmCount();
    });
}

// Starts all VMs anew after `begin`, and checks that each serves soon after `end`.
void checkAllServeAfter(const Change& begin, const Change& end)
{
    constexpr std::size_t vmCount = 3;
    constexpr std::chrono::milliseconds faultTime { 2500 };
    auto answer = [](const fescue::HttpHead& request, const std::string&) {
        return TargetAction { stampedResponse(request, "answer") };
    };
    EntryVmHarness vms({ answer, answer }, true, vmCount);
    waitForEntries(vms, {});
    std::map<std::string, std::string> before;
    vms.runOnStore([&before](auto& store) { before = store.newest("keyed.entry-vms"); });
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
    waitForEntries(vms, before);
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

// The same for a store that answers reads only, to VMs that have all ended at once: they serve meanwhile.
void StartsWithoutStore::storeThatRefusesAllAppendsDoesNotKeepVmsFromServing()
{
    constexpr std::size_t vmCount = 3;
    constexpr int rounds = 20;
    for (int status : { 503, 429 }) {
        auto answer = [](const fescue::HttpHead& request, const std::string&) {
            return TargetAction { stampedResponse(request, "answer") };
        };
        EntryVmHarness vms({ answer, answer }, true, vmCount);
        vms.runOnStore([status](auto& store) {
            store.faults().downStatus_ = status;
            store.faults().refusesAppends_ = true;
        });
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            vms.process(vm).signalAndWait(SIGKILL);
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            vms.replaceProcess(vm);
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            vms.waitUntil("the VM is ready", [&vms, vm] { return vms.readinessStatus(vm) == 200; });
        for (int round = 0; round < rounds; ++round) {
            std::size_t vm = round % vmCount;
            CHECK_EQUAL(200, vms.readinessStatus(vm));
            CHECK_EQUAL(200, statusOf(vms.requestAt(vm, "GET", "/read/x", requestHeaders)));
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
    }
}

// The same for a store that applies the first appends without an answer.
void StartsWithoutStore::storeThatLosesTheFirstAnswers()
{
    constexpr int lostAnswers = 6;
    checkAllServeAfter([](auto& store) { store.faults().answersToDrop_ = lostAnswers; },
        [](auto& store) { CHECK_EQUAL(0, std::exchange(store.faults().answersToDrop_, 0)); });
}

// The same for a store that leaves the first reads unanswered and has dropped its history when it answers
// again.
void StartsWithoutStore::storeThatForgetsItsHistory()
{
    checkAllServeAfter([](auto& store) { store.faults().holdsLongPolls_ = true; },
        [](auto& store) {
            for (const char* topic : { "keyed.op", "keyed.servers", "keyed.entry-vms" })
                store.compact(topic);
            store.faults().holdsLongPolls_ = false;
        });
}

// Guards against a VM that the others never learn of: the removal by its last process was applied late.
void StartsWithoutStore::entryThatThePredecessorRemovesLateIsWrittenAgain()
{
    EntryVmHarness vms({});
    waitForEntries(vms, {});
    vms.runOnStore([](auto& store) { store.put("keyed.entry-vms", "vm-a", ""); });
    waitForEntries(vms, {});
}
