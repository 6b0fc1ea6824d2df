#include "SimulationState.h"

#include <algorithm>
#include <queue>

namespace fescue::bench {

namespace {

    constexpr Seconds reportInterval = 0.5;
    constexpr std::size_t reportLagIntervals = 2;
    constexpr Seconds evictionLag = 2;
    constexpr double evictionLossProbability = 0.2;
    constexpr Seconds tickInterval = 0.1;
    constexpr Seconds zoneDelay = 0.001;
    constexpr Seconds restartDelay = 20;
    constexpr int maxAttempts = 3;
    constexpr int maxRefusals = 12;
    constexpr int crashingPrograms = 3;
    constexpr std::uint64_t subAgentIdStride = 16;

    struct Simulator {
        const Scenario& scenario_;
        Random random_;
        Random arrivals_;
        SimulationResult result_;
        std::priority_queue<Event, std::vector<Event>, RunsLater> events_;
        std::uint64_t eventOrder_ = 0;
        Seconds now_ = 0;
        std::vector<EngineModel> engines_;
        std::vector<std::uint64_t> generations_;
        std::vector<int> engineZones_;
        std::vector<VmScheduler> vms_;
        std::vector<Program> programs_;
        std::unordered_map<std::uint64_t, PendingCall> calls_;
        std::uint64_t lastCallId_ = 0;
        std::uint64_t lastRootId_ = 0;
        double capacity_ = 0;
        std::deque<std::vector<EngineLoad>> reports_;
        std::vector<std::pair<int, int>> evictions_;
        bool isZonePartitioned_ = false;
        int remainingCrashingPrograms_ = 0;

        explicit Simulator(const Scenario& scenario)
            : scenario_(scenario)
            , random_(scenario.seed_)
            , arrivals_(scenario.seed_ * 7919)
        {
        }

        void schedule(Seconds when, EventKind kind, std::uint64_t subject = 0, std::uint64_t generation = 0)
        {
            events_.push({ when, ++eventOrder_, kind, subject, generation });
        }

        double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

        int zoneOfVm(int vm) const { return vm % zoneCount; }

        bool canReach(int vm, int engine) const
        {
            bool crossesPartition = isZonePartitioned_ && (zoneOfVm(vm) == 0) != (engineZones_[engine] == 0);
            return !crossesPartition && !engines_[engine].isDown_;
        }

        void startRoot() { start(drawRoot(scenario_, ++lastRootId_)); }

        void startChild(int parent, std::uint64_t subAgent)
        {
            start(drawSubAgent(scenario_, programs_[parent], parent, subAgent));
        }

        void start(Program program)
        {
            program.start_ = now_;
            int parent = program.parent_;
            if (parent < 0 && remainingCrashingPrograms_ > 0) {
                --remainingCrashingPrograms_;
                program.crashes_ = true;
            }
            programs_.push_back(std::move(program));
            beginTurn(static_cast<int>(programs_.size()) - 1, true);
        }

        void onArrival()
        {
            if (now_ >= lastArrival)
                return;
            double rate = capacity_ * scenario_.load_;
            schedule(now_ + std::exponential_distribution<double>(rate)(arrivals_), EventKind::Arrive);
            startRoot();
        }

        void beginTurn(int index, bool isNew)
        {
            Program& program = programs_[index];
            if (program.hasEnded_)
                return;
            const Turn& turn = program.shape_.turns_[program.turn_];
            if (isNew)
                program.turnStart_ = now_;
            PendingCall call;
            call.program_ = index;
            call.arrived_ = program.turnStart_;
            call.request_ = { ++lastCallId_, index, program.workspace_, program.context_ + turn.newPrompt_,
                program.context_, 4 * turn.outputTokens_,
                program.crashes_ ? 1 : (static_cast<std::uint64_t>(index) << 20) + program.turn_ + 2, {} };
            if (isNew) {
                ++result_.requests_;
                schedule(
                    now_ + scenario_.mix_.callerTimeout_, EventKind::CallerTimeout, index, program.turn_);
            }
            calls_[lastCallId_] = call;
            enqueue(lastCallId_);
        }

        void enqueue(std::uint64_t id)
        {
            PendingCall& call = calls_[id];
            int vm = programs_[call.program_].vm_;
            auto refusal = vms_[vm].enqueue_(call.request_, now_);
            if (!refusal)
                return dispatchAll(vm);
            int index = call.program_;
            calls_.erase(id);
            ++result_.refusals_;
            Program& program = programs_[index];
            if (refusal->isFinal_ || ++program.refusals_ > maxRefusals)
                return abandonProgram(index);
            schedule(now_ + refusal->retryAfter_, EventKind::Turn, index, program.turn_);
        }

        void dispatchAll(int vm)
        {
            for (const Assignment& assignment : vms_[vm].nextAssignments_(now_))
                send(vm, assignment);
        }

        void send(int vm, const Assignment& assignment)
        {
            PendingCall& call = calls_[assignment.id_];
            ++result_.attempts_;
            ++call.attempts_;
            call.engine_ = assignment.engine_;
            call.request_.excludedEngines_.insert(assignment.engine_);
            if (!canReach(vm, assignment.engine_))
                return endCall(assignment.id_, { CallOutcome::Kind::Unreachable });
            const Program& program = programs_[call.program_];
            EngineCall engineCall { assignment.id_, call.program_, call.request_.promptTokens_,
                program.shape_.turns_[program.turn_].outputTokens_ };
            engineCall.crashes_ = program.crashes_;
            engines_[assignment.engine_].waiting_.push_back(engineCall);
            startStep(assignment.engine_);
        }

        void startStep(int index)
        {
            EngineModel& engine = engines_[index];
            if (engine.isStepping_ || engine.isDown_ || engine.slowdown_ == 0)
                return;
            StepResult result;
            Seconds time = beginStep(engine, now_, result);
            for (const EngineCall& call : result.admitted_)
                countWastedTokens(index, call);
            for (int program : engine.evicted_) {
                if (randomFraction() >= evictionLossProbability)
                    evictions_.emplace_back(program, index);
            }
            engine.evicted_.clear();
            if (time == 0)
                return;
            engine.isStepping_ = true;
            schedule(now_ + time, EventKind::StepEnd, index, generations_[index]);
        }

        void countWastedTokens(int index, const EngineCall& call)
        {
            std::int64_t maxCached = 0;
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                if (static_cast<int>(i) != index && !engines_[i].isDown_)
                    maxCached = std::max(maxCached, cachedTokensFor(engines_[i], call.program_));
            }
            maxCached = std::min<std::int64_t>(maxCached, call.promptTokens_);
            result_.promptTokens_ += call.promptTokens_;
            result_.wastedTokens_
                += static_cast<double>(std::max<std::int64_t>(0, maxCached - call.cachedTokens_));
        }

        void finishStep(int index)
        {
            EngineModel& engine = engines_[index];
            engine.isStepping_ = false;
            StepResult result;
            endStep(engine, now_, result);
            for (const auto* ids : { &result.firstOutput_, &result.moreOutput_ }) {
                for (std::uint64_t id : *ids) {
                    auto call = calls_.find(id);
                    if (call != calls_.end())
                        vms_[programs_[call->second.program_].vm_].onOutput_(id, now_);
                }
            }
            for (const EngineCall& call : result.done_) {
                if (programs_[call.program_].hasEnded_)
                    markProgramEnded(engine, call.program_, now_);
                if (calls_.count(call.id_))
                    endCall(call.id_,
                        { CallOutcome::Kind::Answered, call.promptTokens_, call.cachedTokens_,
                            call.generatedTokens_ });
            }
            if (result.hasCrashed_) {
                ++result_.crashes_;
                failEngine(index);
                schedule(now_ + restartDelay, EventKind::Restart, index);
            }
            startStep(index);
        }

        void failEngine(int index)
        {
            ++generations_[index];
            engines_[index].isDown_ = true;
            engines_[index].isStepping_ = false;
            for (const EngineCall& call : crash(engines_[index], now_)) {
                if (calls_.count(call.id_))
                    endCall(call.id_, { CallOutcome::Kind::ConnectionLost });
            }
        }

        void endCall(std::uint64_t id, const CallOutcome& outcome)
        {
            PendingCall call = calls_[id];
            int vm = programs_[call.program_].vm_;
            vms_[vm].onCallEnded_(id, outcome, now_);
            if (outcome.kind_ == CallOutcome::Kind::Answered) {
                calls_.erase(id);
                handleAnswer(call);
                return dispatchAll(vm);
            }
            if (programs_[call.program_].hasEnded_) {
                calls_.erase(id);
                return;
            }
            bool sentNothing = outcome.kind_ == CallOutcome::Kind::Unreachable;
            if (call.attempts_ < maxAttempts && (sentNothing || vms_[vm].tryConsumeRetry_(now_)))
                return enqueue(id);
            calls_.erase(id);
            Program& program = programs_[call.program_];
            if (++program.retries_ > 4)
                return abandonProgram(call.program_);
            schedule(now_ + 1 + 2 * randomFraction(), EventKind::Turn, call.program_, program.turn_);
        }

        void handleAnswer(const PendingCall& call)
        {
            Program& program = programs_[call.program_];
            const Turn& turn = program.shape_.turns_[program.turn_];
            result_.calls_.emplace_back(now_, now_ - call.arrived_);
            program.context_ = call.request_.promptTokens_ + turn.outputTokens_;
            if (now_ >= warmUpEnd && now_ < lastArrival)
                program.outputTokens_ += turn.outputTokens_;
            program.retries_ = 0;
            program.refusals_ = 0;
            ++program.turn_;
            bool isLast = program.turn_ >= program.shape_.turns_.size();
            if (isLast)
                return finish(call.program_);
            int index = call.program_;
            int children = turn.children_;
            program.pendingDependencies_ = 1 + children;
            schedule(now_ + turn.pause_, EventKind::Turn, index, program.turn_);
            for (int child = 0; child < children; ++child)
                startChild(index,
                    subAgentIdStride * (programs_[index].turn_ + 1) + static_cast<std::uint64_t>(child));
        }

        void finish(int index)
        {
            Program& program = programs_[index];
            bool isCounted = program.start_ >= warmUpEnd && program.start_ < lastArrival;
            if (program.parent_ < 0 && isCounted && !program.shape_.isLooping_)
                result_.programs_.push_back(
                    { static_cast<int>(program.shape_.turns_.size()), now_ - program.start_ });
            if (!program.shape_.isLooping_)
                result_.goodputTokens_ += program.outputTokens_;
            endProgram(index, !program.shape_.isAbandoned_);
        }

        void abandonProgram(int index)
        {
            Program& program = programs_[index];
            if (program.hasEnded_)
                return;
            bool isCounted = program.start_ >= warmUpEnd && program.start_ < lastArrival;
            if (program.parent_ < 0 && isCounted && !program.shape_.isLooping_ && !program.crashes_)
                result_.programs_.push_back({ static_cast<int>(program.shape_.turns_.size()) });
            endProgram(index, false);
        }

        // The scheduler is notified only when the caller ends the program, not when it abandons the program.
        void endProgram(int index, bool notifiesScheduler)
        {
            Program& program = programs_[index];
            program.hasEnded_ = true;
            for (EngineModel& engine : engines_)
                markProgramEnded(engine, index, now_);
            if (notifiesScheduler) {
                vms_[program.vm_].onProgramEnded_(index);
                for (EngineModel& engine : engines_) {
                    if (vms_[program.vm_].releasesOnEnd_)
                        releasePrefix(engine, index, now_);
                }
            }
            if (program.parent_ >= 0)
                completeDependency(program.parent_);
        }

        void completeDependency(int index)
        {
            Program& program = programs_[index];
            if (!program.hasEnded_ && --program.pendingDependencies_ == 0)
                beginTurn(index, true);
        }

        void onCallerTimeout(int index, std::size_t turn)
        {
            Program& program = programs_[index];
            if (program.hasEnded_ || program.turn_ != turn || program.pendingDependencies_ > 0)
                return;
            for (auto call = calls_.begin(); call != calls_.end(); ++call) {
                if (call->second.program_ != index)
                    continue;
                std::uint64_t id = call->first;
                abandonProgram(index);
                cancelPendingCall(id);
                return;
            }
            abandonProgram(index);
        }

        void cancelPendingCall(std::uint64_t id)
        {
            PendingCall& call = calls_[id];
            int vm = programs_[call.program_].vm_;
            if (vms_[vm].removeQueued_(id)) {
                calls_.erase(id);
                return;
            }
            cancelCall(engines_[call.engine_], id);
            endCall(id, { CallOutcome::Kind::Cancelled });
        }

        void deliverLoadReports()
        {
            std::vector<EngineLoad> loads;
            for (const EngineModel& engine : engines_)
                loads.push_back(loadOf(engine));
            reports_.push_back(std::move(loads));
            if (reports_.size() <= reportLagIntervals)
                return;
            for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
                for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
                    bool isSameZone = engineZones_[engine] == zoneOfVm(static_cast<int>(vm));
                    if (isSameZone && canReach(static_cast<int>(vm), static_cast<int>(engine)))
                        vms_[vm].onLoadReport_(static_cast<int>(engine), reports_.front()[engine], now_);
                }
            }
            reports_.pop_front();
        }

        void tick()
        {
            for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
                for (std::uint64_t id : vms_[vm].hungCalls_(now_)) {
                    auto call = calls_.find(id);
                    if (call == calls_.end())
                        continue;
                    cancelCall(engines_[call->second.engine_], id);
                    endCall(id, { CallOutcome::Kind::Hung });
                }
                for (const ReleasedPrefix& prefix : vms_[vm].removeStalePrefixes_(now_))
                    releasePrefix(engines_[prefix.engine_], prefix.program_, now_);
                dispatchAll(static_cast<int>(vm));
            }
        }

        void applyFault(bool isStart)
        {
            switch (scenario_.fault_) {
            case Fault::None:
                return;
            case Fault::EnginesLost:
                for (std::size_t i = 0; i < engines_.size(); i += 3)
                    isStart ? failEngine(static_cast<int>(i)) : restartEngine(static_cast<int>(i));
                return;
            case Fault::SlowEngine:
                engines_[1].slowdown_ = isStart ? 6 : 1;
                return;
            case Fault::HungEngine:
                engines_[1].slowdown_ = isStart ? 0 : 1;
                return startStep(1);
            case Fault::ZonePartitioned:
                isZonePartitioned_ = isStart;
                return;
            case Fault::CrashingRequest:
                remainingCrashingPrograms_ = isStart ? crashingPrograms : 0;
                return;
            }
        }

        void restartEngine(int index)
        {
            engines_[index].isDown_ = false;
            startStep(index);
        }

        void handle(const Event& event)
        {
            auto subject = static_cast<int>(event.subject_);
            switch (event.kind_) {
            case EventKind::Arrive:
                return onArrival();
            case EventKind::Turn:
                if (programs_[subject].pendingDependencies_ > 0)
                    return completeDependency(subject);
                return beginTurn(subject, false);
            case EventKind::StepEnd:
                if (event.generation_ == generations_[subject])
                    finishStep(subject);
                return;
            case EventKind::Report:
                deliverLoadReports();
                return schedule(now_ + reportInterval, EventKind::Report);
            case EventKind::Evictions:
                for (const auto& [program, engine] : evictions_)
                    vms_[programs_[program].vm_].onEviction_(program, engine, now_);
                evictions_.clear();
                return schedule(now_ + evictionLag, EventKind::Evictions);
            case EventKind::Tick:
                tick();
                return schedule(now_ + tickInterval, EventKind::Tick);
            case EventKind::CallerTimeout:
                return onCallerTimeout(subject, event.generation_);
            case EventKind::FaultStart:
                return applyFault(true);
            case EventKind::FaultEnd:
                return applyFault(false);
            case EventKind::Restart:
                return restartEngine(subject);
            }
        }

        void initialize(const MakeScheduler& make)
        {
            const Mix& mix = scenario_.mix_;
            capacity_ = capacityOf(mix);
            engines_.resize(mix.engines_);
            generations_.resize(mix.engines_);
            for (int i = 0; i < mix.engines_; ++i) {
                engines_[i].shape_ = mix.engine_;
                engineZones_.push_back(i % zoneCount);
            }
            for (int vm = 0; vm < mix.vms_; ++vm) {
                std::uint64_t seed = scenario_.seed_ * 1000 + static_cast<std::uint64_t>(vm);
                vms_.push_back(make({ zoneOfVm(vm), engineZones_, seed }));
            }
            for (EventKind kind :
                { EventKind::Arrive, EventKind::Report, EventKind::Tick, EventKind::Evictions })
                schedule(0, kind);
            schedule(faultFrom, EventKind::FaultStart);
            schedule(faultTo, EventKind::FaultEnd);
        }

        void run()
        {
            while (!events_.empty() && now_ < runEnd) {
                Event event = events_.top();
                events_.pop();
                now_ = event.at_;
                handle(event);
            }
            for (EngineModel& engine : engines_) {
                crash(engine, now_);
                result_.endedProgramTokenSeconds_ += engine.endedProgramTokenSeconds_;
            }
            for (std::size_t i = 0; i < programs_.size(); ++i)
                abandonProgram(static_cast<int>(i));
        }
    };

} // namespace

SimulationResult simulate(const Scenario& scenario, const MakeScheduler& make)
{
    Simulator simulator(scenario);
    simulator.initialize(make);
    simulator.run();
    return std::move(simulator.result_);
}

} // namespace fescue::bench
