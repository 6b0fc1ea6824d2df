// A new owner continues from the state in the log, also if older records have expired.

#include "ShardBench.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

class ShardTakeOver : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardTakeOver);
    CPPUNIT_TEST(thirdOwnerWaitsForTheSendWindowOfTheFirst);
    CPPUNIT_TEST(idleProgramsOfAPreviousOwnerAreEnded);
    CPPUNIT_TEST(ledgerSurvivesSerialization);
    CPPUNIT_TEST(readerAfterAGapContinuesFromTheSnapshot);
    CPPUNIT_TEST(withoutASnapshotEarlierProgramsAreRefused);
    CPPUNIT_TEST(ownerWhoseNextEntriesExpiredLosesOwnership);
    CPPUNIT_TEST(snapshotsAreWrittenByCountAndByTime);
    CPPUNIT_TEST(evictedShardIsReadAgain);
    CPPUNIT_TEST(endIsAnsweredOnceItIsConfirmed);
    CPPUNIT_TEST(unconfirmedEndIsPassedOnToTheNextOwner);
    CPPUNIT_TEST(endDuringALogOutageIsNotDurable);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        bench_.claim(a_);
        bench_.create(a_, "p");
        bench_.flush(a_);
    }
    void thirdOwnerWaitsForTheSendWindowOfTheFirst();
    void idleProgramsOfAPreviousOwnerAreEnded();
    void ledgerSurvivesSerialization();
    void readerAfterAGapContinuesFromTheSnapshot();
    void withoutASnapshotEarlierProgramsAreRefused();
    void ownerWhoseNextEntriesExpiredLosesOwnership();
    void snapshotsAreWrittenByCountAndByTime();
    void evictedShardIsReadAgain();
    void endIsAnsweredOnceItIsConfirmed();
    void unconfirmedEndIsPassedOnToTheNextOwner();
    void endDuringALogOutageIsNotDurable();

private:
    std::size_t snapshots() const
    {
        std::size_t count = 0;
        for (const Batch& batch : bench_.log_) {
            for (const RecordBody& body : batch.records_)
                count += std::holds_alternative<ShardSnapshot>(body) ? 1 : 0;
        }
        return count;
    }
    void tick(BenchOwner& owner)
    {
        tickShard(owner.shard_, bench_.context());
        bench_.flush(owner);
    }

    ShardBench bench_;
    BenchOwner a_ { "a" };
    BenchOwner b_ { "b" };
    BenchOwner c_ { "c" };
};

REGISTER_SUITE(ShardTakeOver);

void ShardTakeOver::thirdOwnerWaitsForTheSendWindowOfTheFirst()
{
    bench_.call(a_, "p", 1);
    auto sendBefore = *ShardBench::require<ExecuteCall>(bench_.flush(a_)).sendDeadline_;
    bench_.claim(b_);
    tick(b_);
    bench_.claim(c_);
    auto refusal = bench_.call(c_, "p", 2);
    CHECK(ShardBench::require<ReplyProblem>(refusal).problem_.mayHaveRunEarlier_);
    CHECK(ShardBench::require<ReplyProblem>(refusal).problem_.kind_ == ProblemKind::HomeUnreachable);
    bench_.now_ += bench_.limits_.intentSendWindow_ + bench_.limits_.clockSkewMargin_;
    CHECK(bench_.now_ > sendBefore);
    bench_.call(c_, "p", 2);
    CHECK(ShardBench::find<ExecuteCall>(bench_.flush(c_)));
    auto repeat = bench_.call(c_, "p", 1);
    CHECK(ShardBench::require<ReplyOutcome>(repeat).outcome_.runState_ == RunState::Unknown);
}

void ShardTakeOver::idleProgramsOfAPreviousOwnerAreEnded()
{
    bench_.claim(b_);
    bench_.now_ += bench_.limits_.programIdleTimeout_;
    tick(b_);
    CHECK(b_.shard_.ledger_.programs_.at({ "p" }).hasEnded_);
}

void ShardTakeOver::ledgerSurvivesSerialization()
{
    auto run = bench_.call(a_, "p", 1, CallKind::Model, 10);
    bench_.finish(a_, run, ExecutionResult::Kind::Answered, 10);
    bench_.call(a_, "p", 2);
    bench_.create(a_, "child", 10, "p");
    bench_.create(a_, "over");
    bench_.end(a_, "over");
    bench_.flush(a_);
    std::string text = toJsonText(a_.shard_.ledger_);
    CHECK_EQUAL(text, toJsonText(*parseLedger(text)));
    CHECK(!parseLedger("{}"));
}

void ShardTakeOver::readerAfterAGapContinuesFromTheSnapshot()
{
    bench_.call(a_, "p", 1);
    bench_.flush(a_);
    tick(a_);
    bench_.expiredEntries_ = bench_.log_.size() - 1;
    bench_.create(a_, "q");
    bench_.flush(a_);
    bench_.claim(b_);
    bench_.read(a_);
    CHECK_EQUAL(toJsonText(a_.shard_.ledger_), toJsonText(b_.shard_.ledger_));
    CHECK(b_.shard_.ledger_.isComplete_);
    auto repeat = bench_.call(b_, "p", 1);
    CHECK(ShardBench::require<ReplyOutcome>(repeat).outcome_.runState_ == RunState::Unknown);
}

void ShardTakeOver::withoutASnapshotEarlierProgramsAreRefused()
{
    bench_.expiredEntries_ = bench_.log_.size();
    bench_.claim(a_);
    bench_.create(a_, "p");
    bench_.flush(a_);
    bench_.claim(b_);
    CHECK(b_.shard_.epoch_.value_ != 0);
    auto refusal = bench_.call(b_, "p", 1);
    CHECK(ShardBench::require<ReplyProblem>(refusal).problem_.kind_ == ProblemKind::OutcomeUnknown);
    bench_.create(b_, "new");
    bench_.call(b_, "new", 1);
    CHECK(ShardBench::find<ExecuteCall>(bench_.flush(b_)));
    tick(b_);
    bench_.expiredEntries_ = bench_.log_.size() - 1;
    bench_.claim(c_);
    CHECK(!c_.shard_.ledger_.isComplete_);
    CHECK_EQUAL(std::size_t { 1 }, c_.shard_.ledger_.programs_.count({ "new" }));
}

void ShardTakeOver::ownerWhoseNextEntriesExpiredLosesOwnership()
{
    bench_.claim(b_);
    tick(b_);
    bench_.expiredEntries_ = bench_.log_.size() - 1;
    bench_.call(a_, "p", 1);
    auto effects = startGapRecovery(a_.shard_, { bench_.expiredEntries_ + 1 });
    const Problem& problem = ShardBench::require<ReplyProblem>(effects).problem_;
    CHECK(problem.runState_ == RunState::NotRun);
    CHECK(problem.mayHaveRunEarlier_);
    CHECK(problem.retryAfter_.has_value());
    CHECK(!ShardBench::find<ExecuteCall>(bench_.flush(a_)));
    CHECK_EQUAL(std::uint64_t { 0 }, a_.shard_.epoch_.value_);
}

void ShardTakeOver::snapshotsAreWrittenByCountAndByTime()
{
    tick(a_);
    CHECK_EQUAL(std::size_t { 1 }, snapshots());
    tick(a_);
    CHECK_EQUAL(std::size_t { 1 }, snapshots());
    bench_.now_ += bench_.limits_.snapshotInterval_;
    tick(a_);
    CHECK_EQUAL(std::size_t { 2 }, snapshots());
    bench_.limits_.maxEntriesPerSnapshot_ = 1;
    tick(a_);
    CHECK_EQUAL(std::size_t { 3 }, snapshots());
}

void ShardTakeOver::evictedShardIsReadAgain()
{
    bench_.claim(b_);
    bench_.read(a_);
    std::string before = toJsonText(a_.shard_.ledger_);
    evictState(a_.shard_);
    CHECK(a_.shard_.ledger_.programs_.empty());
    bench_.read(a_);
    CHECK_EQUAL(before, toJsonText(a_.shard_.ledger_));
    bench_.claim(a_);
    CHECK(a_.shard_.epoch_.value_ != 0);
}

void ShardTakeOver::endIsAnsweredOnceItIsConfirmed()
{
    CHECK(bench_.end(a_, "p").empty());
    auto confirmed = bench_.flush(a_);
    CHECK(ShardBench::require<ReplyProgram>(confirmed).isDurable_);
    CHECK(ShardBench::find<ReleaseCache>(confirmed));
    CHECK(ShardBench::require<ReplyProgram>(bench_.end(a_, "p")).isDurable_);
}

// Guards against an end that is answered and then lost: no VM releases the program's cache on the engines.
void ShardTakeOver::unconfirmedEndIsPassedOnToTheNextOwner()
{
    CHECK(!ShardBench::find<ReplyProgram>(bench_.end(a_, "p")));
    bench_.claim(b_);
    auto lost = bench_.read(a_);
    CHECK(!ShardBench::find<ReplyProgram>(lost));
    CHECK(ShardBench::require<ReplyMoved>(lost).to_ == VmId { "b" });
    bench_.end(b_, "p");
    auto confirmed = bench_.flush(b_);
    CHECK(ShardBench::require<ReplyProgram>(confirmed).isDurable_);
    CHECK(ShardBench::require<ReleaseCache>(confirmed).program_ == ProgramId { "p" });
}

void ShardTakeOver::endDuringALogOutageIsNotDurable()
{
    bench_.end(a_, "p");
    a_.shard_.isLogDown_ = true;
    CHECK(!ShardBench::require<ReplyProgram>(tickShard(a_.shard_, bench_.context())).isDurable_);
    CHECK(!ShardBench::require<ReplyProgram>(bench_.end(a_, "p")).isDurable_);
    a_.shard_.isLogDown_ = false;
    CHECK(ShardBench::find<ReleaseCache>(bench_.flush(a_)));
}
