#include "Suite.h"
#include "TargetList.h"

using namespace fescue;

namespace {

MonotonicTime at(std::int64_t ms) { return MonotonicTime(Milliseconds { 100000 + ms }); }

constexpr Milliseconds minLapse { 2400 };

TargetEntry entry(const std::string& id, bool isLeaving = false)
{
    return { { id }, { "app" }, "10.0.0.1:80", { "zone-a" }, 6, isLeaving };
}

TargetEntry report(std::int64_t startedAt, std::uint64_t number, bool isLeaving = false)
{
    TargetEntry report = entry("i-1", isLeaving);
    report.startedAt_ = Milliseconds { startedAt };
    report.heartbeat_ = number;
    return report;
}

} // namespace

class TargetEntries : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TargetEntries);
    CPPUNIT_TEST(removalTakesEffectAtOnce);
    CPPUNIT_TEST(expiredEntryMayReappearAfterAnOutage);
    CPPUNIT_TEST(entryMissingAfterTheGracePeriodIsRemoved);
    CPPUNIT_TEST(entryThatIsBackInTheFinalReadIsKept);
    CPPUNIT_TEST(entryIsRemovedInTimeWithoutAFinalRead);
    CPPUNIT_TEST(leavingTakesEffectDuringTheGracePeriod);
    CPPUNIT_TEST(removalAfterTheGracePeriodTakesEffectAtOnce);
    CPPUNIT_TEST(removalAfterAFailureThatWasTooShortForALapseTakesEffectAtOnce);
    CPPUNIT_TEST(olderReportChangesNothing);
    CPPUNIT_TEST(olderReportDoesNotBringBackARemovedEntry);
    CPPUNIT_TEST(laterReportBringsBackARemovedEntry);
    CPPUNIT_TEST(reportsThatGoOnAreThoseOfAnotherStart);
    CPPUNIT_TEST(delayedReportsAreNeverTakenWhileNewerOnesCome);
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
        recordStoreReconnect(list_, minLapse, at(5000));
        applyFullList(list_, { entry("i-2") }, at(5001));
        CHECK_EQUAL(std::size_t { 2 }, list_.entries_.size());
        applyTargetChange(list_, { "i-1" }, entry("i-1"), at(6000));
        CHECK(!removeMissing(list_, at(9000)));
        CHECK_EQUAL(std::size_t { 2 }, list_.entries_.size());
    }

    void entryMissingAfterTheGracePeriodIsRemoved()
    {
        recordStoreReconnect(list_, minLapse, at(5000));
        applyFullList(list_, { entry("i-2") }, at(5001));
        MonotonicTime end = at(5000) + missingEntryGracePeriod;
        markRead(list_, end - Milliseconds { 1 });
        CHECK(!removeMissing(list_, end - Milliseconds { 1 }));
        CHECK(!awaitsFinalRead(list_, end - Milliseconds { 1 }));
        // An entry that came back just before is not in the last read.
        CHECK(awaitsFinalRead(list_, end));
        CHECK(!removeMissing(list_, end));
        markRead(list_, end);
        CHECK(!awaitsFinalRead(list_, end));
        CHECK(removeMissing(list_, end));
        CHECK_EQUAL(std::size_t { 1 }, list_.entries_.size());
    }

    void entryThatIsBackInTheFinalReadIsKept()
    {
        recordStoreReconnect(list_, minLapse, at(5000));
        applyFullList(list_, { entry("i-2") }, at(5001));
        MonotonicTime end = at(5000) + missingEntryGracePeriod;
        CHECK(!removeMissing(list_, end));
        markRead(list_, end);
        applyTargetChange(list_, { "i-1" }, entry("i-1"), end);
        CHECK(!removeMissing(list_, end));
        CHECK_EQUAL(std::size_t { 2 }, list_.entries_.size());
    }

    // A VM that has noticed the end of a cut within 0.85 s no longer uses the target 3 s after it.
    void entryIsRemovedInTimeWithoutAFinalRead()
    {
        constexpr Milliseconds noticedWithin { 850 };
        constexpr Milliseconds stableWindow { 3000 };
        recordStoreReconnect(list_, minLapse, at(5000) + noticedWithin);
        applyFullList(list_, { entry("i-2") }, at(5001) + noticedWithin);
        CHECK(removeMissing(list_, at(5000) + stableWindow));
    }

    void leavingTakesEffectDuringTheGracePeriod()
    {
        recordStoreReconnect(list_, minLapse, at(5000));
        applyTargetChange(list_, { "i-1" }, entry("i-1", true), at(5001));
        CHECK(list_.entries_.at({ "i-1" }).isLeaving_);
    }

    void removalAfterTheGracePeriodTakesEffectAtOnce()
    {
        recordStoreReconnect(list_, minLapse, at(5000));
        applyTargetChange(list_, { "i-1" }, std::nullopt, at(5000) + missingEntryGracePeriod);
        CHECK_EQUAL(std::size_t { 1 }, list_.entries_.size());
    }

    void removalAfterAFailureThatWasTooShortForALapseTakesEffectAtOnce()
    {
        list_.readAt_ = at(4000);
        recordStoreReconnect(list_, minLapse, at(4000) + minLapse - Milliseconds { 1 });
        applyTargetChange(list_, { "i-1" }, std::nullopt, at(6500));
        CHECK(!list_.entries_.count({ "i-1" }));
    }

    void olderReportChangesNothing()
    {
        applyTargetChange(list_, { "i-1" }, report(7, 5, true), at(100));
        applyTargetChange(list_, { "i-1" }, report(7, 4), at(200));
        applyTargetChange(list_, { "i-1" }, report(6, 90), at(300));
        applyFullList(list_, { report(7, 3), entry("i-2") }, at(400));
        CHECK(list_.entries_.at({ "i-1" }).isLeaving_);
        CHECK(list_.entries_.at({ "i-1" }).startedAt_ == Milliseconds { 7 });
        applyTargetChange(list_, { "i-1" }, report(8, 1), at(500));
        CHECK(!list_.entries_.at({ "i-1" }).isLeaving_);
    }

    void olderReportDoesNotBringBackARemovedEntry()
    {
        applyTargetChange(list_, { "i-1" }, report(7, 5), at(100));
        applyTargetChange(list_, { "i-1" }, std::nullopt, at(200));
        applyTargetChange(list_, { "i-1" }, report(7, 4), at(300));
        applyTargetChange(list_, { "i-1" }, report(7, 5), at(400));
        CHECK(!list_.entries_.count({ "i-1" }));
    }

    void laterReportBringsBackARemovedEntry()
    {
        applyTargetChange(list_, { "i-1" }, report(7, 5), at(100));
        applyTargetChange(list_, { "i-1" }, std::nullopt, at(200));
        applyTargetChange(list_, { "i-1" }, report(7, 6), at(300));
        CHECK(list_.entries_.count({ "i-1" }));
    }

    // The clock of the target's machine was set back before its process started again.
    void reportsThatGoOnAreThoseOfAnotherStart()
    {
        applyTargetChange(list_, { "i-1" }, report(7, 5), at(0));
        for (int i = 1; i <= 3; ++i)
            applyTargetChange(list_, { "i-1" }, report(6, static_cast<std::uint64_t>(i)), at(1200 * i));
        CHECK(list_.entries_.at({ "i-1" }).startedAt_ == Milliseconds { 7 });
        applyTargetChange(list_, { "i-1" }, report(6, 4), at(1200) + rivalConfirmationTime);
        CHECK(list_.entries_.at({ "i-1" }).startedAt_ == Milliseconds { 6 });
    }

    void delayedReportsAreNeverTakenWhileNewerOnesCome()
    {
        for (std::uint64_t i = 1; i <= 20; ++i) {
            applyTargetChange(list_, { "i-1" }, report(7, 10 + i, true), at(static_cast<int>(i) * 1200));
            applyTargetChange(list_, { "i-1" }, report(6, i), at(static_cast<int>(i) * 1200 + 600));
            CHECK(list_.entries_.at({ "i-1" }).isLeaving_);
        }
    }
};

REGISTER_SUITE(TargetEntries);
