// A program's budget is neither exceeded nor lost across takeovers, child programs and planned moves.

#include "ShardBench.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

class ShardBudgets : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardBudgets);
    CPPUNIT_TEST(unconfirmedProgramCanUseItsWholeBudget);
    CPPUNIT_TEST(endedChildReturnsUnspentBudgetOnce);
    CPPUNIT_TEST(usageAboveTheReservationIsGranted);
    CPPUNIT_TEST(plannedMoveLosesNoBudget);
    CPPUNIT_TEST(trancheOfALostOwnerCountsAsSpent);
    CPPUNIT_TEST(evictedProgramKeepsItsTranche);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { bench_.claim(a_); }
    void unconfirmedProgramCanUseItsWholeBudget();
    void endedChildReturnsUnspentBudgetOnce();
    void usageAboveTheReservationIsGranted();
    void plannedMoveLosesNoBudget();
    void trancheOfALostOwnerCountsAsSpent();
    void evictedProgramKeepsItsTranche();

private:
    std::int64_t granted(const BenchOwner& owner, const std::string& program)
    {
        return owner.shard_.ledger_.programs_.at({ program }).granted_.value_;
    }

    ShardBench bench_;
    BenchOwner a_ { "a" };
    BenchOwner b_ { "b" };
};

REGISTER_SUITE(ShardBudgets);

void ShardBudgets::unconfirmedProgramCanUseItsWholeBudget()
{
    bench_.create(a_, "p", 100000);
    CHECK(!ShardBench::find<ReplyProblem>(bench_.call(a_, "p", 1, CallKind::Model, 50000)));
    CHECK(ShardBench::find<ExecuteCall>(bench_.flush(a_)));
}

void ShardBudgets::endedChildReturnsUnspentBudgetOnce()
{
    bench_.limits_.trancheSize_ = { 10000 };
    bench_.create(a_, "parent", 10000);
    bench_.limits_.trancheSize_ = { 100 };
    bench_.create(a_, "child", 8000, "parent");
    bench_.flush(a_);
    auto run = bench_.call(a_, "child", 1, CallKind::Model, 60);
    bench_.finish(a_, run, ExecutionResult::Kind::Answered, 60);
    bench_.end(a_, "child");
    bench_.end(a_, "child");
    bench_.flush(a_);
    CHECK_EQUAL(std::int64_t { 10000 - 7940 }, granted(a_, "parent"));
    CHECK_EQUAL(std::int64_t { 7940 }, a_.shard_.active_[{ "parent" }].ungranted_.value_);
}

void ShardBudgets::usageAboveTheReservationIsGranted()
{
    bench_.limits_.trancheSize_ = { 100 };
    bench_.create(a_, "p", 1000);
    bench_.flush(a_);
    auto run = bench_.call(a_, "p", 1, CallKind::Model, 90);
    bench_.finish(a_, run, ExecutionResult::Kind::Answered, 250);
    bench_.flush(a_);
    CHECK_EQUAL(std::int64_t { 250 }, granted(a_, "p"));
    CHECK_EQUAL(std::int64_t { 0 }, a_.shard_.active_[{ "p" }].trancheLeft_.value_);
}

void ShardBudgets::plannedMoveLosesNoBudget()
{
    bench_.create(a_, "p", 16384);
    bench_.create(a_, "evicted", 16384);
    bench_.flush(a_);
    bench_.now_ += bench_.limits_.evictAfter_;
    bench_.call(a_, "p", 2, CallKind::Model, 1);
    tickShard(a_.shard_, bench_.context());
    CHECK_EQUAL(std::size_t { 1 }, a_.shard_.evicted_.size());
    returnUnspentTranches(a_.shard_);
    returnUnspentTranches(a_.shard_);
    bench_.flush(a_);
    bench_.claim(b_);
    for (const char* program : { "p", "evicted" }) {
        CHECK_EQUAL(std::int64_t { 0 }, granted(b_, program));
        bench_.call(b_, program, 1, CallKind::Model, 16000);
        CHECK(ShardBench::find<ExecuteCall>(bench_.flush(b_)));
    }
}

void ShardBudgets::trancheOfALostOwnerCountsAsSpent()
{
    bench_.create(a_, "p", 20000);
    bench_.flush(a_);
    bench_.claim(b_);
    returnUnspentTranches(a_.shard_);
    bench_.append(a_);
    bench_.read(b_);
    CHECK_EQUAL(std::int64_t { 16384 }, granted(b_, "p"));
    auto refusal = bench_.call(b_, "p", 1, CallKind::Model, 16000);
    CHECK(ShardBench::require<ReplyProblem>(refusal).problem_.kind_ == ProblemKind::BudgetExceeded);
}

void ShardBudgets::evictedProgramKeepsItsTranche()
{
    bench_.create(a_, "p");
    bench_.flush(a_);
    bench_.now_ += bench_.limits_.evictAfter_;
    tickShard(a_.shard_, bench_.context());
    CHECK(a_.shard_.active_.empty());
    CHECK(ShardBench::find<ExecuteCall>(bench_.call(a_, "p", 1, CallKind::Model, 16000)));
    CHECK(a_.shard_.evicted_.empty());
}
