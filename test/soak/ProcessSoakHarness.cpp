#include "ProcessSoakHarness.h"

#include "BootClock.h"
#include "ProcessSoakTarget.h"
#include "SoakComponents.h"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <fmt/format.h>

namespace fescue::test {

namespace {

    constexpr Milliseconds startPhase { 1500 };
    constexpr Milliseconds faultPhase { 5000 };
    constexpr Milliseconds recoveryPhase { 3000 };
    constexpr Milliseconds measurementPhase { 1500 };
    constexpr Milliseconds finalAnswersPhase { 4500 }; // Longer than any route's timeout.
    constexpr double minSuccessShare = 0.9; // Of attempts at VMs that run undisturbed.
    constexpr std::size_t minCalmAttempts = 30;
    constexpr Milliseconds settleTime { 1000 }; // After a VM was disturbed.
    constexpr std::size_t callerCount = 36;
    constexpr int maxResumptions = 4;
    constexpr std::array<const char*, 5> zonesOfVms { "za", "za", "zb", "zb", "zc" };
    constexpr std::array<const char*, 3> zones { "za", "zb", "zc" };
    constexpr std::size_t modelTargetsPerZone = 2;

    struct Route {
        const char* prefix_;
        const char* method_;
        int deadlineMs_;
    };

    Route routeOf(ProcessSoakKind kind)
    {
        switch (kind) {
        case ProcessSoakKind::Turn:
            return { "/turn/", "POST", 3000 };
        case ProcessSoakKind::Note:
            return { "/note/", "POST", 2000 };
        case ProcessSoakKind::Read:
            return { "/read/", "GET", 1200 };
        case ProcessSoakKind::Call:
            break;
        }
        return { "/call/", "POST", 1500 };
    }

    // `weight` is that of the first of two services, in percent.
    std::string makeConfig(std::uint64_t version, bool isSplit, int weight)
    {
        std::string backends = isSplit
            ? fmt::format(R"("backends":[{{"service":"llm","weight":{}}},{{"service":"llm2","weight":{}}}])",
                weight, 100 - weight)
            : std::string(R"("service":"llm")");
        return fmt::format(R"({{"version":{0},"routes":[
{{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":3000,{1},
 "max-attempts":1,"retained":false,"retention-s":60.0,"resumable":true,"priority":0}},
{{"name":"notes","host":"h.example","path-prefix":"/note/","type":"streaming","timeout-ms":2000,{1},
 "max-attempts":1,"retained":false,"retention-s":60.0,"priority":1}},
{{"name":"reads","host":"h.example","path-prefix":"/read/","type":"idempotent","timeout-ms":1200,"service":"app",
 "max-attempts":2}},
{{"name":"calls","host":"h.example","path-prefix":"/call/","type":"non_idempotent","timeout-ms":1500,"service":"app",
 "max-attempts":2}}],
"services":[{{"name":"llm","engine":{{"slots":12,"tokens-per-event":100}}}},
 {{"name":"llm2","engine":{{"slots":12,"tokens-per-event":100}}}},{{"name":"app"}}],
"limits":{{"max-header-bytes":8192,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}})",
            version, backends);
    }

    class Harness {
    public:
        explicit Harness(const ProcessSoakOptions& options)
            : options_(options)
            , faultRandom_(options.seed_)
            , callerRandom_(options.seed_)
            , store_(io_)
        {
            publishConfig();
            for (std::size_t i = 0; i < zones.size() * modelTargetsPerZone; ++i)
                addTarget(i, options_.hasSplitRoutes_ && i % modelTargetsPerZone == 1 ? "llm2" : "llm");
            for (std::size_t i = 0; i < zones.size(); ++i)
                addTarget(i * modelTargetsPerZone, "app");
            for (std::size_t i = 0; i < zonesOfVms.size(); ++i)
                vms_.push_back(std::make_unique<SoakVm>(io_, store_.port(), fmt::format("vm-{}", i),
                    zonesOfVms[i], options_.folder_, [this] { return options_.program_; }));
            // The VMs close idle connections; the callers do not.
            constexpr Milliseconds callerIdleTimeout { 60000 };
            OutboundLimits limits;
            limits.idleTimeout_ = callerIdleTimeout;
            for (std::size_t i = 0; i < callerCount; ++i)
                callers_.push_back({ std::make_unique<OutboundPool>(io_, limits), {}, 0 });
        }

        ProcessSoakReport run()
        {
            for (auto& target : targets_)
                target->start();
            for (auto& vm : vms_)
                vm->start();
            runFor(startPhase);
            scheduleFaults();
            for (std::size_t i = 0; i < callers_.size(); ++i)
                scheduleRequest(i);
            runFor(faultPhase);
            heal();
            runFor(recoveryPhase);
            isMeasuring_ = true;
            for (auto& vm : vms_)
                vm->checkReadiness();
            runFor(measurementPhase);
            isMeasuring_ = false;
            for (auto& vm : vms_)
                addViolation(vm->silence());
            checkRecovery();
            isEnding_ = true;
            MonotonicTime end = bootNow() + finalAnswersPhase;
            while (bootNow() < end && ended_ < history_.attempts_.size())
                runFor(Milliseconds { 10 });
            return finish();
        }

    private:
        struct Caller {
            std::unique_ptr<OutboundPool> connections_;
            std::string program_;
            int requestsLeft_ = 0; ///< Of the program.
        };
        struct Fault {
            MonotonicTime at_;
            std::function<void()> act_;
        };
        // What a caller sends in one attempt.
        struct Attempt {
            ProcessSoakKind kind_ = ProcessSoakKind::Read;
            std::string path_;
            std::string program_; ///< Empty for a request that belongs to no program.
            int resumptionsLeft_ = maxResumptions;
        };

        static std::int64_t draw(std::mt19937_64& random, std::int64_t min, std::int64_t max)
        {
            return std::uniform_int_distribution<std::int64_t>(min, max)(random);
        }
        std::size_t pick(std::size_t count)
        {
            return static_cast<std::size_t>(draw(faultRandom_, 0, static_cast<std::int64_t>(count) - 1));
        }
        // Callers draw from a generator of their own, so the faults of a seed do not depend on them.
        std::size_t pickForCaller(std::size_t count)
        {
            return static_cast<std::size_t>(draw(callerRandom_, 0, static_cast<std::int64_t>(count) - 1));
        }

        void addTarget(std::size_t place, const std::string& service)
        {
            std::size_t zone = place / modelTargetsPerZone;
            ProcessSoakTarget::Place target;
            target.name_ = fmt::format("{}-{}", service, targets_.size());
            target.service_ = service;
            target.zone_ = zones[zone];
            target.version_ = place % modelTargetsPerZone == 0 ? "v1" : "v2";
            target.folder_ = options_.folder_;
            target.changesVersionUnderOneId_ = options_.changesVersionsUnderOneId_;
            // Each of two services has targets of both versions.
            if (options_.hasSplitRoutes_)
                target.version_ = zone == 0 ? "v2" : "v1";
            targets_.push_back(std::make_unique<ProcessSoakTarget>(
                io_, store_, target, options_.seed_ * zonesOfVms.size() + targets_.size()));
        }

        void publishConfig()
        {
            constexpr int percent = 100;
            store_.put("keyed.op", "config",
                makeConfig(++version_, options_.hasSplitRoutes_,
                    static_cast<int>(draw(faultRandom_, 1, percent - 1))));
        }

        void runFor(Milliseconds time)
        {
            MonotonicTime end = bootNow() + time;
            while (bootNow() < end) {
                io_.run_for(std::chrono::milliseconds(2));
                io_.restart();
                MonotonicTime now = bootNow();
                store_.tick(now);
                for (Caller& caller : callers_)
                    caller.connections_->tick(now);
                while (!pendingFaults_.empty() && pendingFaults_.front().at_ <= now) {
                    auto act = std::move(pendingFaults_.front().act_);
                    pendingFaults_.pop_front();
                    act();
                }
                for (auto& target : targets_)
                    target->tick(now, store_.faults().isDown_);
                for (auto& vm : vms_)
                    addViolation(vm->tick(now));
            }
        }

        void addViolation(const std::string& violation)
        {
            if (!violation.empty())
                history_.violations_.push_back(violation);
        }

        void schedule(Milliseconds after, const std::string& what, std::function<void()> act)
        {
            pendingFaults_.push_back({ bootNow() + after, [this, after, what, act = std::move(act)] {
                                          report_.injectedFaults_.push_back(
                                              fmt::format("{} ms: {}", after.count(), what));
                                          act();
                                      } });
        }

        // Schedules overlapping faults. Each ends after a while, at the latest in `heal`.
        void scheduleFaults()
        {
            std::size_t ofTargets = 14 + pick(12);
            std::size_t ofVms = 4 + pick(6);
            std::size_t ofOthers = 1 + pick(3);
            for (std::size_t i = 0; i < ofTargets; ++i)
                scheduleTargetFault(Milliseconds { draw(faultRandom_, 0, faultPhase.count() - 200) });
            for (std::size_t i = 0; i < ofVms; ++i)
                scheduleVmFault(Milliseconds { draw(faultRandom_, 0, faultPhase.count() - 500) });
            for (std::size_t i = 0; i < ofOthers; ++i)
                scheduleOtherFault(Milliseconds { draw(faultRandom_, 0, faultPhase.count() - 1500) });
            std::stable_sort(pendingFaults_.begin(), pendingFaults_.end(),
                [](const Fault& a, const Fault& b) { return a.at_ < b.at_; });
        }

        void scheduleTargetFault(Milliseconds at)
        {
            ProcessSoakTarget& target = *targets_[pick(targets_.size())];
            bool startsAtOnce = pick(2) == 0;
            Milliseconds downFor { startsAtOnce ? draw(faultRandom_, 0, 30) : draw(faultRandom_, 300, 2000) };
            Milliseconds pause { draw(faultRandom_, 50, 1500) };
            switch (pick(8)) {
            case 0:
            case 1:
                return schedule(
                    at, "SIGKILL " + target.name(), [&target, downFor] { target.end(SIGKILL, downFor); });
            case 2:
                return schedule(
                    at, "SIGTERM " + target.name(), [&target, downFor] { target.end(SIGTERM, downFor); });
            case 3:
                return schedule(at, "SIGSTOP " + target.name(),
                    [&target, downFor, pause] { target.pause(pause, false, downFor); });
            case 4:
                return schedule(at, "SIGSTOP, then SIGKILL " + target.name(),
                    [&target, downFor, pause] { target.pause(pause, true, downFor); });
            case 5:
                return schedule(at, "leave " + target.name(), [&target, downFor] { target.leave(downFor); });
            default:
                return scheduleOwnEnd(at, target, downFor);
            }
        }

        void scheduleOwnEnd(Milliseconds at, ProcessSoakTarget& target, Milliseconds downFor)
        {
            constexpr std::array points { "inside-head", "inside-chunk-size", "inside-event",
                "between-events", "after-last-event" };
            std::string point = points[pick(points.size())];
            std::string kind = pick(3) == 0 ? "exit" : "kill";
            schedule(at, fmt::format("{} {} {}", kind, point, target.name()),
                [&target, point, kind, downFor] { target.startEndingItself(point, kind, downFor); });
        }

        void scheduleVmFault(Milliseconds at)
        {
            SoakVm& vm = *vms_[pick(vms_.size())];
            Milliseconds duration { draw(faultRandom_, 50, 1500) };
            switch (pick(4)) {
            case 0:
                return schedule(at, "SIGKILL " + vm.name(), [&vm, duration] { vm.kill(duration); });
            case 1:
                return schedule(at, "SIGTERM " + vm.name(), [&vm] { vm.stop(); });
            case 2:
                return schedule(at, "SIGSTOP " + vm.name(), [&vm, duration] { vm.pause(duration); });
            default:
                return schedule(at, "SIGHUP " + vm.name(), [&vm] { vm.reload(); });
            }
        }

        void scheduleOtherFault(Milliseconds at)
        {
            if (pick(2) == 0)
                return schedule(at, "new configuration", [this] { publishConfig(); });
            Milliseconds duration { draw(faultRandom_, 500, 3000) };
            schedule(at, "store down", [this] { store_.faults().isDown_ = true; });
            schedule(at + duration, "store up", [this] { store_.faults().isDown_ = false; });
        }

        void heal()
        {
            pendingFaults_.clear();
            store_.faults() = {};
            for (auto& vm : vms_)
                vm->heal();
            for (auto& target : targets_)
                target->heal();
        }

        void runAfter(Milliseconds time, std::function<void()> function)
        {
            auto timer = std::make_shared<asio::steady_timer>(io_, time);
            timer->async_wait([this, timer, function = std::move(function)](const asio::error_code&) {
                if (!isEnding_)
                    function();
            });
        }

        void scheduleRequest(std::size_t caller)
        {
            constexpr std::int64_t minPauseMs = 10;
            constexpr std::int64_t maxPauseMs = 120;
            runAfter(Milliseconds { draw(callerRandom_, minPauseMs, maxPauseMs) },
                [this, caller] { sendRequest(caller); });
        }

        void sendRequest(std::size_t index)
        {
            constexpr std::array kinds { ProcessSoakKind::Turn, ProcessSoakKind::Turn, ProcessSoakKind::Turn,
                ProcessSoakKind::Note, ProcessSoakKind::Read, ProcessSoakKind::Call };
            constexpr std::array framings { "none", "none", "chunks", "length" };
            Attempt attempt;
            attempt.kind_ = kinds[pickForCaller(kinds.size())];
            attempt.path_ = fmt::format("{}{}/s{}-{}", routeOf(attempt.kind_).prefix_,
                framings[pickForCaller(framings.size())], options_.seed_, ++contents_);
            attempt.program_ = index % 2 == 0 ? nextProgram(index) : std::string();
            send(index, attempt);
        }

        // Every other caller runs programs, one after the other.
        std::string nextProgram(std::size_t index)
        {
            constexpr int requestsOfProgram = 6;
            Caller& caller = callers_[index];
            if (caller.requestsLeft_ == 0) {
                caller.requestsLeft_ = requestsOfProgram;
                caller.program_ = fmt::format("p{}-{}", index, contents_);
            }
            --caller.requestsLeft_;
            return caller.program_;
        }

        OutboundRequest makeRequest(const SoakVm& vm, const std::string& id, const Attempt& attempt)
        {
            Route route = routeOf(attempt.kind_);
            OutboundRequest request;
            request.peer_ = { asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(vm.callerPort()) };
            request.head_.method_ = route.method_;
            request.head_.target_ = attempt.path_;
            request.head_.headers_ = { { "Host", "h.example" }, { "Fescuewinch-Request-Id", id },
                { "Fescuewinch-Deadline-Ms", std::to_string(route.deadlineMs_) } };
            auto add = [&request](const char* name, std::string value) {
                request.head_.headers_.push_back({ name, std::move(value) });
            };
            bool isStream = attempt.kind_ == ProcessSoakKind::Turn || attempt.kind_ == ProcessSoakKind::Note;
            if (!attempt.program_.empty()) {
                add("Fescuewinch-Program-Id", attempt.program_);
                add("Fescuewinch-Session-Id", attempt.program_);
            }
            if (isStream && !attempt.program_.empty()) {
                add("Fescuewinch-Token-Budget", "90000");
                add("Fescuewinch-Token-Count", "100,900");
            }
            const ProcessSoakStream& stream = history_.streams_[attempt.path_];
            if (stream.lastEvent_ > 0) {
                add("Resumes", stream.firstAttempt_);
                add("Last-Event-Id", std::to_string(stream.lastEvent_));
            }
            if (attempt.kind_ != ProcessSoakKind::Read)
                request.body_ = "prompt of " + attempt.path_;
            constexpr Milliseconds connectTimeout { 1000 };
            request.connectTimeout_ = connectTimeout;
            return request;
        }

        void send(std::size_t index, const Attempt& attempt)
        {
            std::string id = fmt::format("r{}-{}", options_.seed_, history_.attempts_.size() + 1);
            const SoakVm& vm = *vms_[pickForCaller(vms_.size())];
            history_.attempts_[id] = { attempt.kind_, attempt.path_, vm.name(), 0, 0, false };
            auto answer = std::make_shared<ProcessSoakAnswer>();
            OutboundCallbacks callbacks;
            callbacks.onHead_ = [answer](const HttpHead& head) {
                answer->status_ = head.status_;
                const std::string* stamp = findHeader(head, "Fescuewinch-Response-Stamp");
                answer->stamp_ = stamp ? *stamp : std::string();
            };
            callbacks.onBody_ = [answer](std::string part) { answer->body_ += part; };
            MonotonicTime sentAt = bootNow();
            callbacks.onEnd_ = [this, index, id, attempt, answer, &vm, sentAt](const OutboundResult& end) {
                answer->isComplete_ = end.outcome_ == OutboundResult::Outcome::Answered;
                if (isMeasuring_ && vm.disturbedAt() + settleTime < sentAt)
                    addCalmAttempt(*answer);
                handleEnd(index, id, attempt, *answer);
            };
            callers_[index].connections_->send(makeRequest(vm, id, attempt), std::move(callbacks));
        }

        void handleEnd(
            std::size_t index, const std::string& id, Attempt attempt, const ProcessSoakAnswer& answer)
        {
            ++ended_;
            recordAnswer(history_, id, answer);
            bool hasSucceeded = answer.isComplete_ && answer.status_ == 200;
            report_.succeeded_ += hasSucceeded ? 1 : 0;
            const ProcessSoakStream& stream = history_.streams_[attempt.path_];
            report_.wholeStreams_ += hasSucceeded && stream.isComplete_ ? 1 : 0;
            report_.brokenStreams_ += !answer.isComplete_ && !answer.body_.empty() ? 1 : 0;
            bool isPart = stream.lastEvent_ > 0 && stream.lastEvent_ < processSoakEvents;
            bool goesOn = attempt.kind_ == ProcessSoakKind::Turn && isPart && !stream.isComplete_
                && attempt.resumptionsLeft_-- > 0;
            if (!goesOn)
                return scheduleRequest(index);
            constexpr std::int64_t maxPauseMs = 150;
            runAfter(Milliseconds { draw(callerRandom_, 0, maxPauseMs) },
                [this, index, attempt] { send(index, attempt); });
        }

        void addCalmAttempt(const ProcessSoakAnswer& answer)
        {
            ++calmAttempts_;
            calmSuccesses_ += answer.isComplete_ && answer.status_ == 200 ? 1 : 0;
        }

        void checkRecovery()
        {
            if (calmAttempts_ < minCalmAttempts
                || static_cast<double>(calmSuccesses_) < minSuccessShare * static_cast<double>(calmAttempts_))
                history_.violations_.push_back(fmt::format(
                    "only {} of {} calm attempts succeeded after the faults", calmSuccesses_, calmAttempts_));
        }

        ProcessSoakReport finish()
        {
            for (const auto& target : targets_)
                readTargetLog(history_, target->logFile());
            checkRuns(history_);
            report_.violations_ = history_.violations_;
            report_.attempts_ = history_.attempts_.size();
            report_.calmAttempts_ = calmAttempts_;
            report_.calmSuccesses_ = calmSuccesses_;
            report_.goneOn_ = history_.goneOn_;
            report_.killedUnframed_ = history_.killedUnframed_;
            return report_;
        }

        ProcessSoakOptions options_;
        std::mt19937_64 faultRandom_;
        std::mt19937_64 callerRandom_;
        asio::io_context io_ { 1 };
        standin::PlatformStore store_;
        ProcessSoakHistory history_;
        ProcessSoakReport report_;
        std::vector<std::unique_ptr<ProcessSoakTarget>> targets_;
        std::vector<std::unique_ptr<SoakVm>> vms_;
        std::vector<Caller> callers_;
        std::deque<Fault> pendingFaults_;
        std::uint64_t version_ = 0;
        std::size_t contents_ = 0; ///< Streams and other requests, not counting further attempts.
        std::size_t ended_ = 0; ///< Attempts.
        std::size_t calmAttempts_ = 0; ///< After the faults, at VMs that run undisturbed.
        std::size_t calmSuccesses_ = 0;
        bool isMeasuring_ = false;
        bool isEnding_ = false;
    };

} // namespace

ProcessSoakReport runProcessSoak(const ProcessSoakOptions& options) { return Harness(options).run(); }

} // namespace fescue::test
