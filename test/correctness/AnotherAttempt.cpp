// A retried model call may generate its maximum again, so each attempt reserves that maximum.

#include "ShardBench.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

class AnotherAttempt : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AnotherAttempt);
    CPPUNIT_TEST(isReservedUntilTheTrancheIsExhausted);
    CPPUNIT_TEST(isRefusedForACallThatHasEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        bench_.limits_.trancheSize_ = { 1000 };
        bench_.claim(owner_);
        bench_.create(owner_, "p", 1000);
        bench_.flush(owner_);
    }
    void isReservedUntilTheTrancheIsExhausted();
    void isRefusedForACallThatHasEnded();

private:
    ExecuteCall start(std::int64_t maxTokens)
    {
        return *ShardBench::find<ExecuteCall>(bench_.call(owner_, "p", 1, CallKind::Model, maxTokens));
    }
    TokenCount left() { return owner_.shard_.active_.at({ "p" }).trancheLeft_; }

    ShardBench bench_;
    BenchOwner owner_ { "a" };
};

REGISTER_SUITE(AnotherAttempt);

void AnotherAttempt::isReservedUntilTheTrancheIsExhausted()
{
    ExecuteCall execute = start(450);
    TokenCount attempt = execute.reserved_;
    CHECK(reserveAnotherAttempt(owner_.shard_, { "p" }, execute.execution_));
    CHECK(left() == TokenCount { 1000 } - attempt - attempt);
    CHECK(!reserveAnotherAttempt(owner_.shard_, { "p" }, execute.execution_));
    ExecutionResult result;
    result.problem_.kind_ = ProblemKind::TargetFailed;
    result.used_ = attempt + attempt;
    finishCall(owner_.shard_, { "p" }, execute.execution_, result, bench_.context());
    CHECK(left() == TokenCount { 1000 } - attempt - attempt);
}

void AnotherAttempt::isRefusedForACallThatHasEnded()
{
    ExecuteCall execute = start(10);
    finishCall(owner_.shard_, { "p" }, execute.execution_, ExecutionResult {}, bench_.context());
    CHECK(!reserveAnotherAttempt(owner_.shard_, { "p" }, execute.execution_));
}
