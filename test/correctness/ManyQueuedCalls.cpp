// Guards against an event loop that stands still when as many calls wait for busy targets as a VM takes: each
// answer, and each tick, looks for a target for each of them among all targets.

#include "BootClock.h"
#include "LoopWatch.h"
#include "Suite.h"
#include "TargetChoice.h"

#include <algorithm>
#include <cstdio>
#include <random>

using namespace fescue;

namespace {

constexpr std::size_t maxQueued = 1024;
// A tick of the VM. It looks for targets at each tick and after each answer.
constexpr Milliseconds maxStep { 25 };
const ServiceId busyService { "busy" };
const ServiceId freeService { "free" };

Manifest manifestOf(std::size_t targets)
{
    Manifest manifest;
    for (std::size_t i = 0; i < targets; ++i) {
        Target target;
        target.id_ = { "i-" + std::to_string(i) };
        target.zone_ = { "z" + std::to_string(i % 3) };
        target.service_ = i % 2 == 0 ? busyService : freeService;
        target.slots_ = 2;
        manifest.targets_[target.id_] = target;
    }
    return manifest;
}

QueuedCall callOf(std::uint64_t id, const ServiceId& service, MonotonicTime now)
{
    QueuedCall call;
    call.id_ = { id };
    call.workspace_ = { "w" + std::to_string(id % 20) };
    call.program_ = { "p" + std::to_string(id) };
    call.service_ = service;
    call.digest_ = { id };
    call.affinityKey_ = "k" + std::to_string(id);
    call.arrived_ = now;
    return call;
}

TargetPool makePool(std::size_t targets)
{
    TargetPool pool;
    pool.zone_ = { "z0" };
    pool.options_.shared_.isEnabled_ = true;
    pool.options_.releasesStalePrefixes_ = false;
    pool.options_.tracksCrashes_ = false;
    setTargets(pool, manifestOf(targets));
    return pool;
}

// Twice, so that a third crash would quarantine it.
void makeSuspect(TargetPool& pool, const QueuedCall& call, MonotonicTime now)
{
    pool.quarantine_.threshold_ = 3;
    recordCrash(pool.quarantine_, call.digest_, { "i-0@1" }, now);
    recordCrash(pool.quarantine_, call.digest_, { "i-0@2" }, now);
}

// Processor time of a step in which a pool whose targets of one service are all busy looks for targets.
Milliseconds timeOfStep(std::size_t targets, bool areSuspects = false)
{
    TargetPool pool = makePool(targets);
    Random random(1);
    MonotonicTime now = bootNow();
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < 100 * targets && pool.queue_.calls_.empty(); ++i) {
        pushCall(pool.queue_, callOf(++id, busyService, now));
        nextDispatches(pool, now, random);
    }
    if (areSuspects)
        makeSuspect(pool, pool.queue_.calls_.front(), now);
    while (pool.queue_.calls_.size() < maxQueued) {
        QueuedCall call = callOf(++id, busyService, now);
        if (areSuspects)
            makeSuspect(pool, call, now);
        pushCall(pool.queue_, call);
    }
    Milliseconds begin = usedProcessorTime();
    auto dispatches = nextDispatches(pool, now, random);
    Milliseconds time = usedProcessorTime() - begin;
    std::printf("%zu targets, %zu running, %zu queued: %ld ms\n", targets, pool.running_.size(),
        pool.queue_.calls_.size(), static_cast<long>(time.count()));
    CHECK_EQUAL(std::size_t { 0 }, dispatches.size());
    CHECK_EQUAL(maxQueued, pool.queue_.calls_.size());
    return time;
}

} // namespace

class ManyQueuedCalls : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ManyQueuedCalls);
    CPPUNIT_TEST(callsOfBusyTargetsAreLookedThroughAtOnce);
    CPPUNIT_TEST(callsThatMayCrashTheirTargetsAreLookedThroughAtOnce);
    CPPUNIT_TEST(noCallThatCouldRunIsLeft);
    CPPUNIT_TEST(callsOfTargetsThatComeBackAreSentInParts);
    CPPUNIT_TEST_SUITE_END();

public:
    void callsOfBusyTargetsAreLookedThroughAtOnce()
    {
        constexpr std::size_t targets = 1200;
        Milliseconds time = timeOfStep(targets);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()) + " ms", time < maxStep);
    }

    // Guards against a look at all running calls for each waiting one and each target.
    void callsThatMayCrashTheirTargetsAreLookedThroughAtOnce()
    {
        constexpr std::size_t targets = 1200;
        Milliseconds time = timeOfStep(targets, true);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()) + " ms", time < maxStep);
    }

    void callsOfTargetsThatComeBackAreSentInParts()
    {
        constexpr std::size_t targets = 1200;
        TargetPool pool = makePool(targets);
        Random random(1);
        MonotonicTime now = bootNow();
        std::uint64_t id = 0;
        while (pool.queue_.calls_.size() < maxQueued)
            pushCall(pool.queue_, callOf(++id, busyService, now));
        constexpr std::size_t most = 32;
        pool.options_.maxDispatchesAtOnce_ = most;
        std::size_t dispatched = 0;
        Milliseconds longest { 0 };
        for (std::size_t step = 0; step < maxQueued / most; ++step) {
            Milliseconds begin = usedProcessorTime();
            std::size_t sent = nextDispatches(pool, now, random).size();
            longest = std::max(longest, usedProcessorTime() - begin);
            CHECK_EQUAL(most, sent);
            dispatched += sent;
        }
        std::printf(
            "%zu calls, the longest step took %ld ms\n", dispatched, static_cast<long>(longest.count()));
        CHECK_EQUAL(maxQueued, dispatched);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(longest.count()) + " ms", longest < maxStep);
    }

    // Calls of the same kind may differ in the targets that they may use.
    void noCallThatCouldRunIsLeft()
    {
        constexpr int rounds = 300;
        std::mt19937 random(1);
        auto pick = [&random](std::size_t below) { return random() % below; };
        Random unused(1);
        std::size_t dispatched = 0;
        std::size_t left = 0;
        for (int round = 0; round < rounds; ++round) {
            TargetPool pool = makePool(1 + pick(12));
            MonotonicTime now = bootNow();
            for (auto& [id, state] : pool.targets_) {
                state.target_.version_ = { "v" + std::to_string(pick(2)) };
                state.inFlight_ = static_cast<std::uint32_t>(pick(4));
                if (pick(4) == 0)
                    state.gate_.heldUntil_ = now + Milliseconds { 100 };
            }
            for (std::uint64_t id = 1; id <= 40; ++id) {
                QueuedCall call = callOf(id, pick(2) == 0 ? busyService : freeService, now);
                call.arrived_ = now - Milliseconds { static_cast<std::int64_t>(pick(300)) };
                if (pick(3) == 0)
                    call.version_ = SoftwareVersion { "v" + std::to_string(pick(2)) };
                if (pick(3) == 0)
                    call.avoid_.insert({ "i-" + std::to_string(pick(12)) });
                if (pick(4) == 0)
                    makeSuspect(pool, call, now);
                pushCall(pool.queue_, call);
            }
            dispatched += nextDispatches(pool, now, unused).size();
            left += pool.queue_.calls_.size();
            for (const QueuedCall& call : pool.queue_.calls_)
                CHECK(chooseTargetFor(pool, call, now).kind_ != Choice::Kind::Run);
        }
        std::printf("%zu dispatched, %zu left\n", dispatched, left);
        CHECK(dispatched > 0 && left > 0);
    }
};

REGISTER_SUITE(ManyQueuedCalls);
