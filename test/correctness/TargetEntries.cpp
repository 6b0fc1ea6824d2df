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
    CPPUNIT_TEST(removalCountsAtOnce);
    CPPUNIT_TEST(entryThatLapsedDuringAnOutageMayComeBack);
    CPPUNIT_TEST(entryThatStaysMissingIsDropped);
    CPPUNIT_TEST(leavingCountsAlsoRightAfterAnOutage);
    CPPUNIT_TEST(removalLongAfterAnOutageCountsAtOnce);
    CPPUNIT_TEST_SUITE_END();

    TargetList list_;

public:
    void setUp() override
    {
        list_ = {};
        takeWholeList(list_, { entry("i-1"), entry("i-2") }, at(0));
    }

    void removalCountsAtOnce()
    {
        takeTargetChange(list_, { "i-1" }, std::nullopt, at(10));
        CHECK_EQUAL(std::size_t { 1 }, list_.entries_.size());
    }

    void entryThatLapsedDuringAnOutageMayComeBack()
    {
        storeReturned(list_, at(5000));
        takeWholeList(list_, { entry("i-2") }, at(5001));
        CHECK_EQUAL(std::size_t { 2 }, list_.entries_.size());
        takeTargetChange(list_, { "i-1" }, entry("i-1"), at(6000));
        CHECK(!dropMissing(list_, at(9000)));
        CHECK_EQUAL(std::size_t { 2 }, list_.entries_.size());
    }

    void entryThatStaysMissingIsDropped()
    {
        storeReturned(list_, at(5000));
        takeWholeList(list_, { entry("i-2") }, at(5001));
        CHECK(!dropMissing(list_, at(5000) + entriesReturnWithin - Milliseconds { 1 }));
        CHECK(dropMissing(list_, at(5000) + entriesReturnWithin));
        CHECK_EQUAL(std::size_t { 1 }, list_.entries_.size());
    }

    void leavingCountsAlsoRightAfterAnOutage()
    {
        storeReturned(list_, at(5000));
        takeTargetChange(list_, { "i-1" }, entry("i-1", true), at(5001));
        CHECK(list_.entries_.at({ "i-1" }).isLeaving_);
    }

    void removalLongAfterAnOutageCountsAtOnce()
    {
        storeReturned(list_, at(5000));
        takeTargetChange(list_, { "i-1" }, std::nullopt, at(5000) + entriesReturnWithin);
        CHECK_EQUAL(std::size_t { 1 }, list_.entries_.size());
    }
};

REGISTER_SUITE(TargetEntries);
