// Guards against an event loop that stands still for seconds or minutes, after which the VM counts as one
// that does not serve, when many requests have crashed targets and a VM reads the records of it as it starts.

#include "BootClock.h"
#include "CrashRecords.h"
#include "CrashTracker.h"
#include "StoreClient.h"
#include "Suite.h"
#include "TargetList.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <random>

using namespace fescue;

namespace {

constexpr std::uint32_t threshold = 3;
// In which the platform's check of readiness wants its answer.
constexpr Milliseconds maxStandstill { 1000 };

CrashId crash(std::size_t number) { return { "i-" + std::to_string(number) + "@1765121536000" }; }

Milliseconds timeOfDay()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

// Records of contents of which `beside` each ran beside each other whenever one of their targets crashed.
std::vector<platform::KeyedRecord> recordsOf(std::size_t contents, std::size_t beside)
{
    std::vector<platform::KeyedRecord> records;
    for (std::size_t i = 0; i < contents; ++i) {
        std::set<CrashId> crashes;
        for (std::size_t k = 0; k < threshold; ++k)
            crashes.insert(crash(i / beside * threshold + k));
        records.push_back(
            { crashRecordKey({ 1000 + i }, { "vm-b#1" }), crashRecordValue(crashes, timeOfDay()) });
    }
    return records;
}

struct Vm {
    asio::io_context io_ { 1 };
    platform::StoreClient store_ { io_, { asio::ip::address_v4::loopback(), 1 } };
    Quarantine quarantine_;
    CrashTracker tracker_ { quarantine_, store_, { "vm-a#1" } };

    Vm() { quarantine_.threshold_ = threshold; }
};

Milliseconds timeToApply(Vm& vm, const std::vector<platform::KeyedRecord>& records)
{
    MonotonicTime begin = bootNow();
    vm.tracker_.applyRecords(records, true);
    return bootNow() - begin;
}

// The same as the quarantine attributes, looked up from scratch for each digest.
std::set<ContentDigest> attributeSimply(std::map<ContentDigest, std::set<CrashId>> crashes)
{
    std::set<ContentDigest> quarantined;
    while (!crashes.empty()) {
        auto worst = std::max_element(crashes.begin(), crashes.end(),
            [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
        if (worst->second.size() < threshold)
            break;
        quarantined.insert(worst->first);
        std::set<CrashId> attributed = worst->second;
        crashes.erase(worst);
        for (auto& [digest, left] : crashes) {
            for (const CrashId& one : attributed)
                left.erase(one);
        }
    }
    return quarantined;
}

} // namespace

class ManyCrashes : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ManyCrashes);
    CPPUNIT_TEST(recordsOfContentsThatEachCrashTargetsAreReadAtOnce);
    CPPUNIT_TEST(recordsOfContentsBesideEachOtherAreReadAtOnce);
    CPPUNIT_TEST(crashesAreAttributedAsOneAfterAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordsOfContentsThatEachCrashTargetsAreReadAtOnce()
    {
        constexpr std::size_t contents = 1000;
        Vm vm;
        Milliseconds time = timeToApply(vm, recordsOf(contents, 1));
        CHECK_EQUAL(contents, vm.quarantine_.quarantined_.size());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()) + " ms", time < maxStandstill);
    }

    void recordsOfContentsBesideEachOtherAreReadAtOnce()
    {
        constexpr std::size_t contents = 4000;
        constexpr std::size_t beside = 100;
        Vm vm;
        Milliseconds time = timeToApply(vm, recordsOf(contents, beside));
        CHECK_EQUAL(contents / beside, vm.quarantine_.quarantined_.size());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()) + " ms", time < maxStandstill);
    }

    void crashesAreAttributedAsOneAfterAnother()
    {
        constexpr int rounds = 200;
        constexpr std::size_t contents = 12;
        constexpr std::size_t crashes = 20;
        std::mt19937 random(1);
        for (int round = 0; round < rounds; ++round) {
            Quarantine quarantine;
            quarantine.threshold_ = threshold;
            std::map<ContentDigest, std::set<CrashId>> expected;
            deferAttribution(quarantine);
            for (std::size_t i = 1; i <= contents; ++i) {
                std::set<CrashId>& own = expected[{ i }];
                for (std::size_t k = 0; k < random() % crashes; ++k)
                    own.insert(crash(random() % crashes));
                replaceCrashes(quarantine, { i }, { "vm-b#1" }, own, bootNow());
            }
            resumeAttribution(quarantine);
            CHECK(quarantine.quarantined_ == attributeSimply(expected));
            // One change at a time comes to the same.
            ContentDigest erased { 1 + random() % contents };
            clearCrashes(quarantine, erased);
            expected.erase(erased);
            CHECK(quarantine.quarantined_ == attributeSimply(expected));
        }
    }
};

REGISTER_SUITE(ManyCrashes);
