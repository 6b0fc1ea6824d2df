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

    // Fixed width, so that the order of ids is the order of numbers.
    TargetId targetId(int engine)
    {
        std::string number = std::to_string(engine);
        return { "engine-" + std::string(4 - number.size(), '0') + number };
    }

    int engineOf(const TargetId& id) { return std::stoi(id.value_.substr(7)); }

    Manifest manifestOf(const Surroundings& surroundings)
    {
        Manifest manifest;
        for (std::size_t i = 0; i < surroundings.engineZones_.size(); ++i) {
            Target target;
            target.id_ = targetId(static_cast<int>(i));
            target.zone_ = zoneId(surroundings.engineZones_[i]);
            target.models_ = { { "model" } };
            manifest.targets_[target.id_] = target;
        }
        return manifest;
    }

    QueuedCall toQueued(const WaitingCall& call, Seconds now)
    {
        QueuedCall queued;
        queued.id_ = { call.id_ };
        queued.workspace_ = { "workspace-" + std::to_string(call.workspace_) };
        queued.program_ = programId(call.program_);
        queued.model_ = { "model" };
        queued.promptTokens_ = { call.prompt_ };
        queued.maxTokens_ = { call.output_ };
        queued.bytes_ = { call.prompt_ * 4 };
        queued.digest_ = { call.digest_ };
        queued.arrived_ = toTime(now);
        for (int engine : call.avoid_)
            queued.avoid_.insert(targetId(engine));
        return queued;
    }

    DispatchOutcome toEnd(CallEnd::Kind kind)
    {
        switch (kind) {
        case CallEnd::Kind::Answered:
            return DispatchOutcome::Answered;
        case CallEnd::Kind::Unreachable:
            return DispatchOutcome::Unreachable;
        case CallEnd::Kind::BrokenOff:
            return DispatchOutcome::ConnectionLost;
        case CallEnd::Kind::Hung:
            return DispatchOutcome::Hung;
        case CallEnd::Kind::Cancelled:
            break;
        }
        return DispatchOutcome::Cancelled;
    }

    std::optional<Refusal> enqueue(State& state, const WaitingCall& call, Seconds now)
    {
        auto entered = enqueueCall(state.pool_, toQueued(call, now), toTime(now), state.random_);
        if (entered)
            return std::nullopt;
        const Problem& problem = entered.error();
        auto retryAfter = static_cast<double>(problem.retryAfter_.value_or(Milliseconds { 0 }).count());
        return Refusal { retryAfter / 1000, problem.kind_ == ProblemKind::Quarantined };
    }

    std::vector<Placed> placeAll(State& state, Seconds now)
    {
        std::vector<Placed> placed;
        for (const Dispatch& dispatch : nextDispatches(state.pool_, toTime(now), state.random_))
            placed.push_back({ dispatch.id_.value_, engineOf(dispatch.target_.id_) });
        return placed;
    }

    void takeEnd(State& state, std::uint64_t id, const CallEnd& end, Seconds now)
    {
        DispatchResult result { toEnd(end.kind_), { end.prompt_ }, { end.cached_ }, { end.output_ } };
        completeDispatch(state.pool_, { id }, result, toTime(now), state.random_);
    }

    void takeLoad(State& state, int engine, const EngineLoad& load, Seconds now)
    {
        LoadReport report { static_cast<std::uint32_t>(load.running_),
            static_cast<std::uint32_t>(load.waiting_), { load.queuedTokens_ } };
        recordLoadReport(state.pool_, targetId(engine), report, toTime(now));
    }

    std::vector<std::uint64_t> overdue(State& state, Seconds now)
    {
        std::vector<std::uint64_t> ids;
        for (DispatchId id : hungDispatches(state.pool_, toTime(now)))
            ids.push_back(id.value_);
        return ids;
    }

    std::vector<StaleCopy> stale(State& state, Seconds now)
    {
        std::vector<StaleCopy> copies;
        for (const StalePrefix& prefix : removeStalePrefixes(state.pool_, toTime(now)))
            copies.push_back({ std::stoi(prefix.program_.value_.substr(8)), engineOf(prefix.target_) });
        return copies;
    }

    VmScheduler makePool(const Surroundings& surroundings, const PoolOptions& options)
    {
        auto state = std::make_shared<State>();
        state->random_.seed(surroundings.seed_);
        state->pool_.zone_ = zoneId(surroundings.zone_);
        state->pool_.options_ = options;
        setTargets(state->pool_, manifestOf(surroundings));
        VmScheduler scheduler;
        scheduler.enqueue_
            = [state](const WaitingCall& call, Seconds now) { return enqueue(*state, call, now); };
        scheduler.next_ = [state](Seconds now) { return placeAll(*state, now); };
        scheduler.ended_
            = [state](std::uint64_t id, const CallEnd& end, Seconds now) { takeEnd(*state, id, end, now); };
        scheduler.output_
            = [state](std::uint64_t id, Seconds now) { recordOutput(state->pool_, { id }, toTime(now)); };
        scheduler.loadReported_ = [state](int engine, const EngineLoad& load, Seconds now) {
            takeLoad(*state, engine, load, now);
        };
        scheduler.evicted_ = [state](int program, int engine, Seconds now) {
            recordEviction(state->pool_, programId(program), targetId(engine), toTime(now));
        };
        scheduler.programEnded_ = [state](int program) { forgetProgram(state->pool_, programId(program)); };
        scheduler.removeQueued_ = [state](std::uint64_t id) { return removeQueued(state->pool_, { id }); };
        scheduler.overdue_ = [state](Seconds now) { return overdue(*state, now); };
        scheduler.stale_ = [state](Seconds now) { return stale(*state, now); };
        scheduler.mayRetry_ = [state](Seconds) { return tryConsumeRetry(state->pool_); };
        scheduler.releasesOnEnd_ = true;
        return scheduler;
    }

    MakeScheduler withOptions(const PoolOptions& options)
    {
        return [options](const Surroundings& surroundings) { return makePool(surroundings, options); };
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
