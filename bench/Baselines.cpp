#include "Baselines.h"

#include <algorithm>

namespace fescue::bench {

namespace {

    constexpr Seconds failureBackoff = 5;
    constexpr int plainWindowSize = 8;

    struct State {
        Topology topology_;
        Random random_;
        std::size_t nextEngine_ = 0;
        std::vector<EngineLoad> loads_;
        std::vector<Seconds> backoffUntil_;
        std::vector<int> inFlight_;
        std::unordered_map<int, int> lastEngine_;
        std::unordered_map<std::uint64_t, int> running_;
        std::deque<WaitingCall> queue_;
    };

    using StatePtr = std::shared_ptr<State>;
    using ChooseEngine = std::function<int(State&, const WaitingCall&, const std::vector<int>&)>;

    // Returns the available engines of the zone, or those of all zones if the zone has none.
    std::vector<int> candidates(const State& state, const WaitingCall& call, Seconds now)
    {
        std::vector<int> sameZone;
        std::vector<int> all;
        for (int i = 0; i < static_cast<int>(state.loads_.size()); ++i) {
            if (state.backoffUntil_[i] > now || call.excludedEngines_.count(i))
                continue;
            all.push_back(i);
            if (state.topology_.engineZones_[i] == state.topology_.zone_)
                sameZone.push_back(i);
        }
        return sameZone.empty() ? all : sameZone;
    }

    int chooseRoundRobin(State& state, const WaitingCall&, const std::vector<int>& engines)
    {
        return engines[state.nextEngine_++ % engines.size()];
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

    int choosePlainWindow(State& state, const WaitingCall& call, const std::vector<int>& engines)
    {
        constexpr int costOfCallInFlight = 1000;
        auto last = state.lastEngine_.find(call.program_);
        int best = -1;
        std::int64_t bestCost = 0;
        for (int i : engines) {
            if (state.inFlight_[i] >= plainWindowSize)
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

    std::vector<Assignment> assignQueued(State& state, const ChooseEngine& choose, Seconds now)
    {
        std::vector<Assignment> assignments;
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
            assignments.push_back({ call->id_, engine });
            call = state.queue_.erase(call);
        }
        return assignments;
    }

    void completeCall(State& state, std::uint64_t id, const CallOutcome& outcome, Seconds now)
    {
        int engine = state.running_[id];
        state.running_.erase(id);
        --state.inFlight_[engine];
        if (outcome.kind_ == CallOutcome::Kind::Unreachable
            || outcome.kind_ == CallOutcome::Kind::ConnectionLost)
            state.backoffUntil_[engine] = now + failureBackoff;
    }

    bool removeQueued(State& state, std::uint64_t id)
    {
        auto found = std::find_if(state.queue_.begin(), state.queue_.end(),
            [id](const WaitingCall& call) { return call.id_ == id; });
        if (found == state.queue_.end())
            return false;
        state.queue_.erase(found);
        return true;
    }

    VmScheduler makeBaseline(const Topology& topology, const ChooseEngine& choose)
    {
        auto state = std::make_shared<State>();
        state->topology_ = topology;
        state->random_.seed(topology.seed_);
        std::size_t engines = topology.engineZones_.size();
        state->loads_.resize(engines);
        state->backoffUntil_.resize(engines);
        state->inFlight_.resize(engines);
        VmScheduler scheduler;
        scheduler.enqueue_ = [state](const WaitingCall& call, Seconds) {
            state->queue_.push_back(call);
            return std::optional<Refusal>();
        };
        scheduler.nextAssignments_
            = [state, choose](Seconds now) { return assignQueued(*state, choose, now); };
        scheduler.onCallEnded_ = [state](std::uint64_t id, const CallOutcome& outcome, Seconds now) {
            completeCall(*state, id, outcome, now);
        };
        scheduler.onOutput_ = [](std::uint64_t, Seconds) {};
        scheduler.onLoadReport_
            = [state](int engine, const EngineLoad& load, Seconds) { state->loads_[engine] = load; };
        scheduler.onEviction_ = [](int, int, Seconds) {};
        scheduler.onProgramEnded_ = [state](int program) { state->lastEngine_.erase(program); };
        scheduler.removeQueued_ = [state](std::uint64_t id) { return removeQueued(*state, id); };
        scheduler.hungCalls_ = [](Seconds) { return std::vector<std::uint64_t>(); };
        scheduler.removeStalePrefixes_ = [](Seconds) { return std::vector<ReleasedPrefix>(); };
        scheduler.tryConsumeRetry_ = [](Seconds) { return true; };
        return scheduler;
    }

} // namespace

VmScheduler makeRoundRobin(const Topology& topology) { return makeBaseline(topology, chooseRoundRobin); }

VmScheduler makeLeastLoad(const Topology& topology) { return makeBaseline(topology, chooseLeastLoaded); }

VmScheduler makeSticky(const Topology& topology) { return makeBaseline(topology, chooseSticky); }

VmScheduler makePlainWindow(const Topology& topology)
{
    VmScheduler scheduler = makeBaseline(topology, choosePlainWindow);
    scheduler.releasesOnEnd_ = true;
    return scheduler;
}

} // namespace fescue::bench
