#include "SimulationState.h"

#include <algorithm>
#include <queue>

namespace fescue::bench {

namespace {

    constexpr Seconds reportInterval = 0.5;
    constexpr std::size_t reportLag = 2; // Intervals.
    constexpr Seconds evictionLag = 2;
    constexpr double evictionGaps = 0.2;
    constexpr Seconds tickInterval = 0.1;
    constexpr Seconds zoneDelay = 0.001;
    constexpr Seconds restartTime = 20;
    constexpr int mostSends = 3;
    constexpr int mostRefusals = 12;
    constexpr int crashingPrograms = 3;
    constexpr std::uint64_t partsOfTurn = 16;

    struct Loop {
        const Scenario& scenario_;
        Random random_;
        Random arrivals_;
        Measures measures_;
        std::priority_queue<Event, std::vector<Event>, Later> events_;
        std::uint64_t order_ = 0;
        Seconds now_ = 0;
        std::vector<EngineModel> engines_;
        std::vector<std::uint64_t> generations_;
        std::vector<int> engineZones_;
        std::vector<VmScheduler> vms_;
        std::vector<Program> programs_;
        std::unordered_map<std::uint64_t, OpenCall> calls_;
        std::uint64_t lastCall_ = 0;
        std::uint64_t lastRoot_ = 0;
        double capacityOfMix_ = 0;
        std::deque<std::vector<EngineLoad>> reports_;
        std::vector<std::pair<int, int>> evictions_;
        bool isCut_ = false;
        int crashingLeft_ = 0;

        explicit Loop(const Scenario& scenario)
            : scenario_(scenario)
            , random_(scenario.seed_)
            , arrivals_(scenario.seed_ * 7919)
        {
        }

        void at(Seconds when, Kind kind, std::uint64_t subject = 0, std::uint64_t generation = 0)
        {
            events_.push({ when, ++order_, kind, subject, generation });
        }

        double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

        int zoneOfVm(int vm) const { return vm % zones; }

        bool canReach(int vm, int engine) const
        {
            bool isAcross = isCut_ && (zoneOfVm(vm) == 0) != (engineZones_[engine] == 0);
            return !isAcross && !engines_[engine].isDead_;
        }

        void startRoot() { start(drawRoot(scenario_, ++lastRoot_)); }

        void startChild(int parent, std::uint64_t part)
        {
            start(drawPart(scenario_, programs_[parent], parent, part));
        }

        void start(Program program)
        {
            program.start_ = now_;
            int parent = program.parent_;
            if (parent < 0 && crashingLeft_ > 0) {
                --crashingLeft_;
                program.crashes_ = true;
            }
            programs_.push_back(std::move(program));
            beginTurn(static_cast<int>(programs_.size()) - 1, true);
        }

        void arrive()
        {
            if (now_ >= lastArrival)
                return;
            double rate = capacityOfMix_ * scenario_.load_;
            at(now_ + std::exponential_distribution<double>(rate)(arrivals_), Kind::Arrive);
            startRoot();
        }

        void beginTurn(int index, bool isNew)
        {
            Program& program = programs_[index];
            if (program.isOver_)
                return;
            const Turn& turn = program.shape_.turns_[program.turn_];
            if (isNew)
                program.turnStart_ = now_;
            OpenCall call;
            call.program_ = index;
            call.arrived_ = program.turnStart_;
            call.waiting_ = { ++lastCall_, index, program.workspace_, program.context_ + turn.newPrompt_,
                program.context_, 4 * turn.output_,
                program.crashes_ ? 1 : (static_cast<std::uint64_t>(index) << 20) + program.turn_ + 2, {} };
            if (isNew) {
                ++measures_.requests_;
                at(now_ + scenario_.mix_.patience_, Kind::Patience, index, program.turn_);
            }
            calls_[lastCall_] = call;
            enter(lastCall_);
        }

        void enter(std::uint64_t id)
        {
            OpenCall& call = calls_[id];
            int vm = programs_[call.program_].vm_;
            auto refusal = vms_[vm].enqueue_(call.waiting_, now_);
            if (!refusal)
                return pump(vm);
            int index = call.program_;
            calls_.erase(id);
            ++measures_.refusals_;
            Program& program = programs_[index];
            if (refusal->isFinal_ || ++program.refusals_ > mostRefusals)
                return giveUp(index);
            at(now_ + refusal->retryAfter_, Kind::Turn, index, program.turn_);
        }

        void pump(int vm)
        {
            for (const Placed& placed : vms_[vm].next_(now_))
                send(vm, placed);
        }

        void send(int vm, const Placed& placed)
        {
            OpenCall& call = calls_[placed.id_];
            ++measures_.attempts_;
            ++call.sends_;
            call.engine_ = placed.engine_;
            call.waiting_.avoid_.insert(placed.engine_);
            if (!canReach(vm, placed.engine_))
                return endCall(placed.id_, { CallEnd::Kind::Unreachable });
            const Program& program = programs_[call.program_];
            EngineCall wanted { placed.id_, call.program_, call.waiting_.prompt_,
                program.shape_.turns_[program.turn_].output_ };
            wanted.crashes_ = program.crashes_;
            engines_[placed.engine_].waiting_.push_back(wanted);
            kick(placed.engine_);
        }

        void kick(int index)
        {
            EngineModel& engine = engines_[index];
            if (engine.isStepping_ || engine.isDead_ || engine.slowdown_ == 0)
                return;
            StepResult result;
            Seconds time = beginStep(engine, now_, result);
            for (const EngineCall& call : result.admitted_)
                countWaste(index, call);
            for (int program : engine.evicted_) {
                if (draw() >= evictionGaps)
                    evictions_.emplace_back(program, index);
            }
            engine.evicted_.clear();
            if (time == 0)
                return;
            engine.isStepping_ = true;
            at(now_ + time, Kind::StepEnd, index, generations_[index]);
        }

        void countWaste(int index, const EngineCall& call)
        {
            std::int64_t most = 0;
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                if (static_cast<int>(i) != index && !engines_[i].isDead_)
                    most = std::max(most, heldFor(engines_[i], call.program_));
            }
            most = std::min<std::int64_t>(most, call.prompt_);
            measures_.promptTokens_ += call.prompt_;
            measures_.wastedTokens_ += static_cast<double>(std::max<std::int64_t>(0, most - call.cached_));
        }

        void stepEnd(int index)
        {
            EngineModel& engine = engines_[index];
            engine.isStepping_ = false;
            StepResult result;
            endStep(engine, now_, result);
            for (const auto* ids : { &result.firstOutput_, &result.moreOutput_ }) {
                for (std::uint64_t id : *ids) {
                    auto call = calls_.find(id);
                    if (call != calls_.end())
                        vms_[programs_[call->second.program_].vm_].output_(id, now_);
                }
            }
            for (const EngineCall& call : result.done_) {
                if (programs_[call.program_].isOver_)
                    programGone(engine, call.program_, now_);
                if (calls_.count(call.id_))
                    endCall(call.id_, { CallEnd::Kind::Answered, call.prompt_, call.cached_, call.made_ });
            }
            if (result.hasCrashed_) {
                ++measures_.crashes_;
                loseEngine(index);
                at(now_ + restartTime, Kind::Restart, index);
            }
            kick(index);
        }

        void loseEngine(int index)
        {
            ++generations_[index];
            engines_[index].isDead_ = true;
            engines_[index].isStepping_ = false;
            for (const EngineCall& call : crash(engines_[index], now_)) {
                if (calls_.count(call.id_))
                    endCall(call.id_, { CallEnd::Kind::BrokenOff });
            }
        }

        void endCall(std::uint64_t id, const CallEnd& end)
        {
            OpenCall call = calls_[id];
            int vm = programs_[call.program_].vm_;
            vms_[vm].ended_(id, end, now_);
            if (end.kind_ == CallEnd::Kind::Answered) {
                calls_.erase(id);
                answered(call);
                return pump(vm);
            }
            if (programs_[call.program_].isOver_) {
                calls_.erase(id);
                return;
            }
            bool isFree = end.kind_ == CallEnd::Kind::Unreachable;
            if (call.sends_ < mostSends && (isFree || vms_[vm].mayRetry_(now_)))
                return enter(id);
            calls_.erase(id);
            Program& program = programs_[call.program_];
            if (++program.repeats_ > 4)
                return giveUp(call.program_);
            at(now_ + 1 + 2 * draw(), Kind::Turn, call.program_, program.turn_);
        }

        void answered(const OpenCall& call)
        {
            Program& program = programs_[call.program_];
            const Turn& turn = program.shape_.turns_[program.turn_];
            measures_.calls_.emplace_back(now_, now_ - call.arrived_);
            program.context_ = call.waiting_.prompt_ + turn.output_;
            if (now_ >= warmUp && now_ < lastArrival)
                program.output_ += turn.output_;
            program.repeats_ = 0;
            program.refusals_ = 0;
            ++program.turn_;
            bool isLast = program.turn_ >= program.shape_.turns_.size();
            if (isLast)
                return finish(call.program_);
            int index = call.program_;
            int children = turn.children_;
            program.openParts_ = 1 + children;
            at(now_ + turn.pause_, Kind::Turn, index, program.turn_);
            for (int child = 0; child < children; ++child)
                startChild(
                    index, partsOfTurn * (programs_[index].turn_ + 1) + static_cast<std::uint64_t>(child));
        }

        void finish(int index)
        {
            Program& program = programs_[index];
            bool isCounted = program.start_ >= warmUp && program.start_ < lastArrival;
            if (program.parent_ < 0 && isCounted && !program.shape_.loops_)
                measures_.programs_.push_back(
                    { static_cast<int>(program.shape_.turns_.size()), now_ - program.start_ });
            if (!program.shape_.loops_)
                measures_.goodTokens_ += program.output_;
            over(index, !program.shape_.walksAway_);
        }

        void giveUp(int index)
        {
            Program& program = programs_[index];
            if (program.isOver_)
                return;
            bool isCounted = program.start_ >= warmUp && program.start_ < lastArrival;
            if (program.parent_ < 0 && isCounted && !program.shape_.loops_ && !program.crashes_)
                measures_.programs_.push_back({ static_cast<int>(program.shape_.turns_.size()) });
            over(index, false);
        }

        // The scheduler hears of a proper end; a caller that only stays away is not noticed in time.
        void over(int index, bool isTold)
        {
            Program& program = programs_[index];
            program.isOver_ = true;
            for (EngineModel& engine : engines_)
                programGone(engine, index, now_);
            if (isTold) {
                vms_[program.vm_].programEnded_(index);
                for (EngineModel& engine : engines_) {
                    if (vms_[program.vm_].releasesOnEnd_)
                        releasePrefix(engine, index, now_);
                }
            }
            if (program.parent_ >= 0)
                partDone(program.parent_);
        }

        void partDone(int index)
        {
            Program& program = programs_[index];
            if (!program.isOver_ && --program.openParts_ == 0)
                beginTurn(index, true);
        }

        void patience(int index, std::size_t turn)
        {
            Program& program = programs_[index];
            if (program.isOver_ || program.turn_ != turn || program.openParts_ > 0)
                return;
            for (auto call = calls_.begin(); call != calls_.end(); ++call) {
                if (call->second.program_ != index)
                    continue;
                std::uint64_t id = call->first;
                giveUp(index);
                abort(id);
                return;
            }
            giveUp(index);
        }

        void abort(std::uint64_t id)
        {
            OpenCall& call = calls_[id];
            int vm = programs_[call.program_].vm_;
            if (vms_[vm].removeQueued_(id)) {
                calls_.erase(id);
                return;
            }
            cancelCall(engines_[call.engine_], id);
            endCall(id, { CallEnd::Kind::Cancelled });
        }

        void report()
        {
            std::vector<EngineLoad> loads;
            for (const EngineModel& engine : engines_)
                loads.push_back(loadOf(engine));
            reports_.push_back(std::move(loads));
            if (reports_.size() <= reportLag)
                return;
            for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
                for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
                    bool isNear = engineZones_[engine] == zoneOfVm(static_cast<int>(vm));
                    if (isNear && canReach(static_cast<int>(vm), static_cast<int>(engine)))
                        vms_[vm].loadReported_(static_cast<int>(engine), reports_.front()[engine], now_);
                }
            }
            reports_.pop_front();
        }

        void tick()
        {
            for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
                for (std::uint64_t id : vms_[vm].overdue_(now_)) {
                    auto call = calls_.find(id);
                    if (call == calls_.end())
                        continue;
                    cancelCall(engines_[call->second.engine_], id);
                    endCall(id, { CallEnd::Kind::Hung });
                }
                for (const StaleCopy& copy : vms_[vm].stale_(now_))
                    releasePrefix(engines_[copy.engine_], copy.program_, now_);
                pump(static_cast<int>(vm));
            }
        }

        void fault(bool isStart)
        {
            switch (scenario_.fault_) {
            case Fault::None:
                return;
            case Fault::ThirdLost:
                for (std::size_t i = 0; i < engines_.size(); i += 3)
                    isStart ? loseEngine(static_cast<int>(i)) : revive(static_cast<int>(i));
                return;
            case Fault::SlowEngine:
                engines_[1].slowdown_ = isStart ? 6 : 1;
                return;
            case Fault::HungEngine:
                engines_[1].slowdown_ = isStart ? 0 : 1;
                return kick(1);
            case Fault::ZoneCut:
                isCut_ = isStart;
                return;
            case Fault::CrashingRequest:
                crashingLeft_ = isStart ? crashingPrograms : 0;
                return;
            }
        }

        void revive(int index)
        {
            engines_[index].isDead_ = false;
            kick(index);
        }

        void handle(const Event& event)
        {
            auto subject = static_cast<int>(event.subject_);
            switch (event.kind_) {
            case Kind::Arrive:
                return arrive();
            case Kind::Turn:
                if (programs_[subject].openParts_ > 0)
                    return partDone(subject);
                return beginTurn(subject, false);
            case Kind::StepEnd:
                if (event.generation_ == generations_[subject])
                    stepEnd(subject);
                return;
            case Kind::Report:
                report();
                return at(now_ + reportInterval, Kind::Report);
            case Kind::Evictions:
                for (const auto& [program, engine] : evictions_)
                    vms_[programs_[program].vm_].evicted_(program, engine, now_);
                evictions_.clear();
                return at(now_ + evictionLag, Kind::Evictions);
            case Kind::Tick:
                tick();
                return at(now_ + tickInterval, Kind::Tick);
            case Kind::Patience:
                return patience(subject, event.generation_);
            case Kind::FaultStart:
                return fault(true);
            case Kind::FaultEnd:
                return fault(false);
            case Kind::Restart:
                return revive(subject);
            }
        }

        void prepare(const MakeScheduler& make)
        {
            const Mix& mix = scenario_.mix_;
            capacityOfMix_ = capacityOf(mix);
            engines_.resize(mix.engines_);
            generations_.resize(mix.engines_);
            for (int i = 0; i < mix.engines_; ++i) {
                engines_[i].shape_ = mix.engine_;
                engineZones_.push_back(i % zones);
            }
            for (int vm = 0; vm < mix.vms_; ++vm) {
                std::uint64_t seed = scenario_.seed_ * 1000 + static_cast<std::uint64_t>(vm);
                vms_.push_back(make({ zoneOfVm(vm), engineZones_, seed }));
            }
            for (Kind kind : { Kind::Arrive, Kind::Report, Kind::Tick, Kind::Evictions })
                at(0, kind);
            at(faultFrom, Kind::FaultStart);
            at(faultTo, Kind::FaultEnd);
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
                measures_.deadTokenSeconds_ += engine.deadTokenSeconds_;
            }
            for (std::size_t i = 0; i < programs_.size(); ++i)
                giveUp(static_cast<int>(i));
        }
    };

} // namespace

Measures simulate(const Scenario& scenario, const MakeScheduler& make)
{
    Loop loop(scenario);
    loop.prepare(make);
    loop.run();
    return std::move(loop.measures_);
}

} // namespace fescue::bench
