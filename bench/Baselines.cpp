#include "Baselines.h"

#include <algorithm>

namespace fescue::bench {

namespace {

    constexpr Seconds outAfterFailure = 5;
    constexpr int plainWindow = 8;

    struct State {
        Surroundings where_;
        Random random_;
        std::size_t next_ = 0;
        std::vector<EngineLoad> loads_;
        std::vector<Seconds> outUntil_;
        std::vector<int> inFlight_;
        std::unordered_map<int, int> lastEngine_;
        std::unordered_map<std::uint64_t, int> running_;
        std::deque<WaitingCall> queue_;
    };

    using StatePtr = std::shared_ptr<State>;
    using Choose = std::function<int(State&, const WaitingCall&, const std::vector<int>&)>;

    // Engines that may be asked: those of the own zone, or all when none of it is left.
    std::vector<int> candidates(const State& state, const WaitingCall& call, Seconds now)
    {
        std::vector<int> near;
        std::vector<int> all;
        for (int i = 0; i < static_cast<int>(state.loads_.size()); ++i) {
            if (state.outUntil_[i] > now || call.avoid_.count(i))
                continue;
            all.push_back(i);
            if (state.where_.engineZones_[i] == state.where_.zone_)
                near.push_back(i);
        }
        return near.empty() ? all : near;
    }

    int chooseInTurn(State& state, const WaitingCall&, const std::vector<int>& engines)
    {
        return engines[state.next_++ % engines.size()];
    }

    int chooseLeastLoaded(State& state, const WaitingCall&, const std::vector<int>& engines)
    {
        auto loadOf = [&state](int i) { return state.loads_[i].running_ + state.loads_[i].waiting_; };
        std::vector<int> best;
        for (int i : engines) {
            if (!best.empty() && loadOf(i) < loadOf(best.front()))
                best.clear();
            if (best.empty() || loadOf(i) == loadOf(best.front()))
                best.push_back(i);
        }
        return best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(state.random_)];
    }

    int chooseSticky(State& state, const WaitingCall& call, const std::vector<int>& engines)
    {
        auto last = state.lastEngine_.find(call.program_);
        if (last != state.lastEngine_.end()
            && std::find(engines.begin(), engines.end(), last->second) != engines.end())
            return last->second;
        return chooseLeastLoaded(state, call, engines);
    }

    int choosePlain(State& state, const WaitingCall& call, const std::vector<int>& engines)
    {
        constexpr int costOfCallInFlight = 1000;
        auto last = state.lastEngine_.find(call.program_);
        int best = -1;
        std::int64_t bestCost = 0;
        for (int i : engines) {
            if (state.inFlight_[i] >= plainWindow)
                continue;
            bool isCached = last != state.lastEngine_.end() && last->second == i;
            std::int64_t cost
                = state.inFlight_[i] * costOfCallInFlight + (isCached ? 0 : call.contextTokens_);
            if (best < 0 || cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        return best;
    }

    std::vector<Placed> placeAll(State& state, const Choose& choose, Seconds now)
    {
        std::vector<Placed> placed;
        for (auto call = state.queue_.begin(); call != state.queue_.end();) {
            auto engines = candidates(state, *call, now);
            int engine = engines.empty() ? -1 : choose(state, *call, engines);
            if (engine < 0) {
                ++call;
                continue;
            }
            ++state.inFlight_[engine];
            state.lastEngine_[call->program_] = engine;
            state.running_[call->id_] = engine;
            placed.push_back({ call->id_, engine });
            call = state.queue_.erase(call);
        }
        return placed;
    }

    void takeEnd(State& state, std::uint64_t id, const CallEnd& end, Seconds now)
    {
        int engine = state.running_[id];
        state.running_.erase(id);
        --state.inFlight_[engine];
        if (end.kind_ == CallEnd::Kind::Unreachable || end.kind_ == CallEnd::Kind::BrokenOff)
            state.outUntil_[engine] = now + outAfterFailure;
    }

    bool removeWaiting(State& state, std::uint64_t id)
    {
        auto found = std::find_if(state.queue_.begin(), state.queue_.end(),
            [id](const WaitingCall& call) { return call.id_ == id; });
        if (found == state.queue_.end())
            return false;
        state.queue_.erase(found);
        return true;
    }

    VmScheduler makeBaseline(const Surroundings& surroundings, const Choose& choose)
    {
        auto state = std::make_shared<State>();
        state->where_ = surroundings;
        state->random_.seed(surroundings.seed_);
        std::size_t engines = surroundings.engineZones_.size();
        state->loads_.resize(engines);
        state->outUntil_.resize(engines);
        state->inFlight_.resize(engines);
        VmScheduler scheduler;
        scheduler.enqueue_ = [state](const WaitingCall& call, Seconds) {
            state->queue_.push_back(call);
            return std::optional<Refusal>();
        };
        scheduler.next_ = [state, choose](Seconds now) { return placeAll(*state, choose, now); };
        scheduler.ended_
            = [state](std::uint64_t id, const CallEnd& end, Seconds now) { takeEnd(*state, id, end, now); };
        scheduler.output_ = [](std::uint64_t, Seconds) {};
        scheduler.loadReported_
            = [state](int engine, const EngineLoad& load, Seconds) { state->loads_[engine] = load; };
        scheduler.evicted_ = [](int, int, Seconds) {};
        scheduler.programEnded_ = [state](int program) { state->lastEngine_.erase(program); };
        scheduler.removeQueued_ = [state](std::uint64_t id) { return removeWaiting(*state, id); };
        scheduler.overdue_ = [](Seconds) { return std::vector<std::uint64_t>(); };
        scheduler.stale_ = [](Seconds) { return std::vector<StaleCopy>(); };
        scheduler.mayRetry_ = [](Seconds) { return true; };
        return scheduler;
    }

} // namespace

VmScheduler makeRoundRobin(const Surroundings& surroundings)
{
    return makeBaseline(surroundings, chooseInTurn);
}

VmScheduler makeLeastLoad(const Surroundings& surroundings)
{
    return makeBaseline(surroundings, chooseLeastLoaded);
}

VmScheduler makeSticky(const Surroundings& surroundings) { return makeBaseline(surroundings, chooseSticky); }

VmScheduler makePlainWindow(const Surroundings& surroundings)
{
    VmScheduler scheduler = makeBaseline(surroundings, choosePlain);
    scheduler.releasesOnEnd_ = true;
    return scheduler;
}

} // namespace fescue::bench
