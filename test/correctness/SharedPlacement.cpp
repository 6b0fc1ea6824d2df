#include "Suite.h"
#include "TargetPool.h"

#include <set>

using namespace fescue;

namespace {

constexpr std::uint32_t slots = 12;
constexpr std::size_t targetCount = 12;

MonotonicTime at(std::int64_t ms) { return MonotonicTime(Milliseconds { 100000 + ms }); }

TargetId targetName(std::size_t index) { return { "engine-" + std::to_string(index) }; }

Manifest engines()
{
    Manifest manifest;
    for (std::size_t i = 0; i < targetCount; ++i) {
        Target target;
        target.id_ = targetName(i);
        target.zone_ = { "zone-a" };
        target.models_ = { { "model" } };
        target.slots_ = slots;
        manifest.targets_[target.id_] = target;
    }
    return manifest;
}

} // namespace

class SharedPlacement : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SharedPlacement);
    CPPUNIT_TEST(programPrefersTheSameTargetOnEveryVm);
    CPPUNIT_TEST(callsAboutAnObjectPreferTheSameTargetInAllZones);
    CPPUNIT_TEST(turnReturnsToTheTargetThatCachesItsPrompt);
    CPPUNIT_TEST(turnMovesAwayFromAFullOrRemovedTarget);
    CPPUNIT_TEST(staleReportsDoNotBlockAService);
    CPPUNIT_TEST(fewLostAnswersDoNotBackOffATarget);
    CPPUNIT_TEST(occupancyCountsOwnAndReportedCalls);
    CPPUNIT_TEST_SUITE_END();

    TargetPool pool_;
    Random random_ { 1 };
    std::uint64_t last_ = 0;

    QueuedCall call(const std::string& program)
    {
        QueuedCall call;
        call.id_ = { ++last_ };
        call.program_ = { program };
        call.model_ = { "model" };
        call.promptTokens_ = { 1000 };
        return call;
    }

    std::vector<Dispatch> dispatch(TargetPool& pool, const std::string& program, MonotonicTime now)
    {
        CHECK(enqueueCall(pool, call(program), now, random_).has_value());
        return nextDispatches(pool, now, random_);
    }

public:
    void setUp() override
    {
        pool_ = {};
        pool_.zone_ = { "zone-a" };
        pool_.options_.shared_.isEnabled_ = true;
        pool_.options_.failuresBeforeBackoff_ = 3;
        setTargets(pool_, engines());
    }

    void programPrefersTheSameTargetOnEveryVm()
    {
        TargetPool other = pool_;
        for (int i = 0; i < 20; ++i) {
            std::string program = "program-" + std::to_string(i);
            TargetId here = dispatch(pool_, program, at(0)).at(0).target_.id_;
            CHECK(dispatch(other, program, at(0)).at(0).target_.id_ == here);
        }
    }

    // Many calls about few objects, as during a legal hold: each runs where its object was handled, unless
    // that target is full.
    void callsAboutAnObjectPreferTheSameTargetInAllZones()
    {
        Manifest services;
        for (std::size_t i = 0; i < targetCount; ++i) {
            Target target;
            target.id_ = targetName(i);
            target.zone_ = { i % 2 == 0 ? "zone-a" : "zone-b" };
            target.service_ = { "desk" };
            target.slots_ = slots;
            services.targets_[target.id_] = target;
        }
        setTargets(pool_, services);
        // The detour to another zone costs less than what the target saves of such a call.
        pool_.options_.shared_.otherZoneMs_ = 1;
        TargetPool other = pool_;
        other.zone_ = { "zone-b" };
        std::set<TargetId> used;
        for (int i = 0; i < 60; ++i) {
            QueuedCall about;
            about.id_ = { ++last_ };
            about.service_ = { "desk" };
            about.affinityKey_ = "object-" + std::to_string(i);
            CHECK(enqueueCall(pool_, about, at(0), random_).has_value());
            auto dispatches = nextDispatches(pool_, at(0), random_);
            CHECK_EQUAL(std::size_t { 1 }, dispatches.size());
            TargetId here = dispatches.at(0).target_.id_;
            CHECK(enqueueCall(other, about, at(0), random_).has_value());
            CHECK(nextDispatches(other, at(0), random_).at(0).target_.id_ == here);
            used.insert(here);
        }
        CHECK(used.size() > targetCount / 2);
        QueuedCall about;
        about.id_ = { ++last_ };
        about.service_ = { "desk" };
        about.affinityKey_ = "object-0";
        CHECK(enqueueCall(other, about, at(0), random_).has_value());
        TargetId preferred = nextDispatches(other, at(0), random_).at(0).target_.id_;
        for (std::size_t i = 0; i < targetCount; ++i) {
            std::uint32_t load = targetName(i) == preferred ? slots : 0;
            recordLoadReport(other, targetName(i), { load, load, {} }, at(0));
        }
        about.id_ = { ++last_ };
        CHECK(enqueueCall(other, about, at(0), random_).has_value());
        CHECK(nextDispatches(other, at(0), random_).at(0).target_.id_ != preferred);
    }

    void turnReturnsToTheTargetThatCachesItsPrompt()
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            QueuedCall turn = call("program");
            turn.cachingTarget_ = targetName(i);
            // This target has a few calls more than the others.
            recordLoadReport(pool_, targetName(i), { slots / 3, 0, {} }, at(0));
            CHECK(enqueueCall(pool_, turn, at(0), random_).has_value());
            CHECK(nextDispatches(pool_, at(0), random_).at(0).target_.id_ == targetName(i));
        }
    }

    void turnMovesAwayFromAFullOrRemovedTarget()
    {
        QueuedCall turn = call("program");
        turn.cachingTarget_ = targetName(3);
        for (std::size_t i = 0; i < targetCount; ++i)
            recordLoadReport(pool_, targetName(i), { i == 3 ? slots : 0, i == 3 ? slots : 0, {} }, at(0));
        CHECK(enqueueCall(pool_, turn, at(0), random_).has_value());
        CHECK(nextDispatches(pool_, at(0), random_).at(0).target_.id_ != targetName(3));
        turn.id_ = { ++last_ };
        turn.cachingTarget_ = { "gone" };
        CHECK(enqueueCall(pool_, turn, at(0), random_).has_value());
        CHECK_EQUAL(std::size_t { 1 }, nextDispatches(pool_, at(0), random_).size());
    }

    void staleReportsDoNotBlockAService()
    {
        for (std::size_t i = 0; i < targetCount; ++i)
            recordLoadReport(pool_, targetName(i), { slots, 2 * slots, {} }, at(0));
        CHECK(dispatch(pool_, "p", at(1)).empty());
        // No call was sent, so no newer report exists.
        CHECK_EQUAL(std::size_t { 1 }, nextDispatches(pool_, at(5000), random_).size());
    }

    void fewLostAnswersDoNotBackOffATarget()
    {
        pool_.targets_.erase(std::next(pool_.targets_.begin()), pool_.targets_.end());
        for (int i = 0; i < 2; ++i) {
            auto sent = dispatch(pool_, "p", at(i));
            CHECK_EQUAL(std::size_t { 1 }, sent.size());
            completeDispatch(pool_, sent[0].id_, { DispatchOutcome::ConnectionLost }, at(i), random_);
        }
        CHECK_EQUAL(std::size_t { 1 }, dispatch(pool_, "p", at(3)).size());
    }

    void occupancyCountsOwnAndReportedCalls()
    {
        CHECK_EQUAL(0.0, occupancyOf(pool_, { "model" }, at(0)));
        for (std::size_t i = 0; i < targetCount; ++i)
            recordLoadReport(pool_, targetName(i), { slots / 2, 0, {} }, at(0));
        dispatch(pool_, "p", at(0));
        double one = 1.0 / (slots * targetCount);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5 + one, occupancyOf(pool_, { "model" }, at(0)), 0.001);
        CHECK(occupancyOf(pool_, { "model" }, at(10000)) < 0.1);
    }
};

REGISTER_SUITE(SharedPlacement);
