// Which requests are held responsible for the crashes of targets.

#include "CrashRecords.h"
#include "CrashWatch.h"
#include "Suite.h"

using namespace fescue;

namespace {

const ContentDigest crashing { 7 };
const ContentDigest beside { 5 };
const WriterId own { "vm-a#1" };
const WriterId other { "vm-b#1" };

MonotonicTime at(std::int64_t ms) { return MonotonicTime { Milliseconds { 1000000 + ms } }; }

CrashId crash(int number) { return { "i-" + std::to_string(number) + "@1" }; }

Quarantine sharedQuarantine()
{
    Quarantine quarantine;
    quarantine.own_ = own;
    quarantine.threshold_ = 3;
    return quarantine;
}

bool isRefused(const Quarantine& quarantine, ContentDigest digest)
{
    return isQuarantined(quarantine, digest, at(0));
}

EndedConnection endedAt(std::int64_t ms) { return { crashing, { "i-1" }, Milliseconds { 1 }, at(ms) }; }

TargetList listRead(std::int64_t readAt, std::uint64_t heartbeat, std::int64_t startedAt = 1)
{
    TargetList list;
    list.readAt_ = at(readAt);
    TargetEntry entry;
    entry.id_ = { "i-1" };
    entry.startedAt_ = Milliseconds { startedAt };
    entry.heartbeat_ = heartbeat;
    list.entries_[entry.id_] = entry;
    return list;
}

} // namespace

class CrashEvidence : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashEvidence);
    CPPUNIT_TEST(crashesOfAllVmsAddUp);
    CPPUNIT_TEST(crashSeenByManyVmsCountsOnce);
    CPPUNIT_TEST(crashesOfTheCrashingRequestDoNotCountForThoseBeside);
    CPPUNIT_TEST(crashesOfItsOwnStillCountForARequestBeside);
    CPPUNIT_TEST(withdrawnAndClearedCrashesNoLongerCount);
    CPPUNIT_TEST(crashesExpire);
    CPPUNIT_TEST(fullQuarantineForgetsTheOldestDigest);
    CPPUNIT_TEST(processWithAnOlderOpenConnectionIsRunning);
    CPPUNIT_TEST(processWithoutOpenConnectionHasPossiblyEnded);
    CPPUNIT_TEST(laterHeartbeatShowsThatTheProcessRuns);
    CPPUNIT_TEST(heartbeatFromBeforeTheEndShowsNothing);
    CPPUNIT_TEST(missingOrNewProcessConfirmsTheEnd);
    CPPUNIT_TEST(recordsAreReadBack);
    CPPUNIT_TEST(malformedRecordsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashesOfAllVmsAddUp()
    {
        Quarantine quarantine = sharedQuarantine();
        recordCrash(quarantine, crashing, crash(1), at(0));
        replaceCrashes(quarantine, crashing, other, { crash(2) }, at(0));
        CHECK(isSuspect(quarantine, crashing, at(0)) && !isRefused(quarantine, crashing));
        replaceCrashes(quarantine, crashing, other, { crash(2), crash(3) }, at(0));
        CHECK(isRefused(quarantine, crashing));
        CHECK(!isRefused(quarantine, beside));
    }

    void crashSeenByManyVmsCountsOnce()
    {
        Quarantine quarantine = sharedQuarantine();
        recordCrash(quarantine, crashing, crash(1), at(0));
        for (const char* writer : { "vm-b#1", "vm-c#1", "vm-d#1" })
            replaceCrashes(quarantine, crashing, { writer }, { crash(1), crash(2) }, at(0));
        CHECK_EQUAL(2U, crashCount(quarantine, crashing, at(0)));
        CHECK(!isRefused(quarantine, crashing));
    }

    void crashesOfTheCrashingRequestDoNotCountForThoseBeside()
    {
        Quarantine quarantine = sharedQuarantine();
        for (int i = 1; i <= 3; ++i)
            recordCrash(quarantine, beside, crash(i), at(0));
        CHECK(isRefused(quarantine, beside));
        for (int i = 1; i <= 4; ++i)
            replaceCrashes(quarantine, crashing, other, { crash(1), crash(2), crash(3), crash(4) }, at(0));
        CHECK(isRefused(quarantine, crashing));
        CHECK(!isRefused(quarantine, beside));
    }

    void crashesOfItsOwnStillCountForARequestBeside()
    {
        Quarantine quarantine = sharedQuarantine();
        for (int i = 1; i <= 5; ++i)
            recordCrash(quarantine, crashing, crash(i), at(0));
        for (int i = 4; i <= 7; ++i)
            recordCrash(quarantine, beside, crash(i), at(0));
        CHECK(isRefused(quarantine, crashing) && !isRefused(quarantine, beside));
        recordCrash(quarantine, beside, crash(8), at(0));
        CHECK(isRefused(quarantine, crashing) && isRefused(quarantine, beside));
    }

    void withdrawnAndClearedCrashesNoLongerCount()
    {
        Quarantine quarantine = sharedQuarantine();
        for (int i = 1; i <= 3; ++i)
            recordCrash(quarantine, crashing, crash(i), at(0));
        withdrawCrash(quarantine, crashing, crash(2));
        CHECK(!isRefused(quarantine, crashing));
        replaceCrashes(quarantine, crashing, other, { crash(4) }, at(0));
        CHECK(isRefused(quarantine, crashing));
        replaceCrashes(quarantine, crashing, other, {}, at(0));
        CHECK(!isRefused(quarantine, crashing));
        clearCrashes(quarantine, crashing);
        CHECK(!isSuspect(quarantine, crashing, at(0)) && quarantine.records_.empty());
    }

    void crashesExpire()
    {
        Quarantine quarantine = sharedQuarantine();
        for (int i = 1; i <= 3; ++i)
            recordCrash(quarantine, crashing, crash(i), at(0));
        std::int64_t expiry = quarantine.crashExpiry_.count();
        CHECK(isQuarantined(quarantine, crashing, at(expiry - 1)));
        CHECK(!isQuarantined(quarantine, crashing, at(expiry)));
        recordCrash(quarantine, crashing, crash(4), at(expiry));
        CHECK_EQUAL(1U, crashCount(quarantine, crashing, at(expiry)));
    }

    void fullQuarantineForgetsTheOldestDigest()
    {
        Quarantine quarantine = sharedQuarantine();
        quarantine.maxDigests_ = 2;
        for (int i = 1; i <= 3; ++i)
            recordCrash(quarantine, crashing, crash(i), at(0));
        recordCrash(quarantine, { 1 }, crash(1), at(1));
        recordCrash(quarantine, { 2 }, crash(1), at(2));
        CHECK_EQUAL(std::size_t { 2 }, quarantine.records_.size());
        CHECK(!isRefused(quarantine, crashing) && quarantine.quarantined_.empty());
    }

    void processWithAnOlderOpenConnectionIsRunning()
    {
        EndedConnection ended = endedAt(0);
        CHECK(judgeProcess(ended, true, listRead(0, 1), at(50)) == ProcessState::Unknown);
        CHECK(judgeProcess(ended, true, listRead(0, 1), at(200)) == ProcessState::Running);
    }

    void processWithoutOpenConnectionHasPossiblyEnded()
    {
        EndedConnection ended = endedAt(0);
        CHECK(judgeProcess(ended, false, listRead(0, 1), at(200)) == ProcessState::PossiblyEnded);
    }

    void laterHeartbeatShowsThatTheProcessRuns()
    {
        EndedConnection ended = endedAt(0);
        ended.isRecorded_ = true;
        CHECK(judgeProcess(ended, false, listRead(1600, 4), at(1600)) == ProcessState::PossiblyEnded);
        CHECK(judgeProcess(ended, false, listRead(2300, 5), at(2300)) == ProcessState::Running);
    }

    // A heartbeat may be read some time after the target has sent it.
    void heartbeatFromBeforeTheEndShowsNothing()
    {
        EndedConnection ended = endedAt(0);
        ended.isRecorded_ = true;
        CHECK(judgeProcess(ended, false, listRead(-300, 3), at(200)) == ProcessState::PossiblyEnded);
        CHECK(judgeProcess(ended, false, listRead(300, 4), at(400)) == ProcessState::PossiblyEnded);
        CHECK(judgeProcess(ended, false, listRead(1400, 5), at(1400)) == ProcessState::PossiblyEnded);
        CHECK(judgeProcess(ended, false, listRead(1600, 5), at(1600)) == ProcessState::PossiblyEnded);
        CHECK(judgeProcess(ended, false, listRead(2300, 5), at(2300)) == ProcessState::PossiblyEnded);
    }

    void missingOrNewProcessConfirmsTheEnd()
    {
        EndedConnection ended = endedAt(0);
        CHECK(judgeProcess(ended, false, listRead(1600, 1, 2), at(1600)) == ProcessState::Ended);
        TargetList list = listRead(1600, 1);
        list.entries_.clear();
        CHECK(judgeProcess(ended, false, list, at(1600)) == ProcessState::Ended);
    }

    void recordsAreReadBack()
    {
        std::string key = crashRecordKey(crashing, other);
        CHECK(isCrashRecord(key));
        auto stored = parseCrashRecord(key, crashRecordValue({ crash(1), crash(2) }, Milliseconds { 9 }));
        CHECK(stored && stored->digest_ == crashing && stored->writer_ == other);
        CHECK(stored->crashes_ == std::set<CrashId>({ crash(1), crash(2) }));
        CHECK_EQUAL(std::int64_t { 9 }, static_cast<std::int64_t>(stored->recordedAt_.count()));
        CHECK(parseCrashRecord(key, "")->crashes_.empty());
    }

    void malformedRecordsAreRejected()
    {
        std::string key = crashRecordKey(crashing, other);
        for (const char* value : { "x", "{}", "[1]", "[1,2]", "[1,[2]]", R"(["a",[]])", "[1,[],2]" })
            CHECK(!parseCrashRecord(key, value));
        for (const char* bad : { "crash:", "crash:12:vm",
                 "crash:0000000000000007:", "crash:0000000000000007vm", "crash:000000000000000g:vm", "vm-a" })
            CHECK(!parseCrashRecord(bad, "[1,[]]"));
    }
};

REGISTER_SUITE(CrashEvidence);
