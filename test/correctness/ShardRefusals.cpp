// A refusal reports correctly whether the call ran, and every waiting caller gets one.

#include "ShardBench.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

class ShardRefusals : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardRefusals);
    CPPUNIT_TEST(failedRepeatableCallIsNotReportedAsNotRun);
    CPPUNIT_TEST(refusalIsImmediateAndReportsPossibleEarlierAttempts);
    CPPUNIT_TEST(logOutageRefusesImmediatelyWithRetryAfter);
    CPPUNIT_TEST(outcomeOfAnAtMostOnceCallIsFlushedImmediately);
    CPPUNIT_TEST(problemDocumentReportsEarlierAttempts);
    CPPUNIT_TEST(waitingRequestsAreForwardedToTheNewOwner);
    CPPUNIT_TEST(everyCallerOfACallWithoutBudgetIsAnswered);
    CPPUNIT_TEST(withdrawnCallRunsWhenSentAgain);
    CPPUNIT_TEST(abandonedCallIsWithdrawnAndRunsWhenSentAgain);
    CPPUNIT_TEST(cancelledCallOfAnEndedProgramIsNotReportedAsNotRun);
    CPPUNIT_TEST(fullOutboxRefusesByBytes);
    CPPUNIT_TEST(olderRetryIsAnsweredFromTheLog);
    CPPUNIT_TEST(abandonedCallDoesNotBlockTheEndOfItsProgram);
    CPPUNIT_TEST(programCreatedDuringALogOutageIsUnknownToTheNextOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        bench_.claim(a_);
        bench_.create(a_, "p");
        bench_.flush(a_);
    }
    void failedRepeatableCallIsNotReportedAsNotRun();
    void refusalIsImmediateAndReportsPossibleEarlierAttempts();
    void logOutageRefusesImmediatelyWithRetryAfter();
    void outcomeOfAnAtMostOnceCallIsFlushedImmediately();
    void problemDocumentReportsEarlierAttempts();
    void waitingRequestsAreForwardedToTheNewOwner();
    void everyCallerOfACallWithoutBudgetIsAnswered();
    void withdrawnCallRunsWhenSentAgain();
    void abandonedCallIsWithdrawnAndRunsWhenSentAgain();
    void cancelledCallOfAnEndedProgramIsNotReportedAsNotRun();
    void fullOutboxRefusesByBytes();
    void olderRetryIsAnsweredFromTheLog();
    void abandonedCallDoesNotBlockTheEndOfItsProgram();
    void programCreatedDuringALogOutageIsUnknownToTheNextOwner();

private:
    ShardBench bench_;
    BenchOwner a_ { "a" };
    BenchOwner b_ { "b" };
};

REGISTER_SUITE(ShardRefusals);

namespace {

using Kind = ExecutionResult::Kind;

constexpr bool earlierMayHaveRun = true;

void checkRefused(const Effects& effects, ProblemKind kind, RunState run, bool mayHaveRunEarlier = false)
{
    const Problem& problem = ShardBench::require<ReplyProblem>(effects).problem_;
    CHECK_EQUAL(std::string(nameOf(kind)), std::string(nameOf(problem.kind_)));
    CHECK_EQUAL(std::string(nameOf(run)), std::string(nameOf(problem.runState_)));
    CHECK_EQUAL(mayHaveRunEarlier, problem.mayHaveRunEarlier_);
}

} // namespace

void ShardRefusals::failedRepeatableCallIsNotReportedAsNotRun()
{
    bench_.finish(a_, bench_.call(a_, "p", 1, CallKind::RepeatableService), Kind::Failed);
    auto again = bench_.call(a_, "p", 1, CallKind::RepeatableService);
    checkRefused(bench_.finish(a_, again, Kind::NotRun), ProblemKind::TargetFailed, RunState::Unknown);
    checkRefused(
        bench_.call(a_, "p", 2, CallKind::RepeatableService), ProblemKind::CallOutOfOrder, RunState::NotRun);
}

void ShardRefusals::refusalIsImmediateAndReportsPossibleEarlierAttempts()
{
    checkRefused(bench_.call(a_, "p", 3), ProblemKind::CallOutOfOrder, RunState::NotRun, earlierMayHaveRun);
    CHECK(!bench_.append(a_));
    checkRefused(bench_.call(b_, "p", 1), ProblemKind::NotOwner, RunState::NotRun, earlierMayHaveRun);
    checkRefused(bench_.call(a_, "q", 1), ProblemKind::UnknownProgram, RunState::Unknown);
}

void ShardRefusals::logOutageRefusesImmediatelyWithRetryAfter()
{
    a_.shard_.isLogDown_ = true;
    auto effects = bench_.call(a_, "p", 1);
    checkRefused(effects, ProblemKind::LogUnavailable, RunState::NotRun, earlierMayHaveRun);
    CHECK(ShardBench::require<ReplyProblem>(effects).problem_.retryAfter_.has_value());
    a_.shard_.isLogDown_ = false;
    CHECK(!bench_.append(a_));
    bench_.call(a_, "p", 1);
    CHECK(ShardBench::find<ExecuteCall>(bench_.flush(a_)));
}

// If the VM were killed before the next batch, the answer would be lost, and an at-most-once call is not run
// again.
void ShardRefusals::outcomeOfAnAtMostOnceCallIsFlushedImmediately()
{
    bench_.finish(a_, bench_.call(a_, "p", 1, CallKind::RepeatableService), Kind::Answered);
    bench_.flush(a_);
    std::uint32_t number = 2;
    for (Kind kind : { Kind::Answered, Kind::Unknown }) {
        bench_.call(a_, "p", number);
        auto effects = bench_.flush(a_);
        CHECK(!a_.shard_.isFlushRequested_);
        bench_.finish(a_, effects, kind);
        CHECK(a_.shard_.isFlushRequested_);
        bench_.append(a_);
        bench_.claim(b_);
        auto repeat = bench_.call(b_, "p", number++);
        CHECK_EQUAL(std::string("done"), ShardBench::require<ReplyOutcome>(repeat).outcome_.body_);
        bench_.claim(a_);
        bench_.read(b_);
    }
    bench_.finish(a_, bench_.call(a_, "p", number, CallKind::RepeatableService), Kind::Answered);
    CHECK(!a_.shard_.isFlushRequested_);
}

void ShardRefusals::problemDocumentReportsEarlierAttempts()
{
    Problem problem { ProblemKind::CallOutOfOrder, RunState::NotRun, "detail", std::nullopt };
    CHECK(toJsonText(problem).find("earlier_attempts") == std::string::npos);
    problem.mayHaveRunEarlier_ = true;
    CHECK(toJsonText(problem).find(R"("earlier_attempts":"outcome-unknown")") != std::string::npos);
}

void ShardRefusals::waitingRequestsAreForwardedToTheNewOwner()
{
    bench_.call(a_, "p", 1);
    bench_.claim(b_);
    CHECK_EQUAL(std::string("b"), ShardBench::require<ReplyMoved>(bench_.read(a_)).to_.value_);
    bench_.call(b_, "p", 1);
    bench_.append(b_);
    bench_.log_.pop_back();
    bench_.claim(a_);
    CHECK_EQUAL(std::string("a"), ShardBench::require<ReplyMoved>(bench_.read(b_)).to_.value_);
}

void ShardRefusals::everyCallerOfACallWithoutBudgetIsAnswered()
{
    bench_.create(a_, "small", 20000);
    bench_.flush(a_);
    auto first = bench_.call(a_, "small", 1, CallKind::Model, 16384);
    bench_.finish(a_, first, Kind::Failed, 16384);
    bench_.call(a_, "small", 1, CallKind::Model, 3000);
    bench_.call(a_, "small", 1, CallKind::Model, 3000);
    a_.shard_.active_[{ "small" }].running_->reserved_ = { 5000 };
    auto effects = bench_.flush(a_);
    checkRefused(effects, ProblemKind::BudgetExceeded, RunState::Unknown);
    CHECK_EQUAL(std::size_t { 2 }, ShardBench::require<ReplyProblem>(effects).requests_.size());
}

void ShardRefusals::withdrawnCallRunsWhenSentAgain()
{
    bench_.call(a_, "p", 1);
    bench_.append(a_);
    bench_.now_ += bench_.limits_.intentSendWindow_;
    checkRefused(bench_.read(a_), ProblemKind::LogUnavailable, RunState::NotRun);
    bench_.call(a_, "p", 1);
    auto effects = bench_.flush(a_);
    CHECK(ShardBench::find<ExecuteCall>(effects));
    checkRefused(bench_.finish(a_, effects, Kind::NotRun), ProblemKind::TargetFailed, RunState::NotRun);
    bench_.call(a_, "p", 1);
    CHECK(ShardBench::find<ExecuteCall>(bench_.flush(a_)));
}

void ShardRefusals::abandonedCallIsWithdrawnAndRunsWhenSentAgain()
{
    bench_.call(a_, "p", 1);
    bench_.append(a_);
    bench_.now_ += bench_.limits_.confirmationTimeout_;
    auto effects = tickShard(a_.shard_, bench_.context());
    checkRefused(effects, ProblemKind::LogUnavailable, RunState::NotRun, earlierMayHaveRun);
    CHECK(ShardBench::require<ReplyProblem>(effects).problem_.retryAfter_.has_value());
    checkRefused(bench_.call(a_, "p", 1), ProblemKind::LogUnavailable, RunState::NotRun, earlierMayHaveRun);
    CHECK(bench_.read(a_).empty());
    bench_.call(a_, "p", 1);
    CHECK(ShardBench::find<ExecuteCall>(bench_.flush(a_)));
}

void ShardRefusals::cancelledCallOfAnEndedProgramIsNotReportedAsNotRun()
{
    bench_.call(a_, "p", 1, CallKind::RepeatableService);
    bench_.end(a_, "p");
    bench_.flush(a_);
    checkRefused(
        bench_.call(a_, "p", 1, CallKind::RepeatableService), ProblemKind::ProgramEnded, RunState::Unknown);
}

void ShardRefusals::fullOutboxRefusesByBytes()
{
    bench_.limits_.maxOutboxBytes_ = { 1000 };
    bench_.limits_.batchSizeThreshold_ = { 500 };
    for (std::uint32_t number = 1; number <= 4; ++number) {
        auto effects = bench_.call(a_, "p", number, CallKind::RepeatableService);
        bench_.finish(a_, effects, Kind::Answered);
    }
    checkRefused(
        bench_.call(a_, "p", 5, CallKind::RepeatableService), ProblemKind::LogUnavailable, RunState::NotRun);
    std::size_t before = bench_.log_.size();
    bench_.flush(a_);
    CHECK_EQUAL(before + 2, bench_.log_.size());
    CHECK_EQUAL(std::int64_t { 0 }, a_.shard_.outboxBytes_.value_);
}

void ShardRefusals::olderRetryIsAnsweredFromTheLog()
{
    for (std::uint32_t number = 1; number <= maxRecentCalls + 1; ++number) {
        auto effects = bench_.call(a_, "p", number, CallKind::RepeatableService);
        bench_.finish(a_, effects, Kind::Answered);
    }
    bench_.flush(a_);
    auto effects = bench_.call(a_, "p", 1, CallKind::RepeatableService);
    ReplyFromLog reply = ShardBench::require<ReplyFromLog>(effects);
    const Batch& batch = bench_.log_[reply.offset_.value_ - 1];
    auto answer = answerFromLog(reply, batch);
    CHECK_EQUAL(std::string("done"), ShardBench::require<ReplyOutcome>(answer).outcome_.body_);
    checkRefused(answerFromLog(reply, std::nullopt), ProblemKind::AnswerNoLongerHeld, RunState::Unknown);
    reply.call_.fingerprint_ = "other";
    checkRefused(answerFromLog(reply, batch), ProblemKind::CallKeyReused, RunState::Unknown);
}

void ShardRefusals::abandonedCallDoesNotBlockTheEndOfItsProgram()
{
    bench_.call(a_, "p", 1);
    bench_.now_ += bench_.limits_.confirmationTimeout_;
    tickShard(a_.shard_, bench_.context());
    // The only problem is that of the abandoned call, whose caller already has an answer.
    CHECK(ShardBench::require<ReplyProblem>(bench_.end(a_, "p")).requests_.empty());
    auto confirmed = bench_.flush(a_);
    CHECK(ShardBench::require<ReplyProgram>(confirmed).isDurable_);
    CHECK(!ShardBench::find<ExecuteCall>(confirmed));
    CHECK(a_.shard_.ledger_.programs_.at({ "p" }).hasEnded_);
}

// The caller was told that the program is not durable, so the next owner need not know it.
void ShardRefusals::programCreatedDuringALogOutageIsUnknownToTheNextOwner()
{
    a_.shard_.isLogDown_ = true;
    CHECK(!ShardBench::require<ReplyProgram>(bench_.create(a_, "late")).isDurable_);
    CHECK(ShardBench::find<ExecuteCall>(bench_.call(a_, "late", 1, CallKind::Model, 10)));
    bench_.claim(b_);
    bench_.flush(a_);
    bench_.read(b_);
    checkRefused(
        bench_.call(b_, "late", 1, CallKind::Model, 10), ProblemKind::UnknownProgram, RunState::Unknown);
    bench_.read(a_);
    CHECK_EQUAL(std::size_t { 1 }, a_.shard_.orphanedCalls_.size());
}
