#include "Suite.h"
#include "TargetList.h"

using namespace fescue;

namespace {

MonotonicTime at(std::int64_t ms) { return MonotonicTime(Milliseconds { 100000 + ms }); }

TargetEntry entry(const std::string& id, bool isLeaving = false)
{
    return { { id }, { "app" }, "10.0.0.1:80", { "zone-a" }, 6, isLeaving };
}

} // namespace

class TargetEntries : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TargetEntries);
    CPPUNIT_TEST(removalTakesEffectAtOnce);
    CPPUNIT_TEST(expiredEntryMayReappearAfterAnOutage);
    CPPUNIT_TEST(entryMissingAfterTheGracePeriodIsRemoved);
    CPPUNIT_TEST(leavingTakesEffectDuringTheGracePeriod);
    CPPUNIT_TEST(removalAfterTheGracePeriodTakesEffectAtOnce);
    CPPUNIT_TEST_SUITE_END();

    TargetList list_;

public:
    void setUp() override
    {
        list_ = {};
        applyFullList(list_, { entry("i-1"), entry("i-2") }, at(0));
    }

    void removalTakesEffectAtOnce()
    {
        applyTargetChange(list_, { "i-1" }, std::nullopt, at(10));
        CHECK_EQUAL(std::size_t { 1 }, list_.entries_.size());
    }

    void expiredEntryMayReappearAfterAnOutage()
    {
        recordStoreReconnect(list_, at(5000));
        applyFullList(list_, { entry("i-2") }, at(5001));
        CHECK_EQUAL(std::size_t { 2 }, list_.entries_.size());
        applyTargetChange(list_, { "i-1" }, entry("i-1"), at(6000));
        CHECK(!removeMissing(list_, at(9000)));
        CHECK_EQUAL(std::size_t { 2 }, list_.entries_.size());
    }

    void entryMissingAfterTheGracePeriodIsRemoved()
    {
        recordStoreReconnect(list_, at(5000));
        applyFullList(list_, { entry("i-2") }, at(5001));
        CHECK(!removeMissing(list_, at(5000) + missingEntryGracePeriod - Milliseconds { 1 }));
        CHECK(removeMissing(list_, at(5000) + missingEntryGracePeriod));
        CHECK_EQUAL(std::size_t { 1 }, list_.entries_.size());
    }

    void leavingTakesEffectDuringTheGracePeriod()
    {
        recordStoreReconnect(list_, at(5000));
        applyTargetChange(list_, { "i-1" }, entry("i-1", true), at(5001));
        CHECK(list_.entries_.at({ "i-1" }).isLeaving_);
    }

    void removalAfterTheGracePeriodTakesEffectAtOnce()
    {
        recordStoreReconnect(list_, at(5000));
        applyTargetChange(list_, { "i-1" }, std::nullopt, at(5000) + missingEntryGracePeriod);
        CHECK_EQUAL(std::size_t { 1 }, list_.entries_.size());
    }
};

REGISTER_SUITE(TargetEntries);
