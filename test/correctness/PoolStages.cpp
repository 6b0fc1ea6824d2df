#include "LoadPoll.h"
#include "Suite.h"

using namespace fescue;

namespace {

MonotonicTime at(std::int64_t ms) { return MonotonicTime(Milliseconds { 100000 + ms }); }

Manifest manifestOf(std::size_t engines)
{
    Manifest manifest;
    for (std::size_t i = 0; i < engines; ++i) {
        Target target;
        target.id_ = { "engine-" + std::to_string(i) };
        target.zone_ = { "zone-a" };
        target.models_ = { { "model" } };
        manifest.targets_[target.id_] = target;
    }
    return manifest;
}

} // namespace

class PoolStages : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PoolStages);
    CPPUNIT_TEST(crashingRequestIsRefusedAfterTwoTargets);
    CPPUNIT_TEST(requestsAtATargetThatCrashesOnItsOwnAreRetried);
    CPPUNIT_TEST(crashingRequestNextToASuspectIsQuarantined);
    CPPUNIT_TEST(suspectsNeverShareATarget);
    CPPUNIT_TEST(shortProgramGoesBeforeALoopingOne);
    CPPUNIT_TEST(longProgramIsNotStarved);
    CPPUNIT_TEST(workspacesShareByWeight);
    CPPUNIT_TEST(returningProgramRunsWhereItsPrefixIsCached);
    CPPUNIT_TEST(staleCopyOfAPrefixIsReleasedUnderItsEpoch);
    CPPUNIT_TEST(idleProgramIsEvicted);
    CPPUNIT_TEST(newProgramIsRefusedWhenTheWaitIsLong);
    CPPUNIT_TEST(idlePoolAdmitsABurst);
    CPPUNIT_TEST(queueIsBoundedInBytes);
    CPPUNIT_TEST(expiredCallIsRemovedFromTheQueue);
    CPPUNIT_TEST(retriesStopWhenTheBudgetIsSpent);
    CPPUNIT_TEST(targetWithoutOutputIsHungAndABusyOneIsNot);
    CPPUNIT_TEST(targetThatIsAddedAgainKeepsItsCallsInFlight);
    CPPUNIT_TEST(windowShrinksWhenCallsWaitAtTheTarget);
    CPPUNIT_TEST(pollsAreBoundedAndRoundRobin);
    CPPUNIT_TEST_SUITE_END();

    TargetPool pool_;
    Random random_ { 1 };
    std::uint64_t last_ = 0;

public:
    void setUp() override
    {
        pool_ = {};
        pool_.zone_ = { "zone-a" };
        setTargets(pool_, manifestOf(3));
    }

    QueuedCall call(const std::string& program, std::uint64_t digest = 0, std::int64_t prompt = 1000)
    {
        QueuedCall queued;
        queued.id_ = { ++last_ };
        queued.program_ = { program };
        queued.model_ = { "model" };
        queued.promptTokens_ = { prompt };
        queued.maxTokens_ = { 100 };
        queued.digest_ = { digest };
        queued.arrived_ = at(0);
        return queued;
    }

    tl::expected<void, Problem> enqueue(const QueuedCall& queued, std::int64_t ms = 0)
    {
        return enqueueCall(pool_, queued, at(ms), random_);
    }

    std::vector<Dispatch> next(std::int64_t ms = 0) { return nextDispatches(pool_, at(ms), random_); }

    void end(const Dispatch& dispatch, DispatchOutcome end, std::int64_t ms)
    {
        completeDispatch(pool_, dispatch.id_, { end, { 1000 }, { 0 }, { 50 } }, at(ms), random_);
    }

    // Leaves one target with this window, so that calls queue and their order is visible.
    void useOneTarget(double window)
    {
        setTargets(pool_, manifestOf(1));
        pool_.targets_.begin()->second.window_.size_ = window;
        pool_.targets_.begin()->second.load_.speed_.callMs_ = 500;
    }

    void crashingRequestIsRefusedAfterTwoTargets()
    {
        for (std::uint32_t i = 0; i < crashesToQuarantine; ++i) {
            CHECK(enqueue(call("program-" + std::to_string(i), 7), i * 20000).has_value());
            auto sent = next(i * 20000);
            CHECK_EQUAL(std::size_t { 1 }, sent.size());
            end(sent[0], DispatchOutcome::ConnectionLost, i * 20000 + 100);
        }
        auto again = enqueue(call("under another key", 7), 60000);
        CHECK(!again.has_value());
        CHECK(again.error().kind_ == ProblemKind::Quarantined);
        CHECK(enqueue(call("another request", 8), 60000).has_value());
    }

    // The calls of a target that crashes for a reason of its own get one recorded crash each, too few for
    // quarantine.
    void requestsAtATargetThatCrashesOnItsOwnAreRetried()
    {
        useOneTarget(8);
        for (std::uint64_t i = 1; i <= 3; ++i)
            CHECK(enqueue(call("program", 10 + i)).has_value());
        for (const Dispatch& sent : next())
            end(sent, DispatchOutcome::ConnectionLost, 100);
        for (std::uint64_t i = 1; i <= 3; ++i)
            CHECK(enqueue(call("program", 10 + i), 20000).has_value());
    }

    void crashingRequestNextToASuspectIsQuarantined()
    {
        useOneTarget(8);
        recordCrash(pool_.quarantine_, { 5 }, at(0));
        CHECK(enqueue(call("suspect", 5)).has_value());
        CHECK(enqueue(call("crashing", 7)).has_value());
        for (const Dispatch& sent : next())
            end(sent, DispatchOutcome::ConnectionLost, 100);
        CHECK(enqueue(call("crashing", 7), 20000).has_value());
        end(next(20000).at(0), DispatchOutcome::ConnectionLost, 20100);
        CHECK(enqueue(call("crashing", 7), 40000).error().kind_ == ProblemKind::Quarantined);
    }

    void suspectsNeverShareATarget()
    {
        useOneTarget(8);
        CHECK(enqueue(call("a", 11)).has_value());
        CHECK(enqueue(call("b", 12)).has_value());
        for (const Dispatch& sent : next())
            end(sent, DispatchOutcome::ConnectionLost, 100);
        CHECK(enqueue(call("a", 11), 20000).has_value());
        CHECK(enqueue(call("b", 12), 20000).has_value());
        pool_.targets_.begin()->second.consecutiveFailures_ = 0;
        CHECK_EQUAL(std::size_t { 1 }, next(20000).size());
    }

    void shortProgramGoesBeforeALoopingOne()
    {
        useOneTarget(1);
        chargeService(pool_.queue_, call("looping"), 500000, at(0));
        CHECK(enqueue(call("looping")).has_value());
        QueuedCall fresh = call("fresh");
        CHECK(enqueue(fresh).has_value());
        auto sent = next();
        CHECK_EQUAL(std::size_t { 1 }, sent.size());
        CHECK(sent[0].id_ == fresh.id_);
    }

    void longProgramIsNotStarved()
    {
        useOneTarget(1);
        chargeService(pool_.queue_, call("long"), 100000, at(0));
        QueuedCall waiting = call("long");
        CHECK(enqueue(waiting).has_value());
        QueuedCall fresh = call("fresh");
        fresh.arrived_ = at(10000);
        CHECK(enqueue(fresh, 10000).has_value());
        auto sent = next(10000);
        CHECK(sent.at(0).id_ == waiting.id_);
    }

    void workspacesShareByWeight()
    {
        useOneTarget(8);
        pool_.queue_.weights_[{ "heavy" }] = 3;
        for (int i = 0; i < 16; ++i) {
            QueuedCall queued = call("program-" + std::to_string(i));
            queued.workspace_ = { i % 2 ? "heavy" : "light" };
            CHECK(enqueue(queued).has_value());
        }
        int heavy = 0;
        for (const Dispatch& sent : next())
            heavy += pool_.running_.at(sent.id_).call_.workspace_.value_ == "heavy" ? 1 : 0;
        CHECK_EQUAL(6, heavy);
    }

    void returningProgramRunsWhereItsPrefixIsCached()
    {
        CHECK(enqueue(call("program", 0, 50000)).has_value());
        Dispatch first = next().at(0);
        completeDispatch(
            pool_, first.id_, { DispatchOutcome::Answered, { 50000 }, { 0 }, { 50 } }, at(5000), random_);
        for (int i = 0; i < 3; ++i) {
            CHECK(enqueue(call("other-" + std::to_string(i)), 5000).has_value());
            next(5000);
        }
        CHECK(enqueue(call("program", 0, 50100), 6000).has_value());
        CHECK(next(6000).at(0).target_.id_ == first.target_.id_);
    }

    // Runs one call and returns the target that the pool chose.
    TargetId runOnce(QueuedCall queued, std::int64_t ms)
    {
        CHECK(enqueue(queued, ms).has_value());
        Dispatch sent = next(ms).at(0);
        end(sent, DispatchOutcome::Answered, ms + 100);
        return sent.target_.id_;
    }

    void staleCopyOfAPrefixIsReleasedUnderItsEpoch()
    {
        QueuedCall first = call("program");
        first.epoch_ = { 4 };
        TargetId previous = runOnce(first, 0);
        QueuedCall second = call("program");
        second.epoch_ = { 9 };
        second.avoid_ = { previous };
        CHECK(runOnce(second, 1000) != previous);
        auto stale = removeStalePrefixes(pool_, at(2000));
        CHECK_EQUAL(std::size_t { 1 }, stale.size());
        CHECK(stale[0].target_ == previous);
        CHECK(stale[0].epoch_ == Epoch { 4 });
    }

    void idleProgramIsEvicted()
    {
        runOnce(call("program"), 0);
        auto idle = pool_.options_.prefixIdleTimeout_.count();
        CHECK(removeStalePrefixes(pool_, at(idle)).empty());
        CHECK_EQUAL(std::size_t { 1 }, removeStalePrefixes(pool_, at(idle + 200)).size());
        CHECK(pool_.cachedPrefixes_.empty());
        CHECK(pool_.queue_.attained_.empty());
    }

    void newProgramIsRefusedWhenTheWaitIsLong()
    {
        useOneTarget(1);
        pool_.targets_.begin()->second.load_.speed_.callMs_ = 1000;
        for (int i = 0; i < 6; ++i)
            CHECK(enqueue(call("program-" + std::to_string(i))).has_value());
        auto refused = enqueue(call("one more"));
        CHECK(!refused.has_value());
        CHECK(refused.error().kind_ == ProblemKind::Overloaded);
        CHECK(refused.error().runState_ == RunState::NotRun);
        CHECK(refused.error().retryAfter_.has_value());
        chargeService(pool_.queue_, call("under way"), 1, at(0));
        CHECK(enqueue(call("under way")).has_value());
    }

    void idlePoolAdmitsABurst()
    {
        for (int i = 0; i < 40; ++i)
            CHECK(enqueue(call("program-" + std::to_string(i))).has_value());
        CHECK_EQUAL(std::size_t { 24 }, next().size());
    }

    void queueIsBoundedInBytes()
    {
        QueuedCall large = call("large");
        large.bytes_ = pool_.options_.maxQueuedBytes_ + ByteCount { 1 };
        CHECK(!enqueue(large).has_value());
        large.bytes_ = pool_.options_.maxQueuedBytes_;
        CHECK(enqueue(large).has_value());
        CHECK(removeQueued(pool_, large.id_));
        CHECK(pool_.queue_.bytes_ == ByteCount {});
    }

    void expiredCallIsRemovedFromTheQueue()
    {
        useOneTarget(0);
        QueuedCall queued = call("program");
        queued.deadline_ = at(500);
        CHECK(enqueue(queued).has_value());
        CHECK(removeExpired(pool_, at(499)).empty());
        CHECK(removeExpired(pool_, at(500)).at(0) == queued.id_);
        CHECK(enqueue(queued, 500).error().kind_ == ProblemKind::DeadlineExceeded);
    }

    void retriesStopWhenTheBudgetIsSpent()
    {
        int retries = 0;
        while (tryConsumeRetry(pool_))
            ++retries;
        CHECK(retries <= 10);
        constexpr int successes = 100;
        for (int i = 0; i < successes; ++i)
            depositRetry(pool_.retries_);
        retries = 0;
        while (tryConsumeRetry(pool_))
            ++retries;
        CHECK(retries <= successes / 10);
    }

    void targetWithoutOutputIsHungAndABusyOneIsNot()
    {
        useOneTarget(8);
        CHECK(enqueue(call("a")).has_value());
        CHECK(enqueue(call("b")).has_value());
        auto sent = next();
        recordOutput(pool_, sent.at(0).id_, at(60000));
        CHECK(hungDispatches(pool_, at(65000)).empty());
        CHECK_EQUAL(std::size_t { 2 }, hungDispatches(pool_, at(120000)).size());
    }

    void targetThatIsAddedAgainKeepsItsCallsInFlight()
    {
        CHECK(enqueue(call("program")).has_value());
        Dispatch sent = next().at(0);
        setTargets(pool_, {});
        setTargets(pool_, manifestOf(3));
        CHECK_EQUAL(std::uint32_t { 1 }, pool_.targets_.at(sent.target_.id_).inFlight_);
        end(sent, DispatchOutcome::Answered, 100);
        CHECK_EQUAL(std::uint32_t { 0 }, pool_.targets_.at(sent.target_.id_).inFlight_);
    }

    void windowShrinksWhenCallsWaitAtTheTarget()
    {
        TargetId id { "engine-0" };
        double before = pool_.targets_[id].window_.size_;
        recordLoadReport(pool_, id, { 30, 0, { 0 } }, at(0));
        CHECK_EQUAL(before, pool_.targets_[id].window_.size_);
        recordLoadReport(pool_, id, { 30, 20, { 0 } }, at(1000));
        CHECK(pool_.targets_[id].window_.size_ < before);
    }

    void pollsAreBoundedAndRoundRobin()
    {
        LoadPoll poll;
        poll.maxTargetsPerPoll_ = 2;
        CHECK_EQUAL(std::size_t { 2 }, nextPolls(poll, pool_, at(0)).size());
        CHECK(nextPolls(poll, pool_, at(10)).empty());
        CHECK_EQUAL(std::string("engine-2"), nextPolls(poll, pool_, at(1000)).at(0).id_.value_);
    }
};

REGISTER_SUITE(PoolStages);
