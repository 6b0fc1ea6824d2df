#include "PoolScheduler.h"

#include "TargetPool.h"

#include <map>

namespace fescue::bench {

namespace {

    struct State {
        TargetPool pool_;
        Random random_;
    };

    using StatePtr = std::shared_ptr<State>;

    MonotonicTime toTime(Seconds seconds)
    {
        constexpr Milliseconds processStart { 10000 };
        return MonotonicTime(processStart + Milliseconds { static_cast<std::int64_t>(seconds * 1000) });
    }

    ProgramId programId(int program) { return { "program-" + std::to_string(program) }; }
    ZoneId zoneId(int zone) { return { "zone-" + std::to_string(zone) }; }

    // Pads to a fixed width, so that ids sort in numeric order.
    TargetId targetId(int engine)
    {
        std::string number = std::to_string(engine);
        return { "engine-" + std::string(4 - number.size(), '0') + number };
    }

    int engineOf(const TargetId& id) { return std::stoi(id.value_.substr(7)); }

    Manifest manifestOf(const Topology& topology)
    {
        Manifest manifest;
        for (std::size_t i = 0; i < topology.engineZones_.size(); ++i) {
            Target target;
            target.id_ = targetId(static_cast<int>(i));
            target.zone_ = zoneId(topology.engineZones_[i]);
            target.models_ = { { "model" } };
            manifest.targets_[target.id_] = target;
        }
        return manifest;
    }

    QueuedCall toQueuedCall(const WaitingCall& call, Seconds now)
    {
        QueuedCall queued;
        queued.id_ = { call.id_ };
        queued.workspace_ = { "workspace-" + std::to_string(call.workspace_) };
        queued.program_ = programId(call.program_);
        queued.model_ = { "model" };
        queued.promptTokens_ = { call.promptTokens_ };
        queued.maxTokens_ = { call.maxOutputTokens_ };
        queued.bytes_ = { call.promptTokens_ * 4 };
        queued.digest_ = { call.digest_ };
        queued.arrived_ = toTime(now);
        for (int engine : call.excludedEngines_)
            queued.avoid_.insert(targetId(engine));
        return queued;
    }

    DispatchOutcome toOutcome(CallOutcome::Kind kind)
    {
        switch (kind) {
        case CallOutcome::Kind::Answered:
            return DispatchOutcome::Answered;
        case CallOutcome::Kind::Unreachable:
            return DispatchOutcome::Unreachable;
        case CallOutcome::Kind::ConnectionLost:
            return DispatchOutcome::ConnectionLost;
        case CallOutcome::Kind::Hung:
            return DispatchOutcome::Hung;
        case CallOutcome::Kind::Cancelled:
            break;
        }
        return DispatchOutcome::Cancelled;
    }

    std::optional<Refusal> enqueue(State& state, const WaitingCall& call, Seconds now)
    {
        auto entered = enqueueCall(state.pool_, toQueuedCall(call, now), toTime(now), state.random_);
        if (entered)
            return std::nullopt;
        const Problem& problem = entered.error();
        auto retryAfter = static_cast<double>(problem.retryAfter_.value_or(Milliseconds { 0 }).count());
        return Refusal { retryAfter / 1000, problem.kind_ == ProblemKind::Quarantined };
    }

    std::vector<Assignment> assignQueued(State& state, Seconds now)
    {
        std::vector<Assignment> assignments;
        for (const Dispatch& dispatch : nextDispatches(state.pool_, toTime(now), state.random_))
            assignments.push_back({ dispatch.id_.value_, engineOf(dispatch.target_.id_) });
        return assignments;
    }

    void completeCall(State& state, std::uint64_t id, const CallOutcome& outcome, Seconds now)
    {
        DispatchResult result { toOutcome(outcome.kind_), { outcome.promptTokens_ },
            { outcome.cachedTokens_ }, { outcome.outputTokens_ } };
        completeDispatch(state.pool_, { id }, result, toTime(now), state.random_);
    }

    void recordLoad(State& state, int engine, const EngineLoad& load, Seconds now)
    {
        LoadReport report { static_cast<std::uint32_t>(load.running_),
            static_cast<std::uint32_t>(load.waiting_), { load.queuedTokens_ } };
        recordLoadReport(state.pool_, targetId(engine), report, toTime(now));
    }

    std::vector<std::uint64_t> hungCalls(State& state, Seconds now)
    {
        std::vector<std::uint64_t> ids;
        for (DispatchId id : hungDispatches(state.pool_, toTime(now)))
            ids.push_back(id.value_);
        return ids;
    }

    std::vector<ReleasedPrefix> releaseStalePrefixes(State& state, Seconds now)
    {
        std::vector<ReleasedPrefix> released;
        for (const StalePrefix& prefix : removeStalePrefixes(state.pool_, toTime(now)))
            released.push_back({ std::stoi(prefix.program_.value_.substr(8)), engineOf(prefix.target_) });
        return released;
    }

    VmScheduler makePool(const Topology& topology, const PoolOptions& options)
    {
        auto state = std::make_shared<State>();
        state->random_.seed(topology.seed_);
        state->pool_.zone_ = zoneId(topology.zone_);
        state->pool_.options_ = options;
        setTargets(state->pool_, manifestOf(topology));
        VmScheduler scheduler;
        scheduler.enqueue_
            = [state](const WaitingCall& call, Seconds now) { return enqueue(*state, call, now); };
        scheduler.nextAssignments_ = [state](Seconds now) { return assignQueued(*state, now); };
        scheduler.onCallEnded_ = [state](std::uint64_t id, const CallOutcome& outcome, Seconds now) {
            completeCall(*state, id, outcome, now);
        };
        scheduler.onOutput_
            = [state](std::uint64_t id, Seconds now) { recordOutput(state->pool_, { id }, toTime(now)); };
        scheduler.onLoadReport_ = [state](int engine, const EngineLoad& load, Seconds now) {
            recordLoad(*state, engine, load, now);
        };
        scheduler.onEviction_ = [state](int program, int engine, Seconds now) {
            recordEviction(state->pool_, programId(program), targetId(engine), toTime(now));
        };
        scheduler.onProgramEnded_ = [state](int program) { forgetProgram(state->pool_, programId(program)); };
        scheduler.removeQueued_ = [state](std::uint64_t id) { return removeQueued(state->pool_, { id }); };
        scheduler.hungCalls_ = [state](Seconds now) { return hungCalls(*state, now); };
        scheduler.removeStalePrefixes_ = [state](Seconds now) { return releaseStalePrefixes(*state, now); };
        scheduler.tryConsumeRetry_ = [state](Seconds) { return tryConsumeRetry(state->pool_); };
        scheduler.releasesOnEnd_ = true;
        return scheduler;
    }

    MakeScheduler withOptions(const PoolOptions& options)
    {
        return [options](const Topology& topology) { return makePool(topology, options); };
    }

} // namespace

std::vector<std::pair<std::string, MakeScheduler>> poolSchedulers()
{
    constexpr Milliseconds never { 1000000000 };
    PoolOptions fixedWindow;
    fixedWindow.window_.min_ = fixedWindow.window_.max_ = 8;
    PoolOptions noMargin;
    noMargin.placement_.migrationMargin_ = 0;
    PoolOptions noOrder;
    noOrder.ordersByProgram_ = false;
    PoolOptions noRefusal;
    noRefusal.maxWait_ = noRefusal.maxWaitForNewProgram_ = never;
    PoolOptions wideWindow;
    wideWindow.window_.min_ = wideWindow.window_.max_ = 24;
    PoolOptions noWaiting;
    noWaiting.placement_.waitsForPrefix_ = false;
    PoolOptions noHung;
    noHung.hangTimeout_ = never;
    PoolOptions noRelease;
    noRelease.releasesStalePrefixes_ = false;
    return { { "policy", withOptions({}) }, { "policy, no margin", withOptions(noMargin) },
        { "policy, window 8", withOptions(fixedWindow) }, { "policy, first come", withOptions(noOrder) },
        { "policy, no refusal", withOptions(noRefusal) }, { "policy, window 24", withOptions(wideWindow) },
        { "policy, no wait", withOptions(noWaiting) }, { "policy, no hang check", withOptions(noHung) },
        { "policy, keep copies", withOptions(noRelease) } };
}

} // namespace fescue::bench
