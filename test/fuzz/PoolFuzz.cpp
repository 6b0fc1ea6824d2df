#include "Fuzz.h"
#include "Suite.h"
#include "TargetPool.h"

using namespace fescue;

namespace {

// Applies random events to a pool and checks its invariants after each.
struct PoolUnderFuzz {
    TargetPool pool_;
    Random random_ { 1 };
    MonotonicTime now_ { Milliseconds { 100000 } };
    std::uint64_t last_ = 0;
    std::set<DispatchId> waiting_;
    std::map<DispatchId, QueuedCall> running_;
    std::map<std::uint64_t, int> crashes_; // By digest, since its last complete answer.

    PoolUnderFuzz()
    {
        pool_.zone_ = { "zone-0" };
        setTargets(pool_, manifest(6));
    }

    static Manifest manifest(int targets)
    {
        Manifest manifest;
        for (int i = 0; i < targets; ++i) {
            Target target;
            target.id_ = { "engine-" + std::to_string(i) };
            target.zone_ = { "zone-" + std::to_string(i % 2) };
            target.models_ = { { "model" } };
            target.isLeaving_ = i == 5;
            manifest.targets_[target.id_] = target;
        }
        return manifest;
    }

    void enqueue(int draw)
    {
        QueuedCall call;
        call.id_ = { ++last_ };
        call.program_ = { "program-" + std::to_string(draw % 7) };
        call.workspace_ = { "workspace-" + std::to_string(draw % 3) };
        call.model_ = { "model" };
        call.digest_ = { static_cast<std::uint64_t>(draw % 5) };
        call.promptTokens_ = { draw * 10 };
        call.maxTokens_ = { 100 };
        call.bytes_ = { draw };
        call.arrived_ = now_;
        if (draw % 4 == 0)
            call.deadline_ = now_ + Milliseconds { draw };
        bool mustBeRefused = crashes_[call.digest_.value_] >= 2;
        auto entered = enqueueCall(pool_, call, now_, random_);
        if (call.digest_.value_ != 0 && mustBeRefused)
            RC_ASSERT(!entered.has_value());
        if (entered)
            waiting_.insert(call.id_);
        else
            RC_ASSERT((entered.error().runState_ == RunState::NotRun)
                == (entered.error().kind_ != ProblemKind::Quarantined));
    }

    void send()
    {
        for (const Dispatch& dispatch : nextDispatches(pool_, now_, random_)) {
            RC_ASSERT(waiting_.erase(dispatch.id_) == 1);
            RC_ASSERT(!dispatch.target_.isLeaving_);
            running_[dispatch.id_] = pool_.running_.at(dispatch.id_).call_;
        }
    }

    void end(int draw)
    {
        if (running_.empty())
            return;
        auto call = std::next(running_.begin(), draw % static_cast<int>(running_.size()));
        auto kind = static_cast<DispatchOutcome>(draw % 7);
        std::uint64_t digest = call->second.digest_.value_;
        if (kind == DispatchOutcome::Answered)
            crashes_[digest] = 0;
        if (kind == DispatchOutcome::ConnectionLost)
            ++crashes_[digest];
        completeDispatch(pool_, call->first, { kind, { draw * 10 }, { draw }, { draw % 90 } }, now_, random_);
        running_.erase(call);
    }

    void step(int kind, int draw)
    {
        now_ += Milliseconds { draw % 300 };
        switch (kind) {
        case 0:
            return enqueue(draw);
        case 1:
            return send();
        case 2:
            return end(draw);
        case 3:
            for (DispatchId id : removeExpired(pool_, now_))
                RC_ASSERT(waiting_.erase(id) == 1);
            return;
        case 4:
            if (!waiting_.empty() && removeQueued(pool_, *waiting_.begin()))
                waiting_.erase(waiting_.begin());
            return;
        case 5:
            return recordLoadReport(pool_, { "engine-" + std::to_string(draw % 6) },
                { static_cast<std::uint32_t>(draw % 40), static_cast<std::uint32_t>(draw % 9), { draw } },
                now_);
        default:
            return recordOutput(pool_, { static_cast<std::uint64_t>(draw) }, now_);
        }
    }

    void check() const
    {
        ByteCount bytes;
        for (const QueuedCall& call : pool_.queue_.calls_) {
            RC_ASSERT(waiting_.count(call.id_) == 1);
            bytes += call.bytes_;
        }
        RC_ASSERT(pool_.queue_.calls_.size() == waiting_.size());
        RC_ASSERT(pool_.queue_.bytes_ == bytes);
        RC_ASSERT(pool_.running_.size() == running_.size());
        std::size_t inFlight = 0;
        for (const auto& [id, state] : pool_.targets_) {
            inFlight += state.inFlight_;
            RC_ASSERT(state.window_.size_ >= pool_.options_.window_.min_);
            RC_ASSERT(state.window_.size_ <= pool_.options_.window_.max_);
        }
        RC_ASSERT(inFlight == running_.size());
    }
};

} // namespace

class PoolFuzz : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PoolFuzz);
    CPPUNIT_TEST(countsAndRefusalsHoldForAnySequenceOfEvents);
    CPPUNIT_TEST_SUITE_END();

public:
    void countsAndRefusalsHoldForAnySequenceOfEvents()
    {
        test::fuzz("the pool keeps its counts", [] {
            PoolUnderFuzz fuzz;
            auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 5000)));
            for (const auto& [kind, draw] : steps) {
                // Kinds 7 and 8 map to 0 and 1, so arrivals and sending are drawn twice as often.
                fuzz.step(kind > 6 ? kind - 7 : kind, draw);
                fuzz.check();
            }
        });
    }
};

REGISTER_SUITE(PoolFuzz);
