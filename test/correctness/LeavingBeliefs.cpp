#include "Fuzz.h"
#include "LeavingTargets.h"
#include "PoolTargets.h"
#include "Suite.h"
#include "TargetPool.h"

using namespace fescue;
using namespace fescue::test;

namespace {

const MonotonicTime now { Milliseconds { 1000000 } };

TargetEntry entryOf(const std::string& id, Milliseconds startedAt)
{
    TargetEntry entry;
    entry.id_ = { id };
    entry.service_ = { "app" };
    entry.address_ = "10.0.0.1:80";
    entry.zone_ = { "z" };
    entry.slots_ = 4;
    entry.startedAt_ = startedAt;
    return entry;
}

TargetList listOf(const std::vector<TargetEntry>& entries)
{
    TargetList list;
    for (const TargetEntry& entry : entries)
        list.entries_[entry.id_] = entry;
    return list;
}

} // namespace

class LeavingBeliefs : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeavingBeliefs);
    CPPUNIT_TEST(beliefHoldsForOneStartOfATarget);
    CPPUNIT_TEST(beliefOutlivesALapsedEntry);
    CPPUNIT_TEST(beliefEndsWithAStartThatCameAfterIt);
    CPPUNIT_TEST(beliefHoldsForAStartThatIsListedSoonAfterIt);
    CPPUNIT_TEST(beliefHoldsForAStartThatIsListedAfterAGap);
    CPPUNIT_TEST(assumedBeliefEndsOnceItsTargetWorksOn);
    CPPUNIT_TEST(assumedBeliefHoldsOnceItsTargetHasSaidSoAgain);
    CPPUNIT_TEST(numberOfBeliefsIsBounded);
    CPPUNIT_TEST(leavingTargetIsNeverChosen);
    CPPUNIT_TEST_SUITE_END();

    LeavingTargets leaving_;

public:
    void setUp() override
    {
        leaving_ = {};
        CHECK(recordLeaving(leaving_, { "i-1" }, Milliseconds { 7 }, now));
    }

    void beliefHoldsForOneStartOfATarget()
    {
        CHECK(!recordLeaving(leaving_, { "i-1" }, Milliseconds { 7 }, now));
        CHECK(hasSaidItLeaves(leaving_, { "i-1" }, Milliseconds { 7 }));
        CHECK(!hasSaidItLeaves(leaving_, { "i-1" }, Milliseconds { 8 }));
        CHECK(!hasSaidItLeaves(leaving_, { "i-2" }, Milliseconds { 7 }));
    }

    void beliefOutlivesALapsedEntry()
    {
        CHECK(endBeliefs(leaving_.beliefs_, {}, now + Milliseconds { 60000 }).empty());
        CHECK(endBeliefs(
            leaving_.beliefs_, listOf({ entryOf("i-1", Milliseconds { 7 }) }), now + Milliseconds { 61000 })
                  .empty());
        CHECK(hasSaidItLeaves(leaving_, { "i-1" }, Milliseconds { 7 }));
        auto ended = endBeliefs(leaving_.beliefs_, {}, now + Milliseconds { 900000 });
        CHECK_EQUAL(std::size_t { 1 }, ended.size());
        CHECK_EQUAL(std::string("left the list"), std::string(ended[0].reason_));
        CHECK(!hasSaidItLeaves(leaving_, { "i-1" }, Milliseconds { 7 }));
    }

    // The list has been followed all the while, so the start would have been seen before.
    void beliefEndsWithAStartThatCameAfterIt()
    {
        TargetList list = listOf({ entryOf("i-1", Milliseconds { 8 }) });
        list.followedSince_ = now;
        auto ended = endBeliefs(leaving_.beliefs_, list, now + Milliseconds { 5000 });
        CHECK_EQUAL(std::size_t { 1 }, ended.size());
        CHECK_EQUAL(std::string("started again"), std::string(ended[0].reason_));
        CHECK(!hasSaidItLeaves(leaving_, { "i-1" }, Milliseconds { 8 }));
    }

    // Such a start may have given the answer already.
    void beliefHoldsForAStartThatIsListedSoonAfterIt()
    {
        TargetList list = listOf({ entryOf("i-1", Milliseconds { 8 }) });
        list.followedSince_ = now;
        CHECK(endBeliefs(leaving_.beliefs_, list, now + Milliseconds { 4999 }).empty());
        CHECK(hasSaidItLeaves(leaving_, { "i-1" }, Milliseconds { 8 }));
        CHECK(!hasSaidItLeaves(leaving_, { "i-1" }, Milliseconds { 7 }));
    }

    // The start may have been listed at any time of the gap.
    void beliefHoldsForAStartThatIsListedAfterAGap()
    {
        TargetList list = listOf({ entryOf("i-1", Milliseconds { 8 }) });
        list.followedSince_ = now + Milliseconds { 60000 };
        CHECK(endBeliefs(leaving_.beliefs_, list, now + Milliseconds { 60000 }).empty());
        CHECK(hasSaidItLeaves(leaving_, { "i-1" }, Milliseconds { 8 }));
    }

    void assumedBeliefEndsOnceItsTargetWorksOn()
    {
        TargetList list = listOf({ entryOf("i-1", Milliseconds { 8 }) });
        TargetEntry& entry = list.entries_.at({ "i-1" });
        for (std::uint64_t report = 4; report < 7; ++report) {
            entry.heartbeat_ = report;
            CHECK(endBeliefs(leaving_.beliefs_, list, now).empty());
        }
        entry.heartbeat_ = 7;
        CHECK_EQUAL(std::size_t { 1 }, endBeliefs(leaving_.beliefs_, list, now).size());
    }

    void assumedBeliefHoldsOnceItsTargetHasSaidSoAgain()
    {
        TargetList list = listOf({ entryOf("i-1", Milliseconds { 8 }) });
        CHECK(endBeliefs(leaving_.beliefs_, list, now).empty());
        CHECK(!recordLeaving(leaving_, { "i-1" }, Milliseconds { 8 }, now));
        list.entries_.at({ "i-1" }).heartbeat_ = 100;
        CHECK(endBeliefs(leaving_.beliefs_, list, now).empty());
    }

    void numberOfBeliefsIsBounded()
    {
        constexpr int count = 10000;
        for (int i = 0; i < count; ++i)
            recordLeaving(
                leaving_, { "t-" + std::to_string(i) }, Milliseconds { 7 }, now + Milliseconds { i });
        CHECK(leaving_.beliefs_.size() <= 4096);
        CHECK(hasSaidItLeaves(leaving_, { "t-9999" }, Milliseconds { 7 }));
    }

    // Targets leave, by the store or by an answer, before and after the pool has got its targets.
    void leavingTargetIsNeverChosen()
    {
        fuzz("a leaving target is never chosen", [](std::uint64_t seed) {
            Random random(seed);
            auto draw = [&random](std::uint32_t below) { return random() % below; };
            TargetPool pool;
            pool.zone_ = { "z" };
            pool.options_.shared_.isEnabled_ = draw(2) == 0;
            LeavingTargets leaving;
            std::vector<TargetEntry> entries;
            std::set<TargetId> left;
            for (std::uint32_t i = 0, count = 1 + draw(6); i < count; ++i) {
                entries.push_back(entryOf("i-" + std::to_string(i), Milliseconds { 1 }));
                entries.back().version_ = { draw(2) == 0 ? "v1" : "v2" };
                entries.back().isLeaving_ = draw(4) == 0;
                bool hasSaidSo = draw(4) == 0;
                if (hasSaidSo)
                    recordLeaving(leaving, entries.back().id_, Milliseconds { 1 }, now);
                if (hasSaidSo || entries.back().isLeaving_)
                    left.insert(entries.back().id_);
            }
            setTargets(pool, poolTargets(listOf(entries), {}, leaving));
            for (std::uint64_t id = 1; id <= 20; ++id) {
                if (draw(6) == 0) {
                    const TargetId& target = entries[draw(static_cast<std::uint32_t>(entries.size()))].id_;
                    setLeaving(pool, target, true);
                    left.insert(target);
                }
                QueuedCall call;
                call.id_ = { id };
                call.service_ = { "app" };
                call.program_ = { "p" + std::to_string(draw(3)) };
                call.cachingTarget_ = entries[draw(static_cast<std::uint32_t>(entries.size()))].id_;
                if (draw(3) == 0)
                    call.version_ = SoftwareVersion { draw(2) == 0 ? "v1" : "v2" };
                auto version = call.version_;
                if (!enqueueCall(pool, call, now, random))
                    continue;
                for (const Dispatch& dispatch : nextDispatches(pool, now, random)) {
                    RC_ASSERT(!left.count(dispatch.target_.id_));
                    if (dispatch.id_ == call.id_ && version)
                        RC_ASSERT(dispatch.target_.version_ == *version);
                    if (draw(2) == 0)
                        completeDispatch(pool, dispatch.id_, { DispatchOutcome::Answered }, now, random);
                }
            }
            removeUnserved(pool);
            for (const QueuedCall& call : pool.queue_.calls_) {
                RC_ASSERT(std::any_of(entries.begin(), entries.end(), [&](const TargetEntry& entry) {
                    return !left.count(entry.id_) && (!call.version_ || entry.version_ == *call.version_);
                }));
            }
        });
    }
};

REGISTER_SUITE(LeavingBeliefs);
