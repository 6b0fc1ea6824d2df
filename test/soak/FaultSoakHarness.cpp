#include "FaultSoakHarness.h"

#include "BootClock.h"
#include "FaultSoakVm.h"
#include "ProcessSoakTarget.h"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <fmt/format.h>
#include <fstream>
#include <random>

namespace fescue::test {

namespace {

    constexpr Milliseconds startPhase { 1500 };
    constexpr Milliseconds troublePhase { 8000 };
    constexpr Milliseconds recoveryPhase { 6000 };
    constexpr Milliseconds measurementPhase { 2000 };
    constexpr Milliseconds measurementStep { 1000 }; // In each, some request must be served.
    constexpr std::size_t callerCount = 36;
    constexpr std::array<const char*, 3> zones { "za", "zb", "zc" };
    constexpr std::size_t modelTargetsPerZone = 2;
    constexpr const char* crashPath = "/crash";

    constexpr const char* config = R"({{"version":{},"routes":[
{{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":{},"service":"llm",
 "max-attempts":1,"retained":false,"retention-s":60.0,"resumable":true,"priority":0}},
{{"name":"reads","host":"h.example","path-prefix":"/read/","type":"idempotent","timeout-ms":1200,"service":"app",
 "max-attempts":2}},
{{"name":"calls","host":"h.example","path-prefix":"/call/","type":"non_idempotent","timeout-ms":1500,"service":"app",
 "max-attempts":2}}],
"services":[{{"name":"llm","engine":{{"slots":12,"tokens-per-event":100}}}},{{"name":"app"}}],
"limits":{{"max-header-bytes":8192,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}})";

    class Harness {
    public:
        explicit Harness(const FaultSoakOptions& options)
            : options_(options)
            , random_(options.seed_)
            , callerRandom_(options.seed_)
            , releaseRandom_(options.seed_)
            , store_(io_)
        {
            publishConfig();
            for (std::size_t i = 0; i < zones.size() * modelTargetsPerZone; ++i)
                addTarget(zones[i / modelTargetsPerZone], "llm");
            for (const char* zone : zones)
                addTarget(zone, "app");
            for (std::size_t i = 0; i < options_.vms_; ++i)
                vms_.push_back(std::make_unique<FaultSoakVm>(io_, store_, fmt::format("vm-{}", i),
                    zones[i % zones.size()], options_.folder_, [this] { return chooseProgram(); }));
            for (std::size_t i = 0; i < callerCount; ++i)
                callers_.push_back(std::make_unique<OutboundPool>(io_));
        }

        FaultSoakReport run()
        {
            for (auto& target : targets_)
                target->start();
            for (auto& vm : vms_)
                vm->start();
            runFor(startPhase);
            scheduleTroubles();
            for (std::size_t i = 0; i < callers_.size(); ++i)
                scheduleRequest(i);
            runFor(troublePhase);
            heal();
            runFor(recoveryPhase);
            for (auto& vm : vms_)
                vm->checkReadiness();
            measure();
            for (auto& vm : vms_)
                addViolation(vm->silence());
            isEnding_ = true;
            return finish();
        }

    private:
        struct Trouble {
            MonotonicTime at_;
            std::function<void()> act_;
        };

        std::int64_t draw(std::int64_t min, std::int64_t max)
        {
            return std::uniform_int_distribution<std::int64_t>(min, max)(random_);
        }
        std::size_t pick(std::size_t count)
        {
            return static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(count) - 1));
        }
        // Callers draw from a generator of their own, so the troubles of a seed do not depend on them.
        std::size_t pickForCaller(std::size_t count)
        {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(callerRandom_);
        }
        std::string chooseProgram()
        {
            bool isOther = !options_.otherRelease_.empty()
                && std::uniform_int_distribution<int>(0, 1)(releaseRandom_) == 1;
            return isOther ? options_.otherRelease_ : options_.program_;
        }

        void addTarget(const std::string& zone, const std::string& service)
        {
            ProcessSoakTarget::Place place;
            place.name_ = fmt::format("{}-{}", service, targets_.size());
            place.service_ = service;
            place.zone_ = zone;
            place.version_ = targets_.size() % 2 == 0 ? "v1" : "v2";
            place.folder_ = options_.folder_;
            place.flags_ = { fmt::format("--crash_path={}", crashPath) };
            targets_.push_back(std::make_unique<ProcessSoakTarget>(
                io_, store_, place, options_.seed_ * callerCount + targets_.size()));
        }

        void publishConfig()
        {
            constexpr int timeoutMs = 3000;
            constexpr int otherTimeoutMs = 2500;
            ++version_;
            store_.put("keyed.op", "config",
                fmt::format(fmt::runtime(config), version_, version_ % 2 == 0 ? timeoutMs : otherTimeoutMs));
        }

        void runFor(Milliseconds time)
        {
            MonotonicTime end = bootNow() + time;
            while (bootNow() < end) {
                io_.run_for(std::chrono::milliseconds(2));
                io_.restart();
                MonotonicTime now = bootNow();
                store_.tick(now);
                for (auto& caller : callers_)
                    caller->tick(now);
                while (!pending_.empty() && pending_.front().at_ <= now) {
                    auto act = std::move(pending_.front().act_);
                    pending_.pop_front();
                    act();
                }
                for (auto& target : targets_)
                    target->tick(now, store_.faults().isDown_);
                for (auto& vm : vms_) {
                    for (const std::string& violation : vm->tick(now))
                        addViolation(violation);
                }
            }
        }

        void addViolation(const std::string& violation)
        {
            if (!violation.empty())
                report_.violations_.push_back(violation);
        }

        void schedule(Milliseconds at, const std::string& what, std::function<void()> act)
        {
            pending_.push_back({ bootNow() + at, [this, at, what, act = std::move(act)] {
                                    report_.troubles_.push_back(fmt::format("{} ms: {}", at.count(), what));
                                    act();
                                } });
        }

        // The VM that last wrote with a sequence number; any VM before the first such append.
        FaultSoakVm& lastWriter()
        {
            auto found = std::find_if(vms_.begin(), vms_.end(),
                [this](const auto& vm) { return vm->storePort() == store_.lastWriterPort(); });
            return found == vms_.end() ? *vms_.front() : **found;
        }

        void scheduleTroubles()
        {
            constexpr std::array kinds { &Harness::scheduleCrashes, &Harness::scheduleWriterCut,
                &Harness::scheduleWriterLoss, &Harness::scheduleLossOfAll, &Harness::scheduleCompaction,
                &Harness::scheduleResets, &Harness::scheduleReloads, &Harness::scheduleStops,
                &Harness::scheduleStoreTrouble, &Harness::scheduleTargetKills, &Harness::scheduleVmTrouble,
                &Harness::scheduleQuickStarts, &Harness::scheduleWriterPause, &Harness::scheduleSlowStore };
            constexpr std::int64_t latest = 7000; // Of the trouble phase.
            // Each seed has each kind once, and some of them again.
            for (auto kind : kinds)
                (this->*kind)(Milliseconds { draw(0, latest) });
            std::size_t further = 4 + pick(10);
            for (std::size_t i = 0; i < further; ++i)
                (this->*kinds[pick(kinds.size())])(Milliseconds { draw(0, latest) });
            std::stable_sort(pending_.begin(), pending_.end(),
                [](const Trouble& a, const Trouble& b) { return a.at_ < b.at_; });
        }

        void scheduleCrashes(Milliseconds at)
        {
            std::size_t content = pick(1000);
            std::size_t times = 10 + pick(20);
            const char* prefix = pick(3) == 0 ? "/read" : "/turn";
            constexpr std::int64_t gapMs = 150;
            for (std::size_t i = 0; i < times; ++i)
                schedule(at + Milliseconds { gapMs * static_cast<std::int64_t>(i) },
                    fmt::format("content {} that crashes", content), [this, content, prefix] {
                        send(fmt::format("{}{}/{}", prefix, crashPath, content), [] {});
                    });
        }

        void cut(FaultSoakVm& vm, Milliseconds at, Milliseconds duration)
        {
            vm.storeProxy().faults() = { {}, true, true, true };
            report_.troubles_.push_back(fmt::format("{} ms: cut {}", at.count(), vm.name()));
            runAfter(duration, [&vm] { vm.storeProxy().faults() = {}; });
        }

        void scheduleWriterCut(Milliseconds at)
        {
            Milliseconds duration { draw(500, 4000) };
            schedule(at, "cut of the last writer", [this, at, duration] { cut(lastWriter(), at, duration); });
        }

        void scheduleWriterLoss(Milliseconds at)
        {
            Milliseconds duration { draw(100, 3000) };
            std::size_t times = 1 + pick(4);
            constexpr std::int64_t gapMs = 400;
            for (std::size_t i = 0; i < times; ++i)
                schedule(at + Milliseconds { gapMs * static_cast<std::int64_t>(i) },
                    "loss of the last writer", [this, duration] { lastWriter().kill(duration); });
        }

        void scheduleLossOfAll(Milliseconds at)
        {
            Milliseconds duration { draw(0, 800) };
            schedule(at, "SIGKILL all VMs", [this, duration] {
                for (auto& vm : vms_)
                    vm->kill(duration);
            });
        }

        void scheduleCompaction(Milliseconds at)
        {
            schedule(at, "compaction", [this] { store_.compactAll(); });
        }

        void scheduleResets(Milliseconds at)
        {
            std::size_t first = pick(zones.size());
            std::int64_t duration = draw(500, 4000);
            constexpr std::int64_t gapMs = 80;
            for (std::int64_t passed = 0; passed < duration; passed += gapMs)
                schedule(at + Milliseconds { passed },
                    fmt::format("resets of each third VM's connections to the store, from vm-{}", first),
                    [this, first] {
                        for (std::size_t i = first; i < vms_.size(); i += zones.size())
                            vms_[i]->storeProxy().resetAll();
                    });
        }

        void scheduleReloads(Milliseconds at)
        {
            constexpr std::size_t forms = 4;
            constexpr std::int64_t gapMs = 100;
            std::size_t count = 1 + pick(vms_.size());
            for (std::size_t i = 0; i < count; ++i) {
                FaultSoakVm& vm = *vms_[pick(vms_.size())];
                Milliseconds when = at + Milliseconds { gapMs * static_cast<std::int64_t>(i) };
                std::size_t form = pick(forms);
                bool isCut = pick(4) == 0;
                schedule(when, fmt::format("SIGHUP {}{}", vm.name(), isCut ? ", its settings cut" : ""),
                    [&vm, form, isCut] { vm.reload(form, isCut); });
                if (isCut)
                    schedule(when + Milliseconds { gapMs * 3 }, "whole settings of " + vm.name(),
                        [&vm, form] { vm.reload(form, false); });
            }
        }

        void scheduleStops(Milliseconds at)
        {
            std::size_t count = 1 + pick(vms_.size());
            std::size_t first = pick(vms_.size());
            Milliseconds gap { draw(0, 300) };
            for (std::size_t i = 0; i < count; ++i) {
                FaultSoakVm& vm = *vms_[(first + i) % vms_.size()];
                bool startsAtOnce = pick(3) != 0;
                schedule(at + gap * static_cast<std::int64_t>(i),
                    fmt::format("SIGTERM {}{}", vm.name(), startsAtOnce ? " beside its successor" : ""),
                    [&vm, startsAtOnce] { vm.stop(startsAtOnce); });
            }
        }

        void scheduleStoreTrouble(Milliseconds at)
        {
            Milliseconds duration { draw(200, 3000) };
            auto set = [&](const char* what, auto member, auto value, auto normal) {
                schedule(at, what, [this, member, value] { store_.faults().*member = value; });
                schedule(at + duration, fmt::format("end of: {}", what),
                    [this, member, normal] { store_.faults().*member = normal; });
            };
            using standin::StoreFaults;
            switch (pick(4)) {
            case 0:
                return set("store down", &StoreFaults::isDown_, true, false);
            case 1:
                return set("store does not answer", &StoreFaults::isSilent_, true, false);
            case 2:
                return schedule(at, "store drops answers", [this] { store_.faults().answersToDrop_ += 5; });
            default:
                return schedule(at, "new configuration", [this] { publishConfig(); });
            }
        }

        void scheduleTargetKills(Milliseconds at)
        {
            std::size_t count = 1 + pick(targets_.size());
            Milliseconds downFor { draw(0, 1500) };
            for (std::size_t i = 0; i < count; ++i) {
                ProcessSoakTarget& target = *targets_[(i * 2) % targets_.size()];
                schedule(
                    at, "SIGKILL " + target.name(), [&target, downFor] { target.end(SIGKILL, downFor); });
            }
        }

        void scheduleVmTrouble(Milliseconds at)
        {
            FaultSoakVm& vm = *vms_[pick(vms_.size())];
            Milliseconds duration { draw(50, 2500) };
            if (pick(2) == 0)
                return schedule(at, "SIGSTOP " + vm.name(), [&vm, duration] { vm.pause(duration); });
            schedule(at, "SIGKILL " + vm.name(), [&vm, duration] { vm.kill(duration); });
        }

        // One VM is stopped beside its successor several times, so that several processes drain or wait at
        // its addresses, and is told to reload in between.
        void scheduleQuickStarts(Milliseconds at)
        {
            FaultSoakVm& vm = *vms_[pick(vms_.size())];
            std::size_t times = 2 + pick(4);
            for (std::size_t i = 0; i < times; ++i) {
                at += Milliseconds { draw(0, 250) };
                schedule(
                    at, "SIGTERM beside its successor, once more, " + vm.name(), [&vm] { vm.stop(true); });
                if (pick(2) == 0)
                    schedule(at + Milliseconds { draw(0, 100) }, "SIGHUP of the successor of " + vm.name(),
                        [&vm, i] { vm.reload(i, false); });
            }
        }

        void scheduleWriterPause(Milliseconds at)
        {
            Milliseconds duration { draw(200, 4000) };
            schedule(at, "SIGSTOP of the last writer", [this, duration] { lastWriter().pause(duration); });
        }

        void scheduleSlowStore(Milliseconds at)
        {
            Milliseconds duration { draw(500, 4000) };
            Milliseconds delay { draw(20, 400) };
            schedule(at, fmt::format("store slower by {} ms", delay.count()), [this, delay] {
                for (auto& vm : vms_)
                    vm->storeProxy().faults().delay_ = delay;
            });
            schedule(at + duration, "store as fast as before", [this] {
                for (auto& vm : vms_)
                    vm->storeProxy().faults().delay_ = Milliseconds { 0 };
            });
        }

        void heal()
        {
            pending_.clear();
            store_.faults() = {};
            for (auto& vm : vms_)
                vm->heal();
            for (auto& target : targets_)
                target->heal();
        }

        void measure()
        {
            for (Milliseconds passed { 0 }; passed < measurementPhase; passed += measurementStep) {
                std::size_t before = report_.succeeded_;
                runFor(measurementStep);
                report_.servedAfterwards_ += report_.succeeded_ - before;
                if (report_.succeeded_ == before)
                    addViolation(fmt::format("no request was served from {} to {} ms after the recovery",
                        passed.count(), (passed + measurementStep).count()));
            }
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
            constexpr std::size_t minPauseMs = 20;
            constexpr std::size_t spanMs = 180;
            runAfter(Milliseconds { static_cast<std::int64_t>(minPauseMs + pickForCaller(spanMs)) },
                [this, caller] {
                    constexpr std::array prefixes { "/turn", "/turn", "/read", "/call" };
                    const char* prefix = prefixes[pickForCaller(prefixes.size())];
                    send(
                        fmt::format("{}/chunks/s{}", prefix, report_.attempts_),
                        [this, caller] { scheduleRequest(caller); }, caller);
                });
        }

        void send(const std::string& path, std::function<void()> onEnd, std::size_t caller = 0)
        {
            constexpr std::size_t requestsOfProgram = 6;
            constexpr std::size_t promptBytes = 4000;
            std::string id = fmt::format("r{}-{}", options_.seed_, ++report_.attempts_);
            bool isRead = path.rfind("/read", 0) == 0;
            const FaultSoakVm& vm = *vms_[pickForCaller(vms_.size())];
            OutboundRequest request;
            request.peer_ = { asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(vm.callerPort()) };
            request.head_.method_ = isRead ? "GET" : "POST";
            request.head_.target_ = path;
            std::string program
                = fmt::format("p{}-{}", caller, report_.attempts_ / (requestsOfProgram * callerCount));
            request.head_.headers_ = { { "Host", "h.example" }, { "Fescuewinch-Request-Id", id },
                { "Fescuewinch-Program-Id", program }, { "Fescuewinch-Session-Id", program } };
            if (path.rfind("/turn", 0) == 0) {
                request.head_.headers_.push_back({ "Fescuewinch-Token-Budget", "9000" });
                request.head_.headers_.push_back({ "Fescuewinch-Token-Count", "100,900" });
            }
            if (!isRead) {
                request.body_ = "prompt of " + path;
                request.body_.resize(promptBytes, 'x');
            }
            constexpr Milliseconds connectTimeout { 1000 };
            request.connectTimeout_ = connectTimeout;
            auto status = std::make_shared<int>(0);
            OutboundCallbacks callbacks;
            callbacks.onHead_ = [status](const HttpHead& head) { *status = head.status_; };
            callbacks.onBody_ = [](const std::string&) {};
            callbacks.onEnd_ = [this, status, onEnd = std::move(onEnd)](const OutboundResult& end) {
                constexpr int ok = 200;
                bool isServed = end.outcome_ == OutboundResult::Outcome::Answered && *status == ok;
                report_.succeeded_ += isServed ? 1 : 0;
                onEnd();
            };
            callers_[caller]->send(std::move(request), std::move(callbacks));
        }

        FaultSoakReport finish()
        {
            for (const auto& vm : vms_) {
                report_.starts_ += vm->starts();
                report_.mostCores_ = std::max(report_.mostCores_, vm->mostCores());
                report_.mostBytes_ = std::max(report_.mostBytes_, vm->mostBytes());
            }
            for (const auto& target : targets_) {
                std::ifstream log(target->logFile());
                for (std::string line; std::getline(log, line);)
                    report_.crashes_
                        += line.rfind("run ", 0) == 0 && line.find(crashPath) != std::string::npos;
            }
            return report_;
        }

        FaultSoakOptions options_;
        std::mt19937_64 random_;
        std::mt19937_64 callerRandom_;
        std::mt19937_64 releaseRandom_;
        asio::io_context io_ { 1 };
        standin::PlatformStore store_;
        FaultSoakReport report_;
        std::vector<std::unique_ptr<ProcessSoakTarget>> targets_;
        std::vector<std::unique_ptr<FaultSoakVm>> vms_;
        std::vector<std::unique_ptr<OutboundPool>> callers_;
        std::deque<Trouble> pending_;
        std::uint64_t version_ = 0;
        bool isEnding_ = false;
    };

} // namespace

FaultSoakReport runFaultSoak(const FaultSoakOptions& options) { return Harness(options).run(); }

} // namespace fescue::test
