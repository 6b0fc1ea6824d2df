#include "SoakWorld.h"

#include "SoakParts.h"

#include "BootClock.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <fmt/format.h>
#include <random>

namespace fescue::test {

namespace {

    constexpr Milliseconds troubleFor { 6000 };
    constexpr Milliseconds recoverWithin { 6000 };
    constexpr Milliseconds measuredFor { 2000 };
    constexpr Milliseconds answersAfter { 6000 }; // Longer than any route's time.
    constexpr Milliseconds answerSlack { 1000 }; // Beyond a route's time, on a busy machine.
    constexpr Milliseconds lossSlack { 200 };
    constexpr Milliseconds targetDrain { 2000 };
    constexpr std::size_t vmCount = 3;
    constexpr std::size_t targetCount = 4;
    constexpr std::size_t callerCount = 12;
    constexpr double recoveredShare = 0.75;

    std::string attemptHeaders(const std::string& id, const SoakRequest& request, std::int64_t budget)
    {
        std::string headers = "Fescuewinch-Request-Id: " + id;
        if (request.kind_ == SoakKind::Turn)
            headers += fmt::format("\nFescuewinch-Program-Id: {}\nFescuewinch-Session-Id: {}\n"
                                   "Fescuewinch-Token-Budget: {}\nFescuewinch-Token-Count: 100,{}",
                request.program_, request.program_, budget, soakTurnMost);
        return headers;
    }

    class World {
    public:
        explicit World(const SoakOptions& options)
            : options_(options)
            , random_(options.seed_)
            , store_(io_)
        {
            for (std::size_t i = 0; i < targetCount; ++i)
                addTarget();
            publishConfig();
            for (std::size_t i = 0; i < vmCount; ++i)
                vms_.push_back(std::make_unique<SoakVm>(
                    io_, store_.port(), fmt::format("vm-{}", i), i == 0 ? "za" : "zb", options.folder_));
            for (std::size_t i = 0; i < callerCount; ++i)
                callers_.push_back({ std::make_unique<OutboundPool>(io_), {}, 0 });
        }

        SoakReport play()
        {
            for (auto& vm : vms_)
                vm->start();
            runFor(Milliseconds { 1500 });
            planFaults();
            startCallers();
            runFor(troubleFor);
            heal();
            runFor(recoverWithin);
            std::size_t before = report_.requests_;
            std::size_t servedBefore = report_.answered_;
            runFor(measuredFor);
            isEnding_ = true;
            runFor(answersAfter);
            judgeRecovery(report_.requests_ - before, report_.answered_ - servedBefore);
            soakSettle(ledger_);
            report_.broken_ = ledger_.broken_;
            return report_;
        }

    private:
        struct Caller {
            std::unique_ptr<OutboundPool> connections_;
            std::string program_;
            int turnsLeft_ = 0;
        };
        struct Fault {
            MonotonicTime at_;
            std::function<void()> act_;
        };

        std::size_t pick(std::size_t count)
        {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
        }
        Milliseconds between(std::int64_t least, std::int64_t most)
        {
            return Milliseconds { std::uniform_int_distribution<std::int64_t>(least, most)(random_) };
        }

        void addTarget()
        {
            std::string id = fmt::format("i-{}", targets_.size());
            targets_.push_back(
                std::make_unique<SoakTarget>(io_, id, ledger_, options_.seed_ + targets_.size()));
            targets_.back()->isFaulty_ = !options_.hasOnlyPlannedWork_;
            store_.put("keyed.servers", id, targets_.back()->entry("ready"));
        }

        void publishConfig() { store_.put("keyed.op", "config", soakConfig(++version_, pick(2) == 0)); }

        void runFor(Milliseconds time)
        {
            MonotonicTime end = bootNow() + time;
            while (bootNow() < end) {
                io_.run_for(std::chrono::milliseconds(2));
                io_.restart();
                MonotonicTime now = bootNow();
                store_.tick(now);
                for (auto& target : targets_)
                    target->tick(now);
                for (Caller& caller : callers_)
                    caller.connections_->tick(now);
                while (!faults_.empty() && faults_.front().at_ <= now) {
                    auto act = std::move(faults_.front().act_);
                    faults_.pop_front();
                    act();
                }
                for (auto& vm : vms_) {
                    SoakVm::Event event = vm->tick(now);
                    if (event == SoakVm::Event::StoppedLate)
                        ledger_.broken_.push_back(vm->name() + " did not stop within its grace");
                    if (event == SoakVm::Event::EndedByItself)
                        ledger_.broken_.push_back(vm->name() + " ended by itself");
                }
            }
        }

        // Faults come in series and overlap; each ends after a while, at the latest when all is healed.
        void planFaults()
        {
            std::size_t count = 6 + pick(8);
            for (std::size_t i = 0; i < count; ++i) {
                MonotonicTime at = bootNow() + between(0, troubleFor.count() - 1000);
                Milliseconds lasts = between(100, 2500);
                if (options_.hasOnlyPlannedWork_)
                    planWork(at);
                else
                    pick(4) == 0 ? planWork(at) : planTrouble(at, lasts);
            }
            std::stable_sort(
                faults_.begin(), faults_.end(), [](const Fault& a, const Fault& b) { return a.at_ < b.at_; });
        }

        void plan(MonotonicTime at, const std::string& what, std::function<void()> act)
        {
            faults_.push_back({ at, [this, what, act = std::move(act)] {
                                   report_.faults_.push_back(what);
                                   act();
                               } });
        }

        void planWork(MonotonicTime at)
        {
            SoakVm& vm = *vms_[pick(vms_.size())];
            switch (pick(4)) {
            case 0:
                return plan(at, "SIGTERM " + vm.name(), [&vm] { vm.stop(); });
            case 1:
                return plan(at, "SIGHUP " + vm.name(), [&vm] { vm.reload(); });
            case 2:
                return plan(at, "new configuration", [this] { publishConfig(); });
            default:
                return plan(at, "a target leaves, another one comes", [this] { replaceTarget(); });
            }
        }

        void replaceTarget()
        {
            addTarget();
            auto leaving = std::find_if(
                targets_.begin(), targets_.end(), [](const auto& target) { return !target->leavesAt_; });
            (*leaving)->leavesAt_ = bootNow();
            store_.put("keyed.servers", (*leaving)->id(), (*leaving)->entry("draining"));
        }

        void planTrouble(MonotonicTime at, Milliseconds lasts)
        {
            SoakVm& vm = *vms_[pick(vms_.size())];
            SoakTarget& target = *targets_[pick(targetCount)];
            switch (pick(8)) {
            case 0:
                return plan(at, "SIGKILL " + vm.name(), [&vm, lasts] { vm.kill(lasts); });
            case 1:
                return plan(at, "pause " + vm.name(), [&vm, lasts] { vm.pause(lasts); });
            case 2:
                return planProxy(at, lasts, vm.storeProxy(), "store of " + vm.name());
            case 3:
                return planProxy(at, lasts, target.proxy(), "target " + target.id());
            case 4:
                plan(at, "store down", [this] { store_.faults().isDown_ = true; });
                return plan(at + lasts, "store up", [this] { store_.faults().isDown_ = false; });
            case 5:
                plan(at, "store silent", [this] { store_.faults().isSilent_ = true; });
                return plan(at + lasts, "store answers", [this] { store_.faults().isSilent_ = false; });
            case 6:
                plan(at, "store over its rate", [this] {
                    store_.faults().isDown_ = true;
                    store_.faults().downStatus_ = 429;
                });
                return plan(at + lasts, "store within its rate", [this] {
                    store_.faults().isDown_ = false;
                    store_.faults().downStatus_ = 503;
                });
            default:
                return plan(at, "store loses answers", [this] { store_.faults().answersToDrop_ += 5; });
            }
        }

        void planProxy(MonotonicTime at, Milliseconds lasts, SoakProxy& proxy, const std::string& name)
        {
            switch (pick(5)) {
            case 0:
                plan(at, "cut to " + name, [&proxy] { proxy.trouble().cutsToServer_ = true; });
                break;
            case 1:
                plan(at, "cut from " + name, [&proxy] { proxy.trouble().cutsToClient_ = true; });
                break;
            case 2:
                plan(at, "silence " + name, [&proxy] { proxy.trouble() = { {}, true, true, true }; });
                break;
            case 3:
                plan(at, "delay " + name, [&proxy] { proxy.trouble().delay_ = Milliseconds { 150 }; });
                break;
            default:
                return plan(at, "reset " + name, [&proxy] { proxy.resetAll(); });
            }
            plan(at + lasts, "heal " + name, [&proxy] { proxy.trouble() = {}; });
        }

        void heal()
        {
            faults_.clear();
            store_.faults() = {};
            for (auto& vm : vms_) {
                vm->storeProxy().trouble() = {};
                vm->heal();
            }
            for (auto& target : targets_) {
                target->proxy().trouble() = {};
                target->isFaulty_ = false;
            }
        }

        void startCallers()
        {
            for (std::size_t i = 0; i < callers_.size(); ++i)
                next(i, between(0, 200));
        }

        void next(std::size_t caller, Milliseconds pause)
        {
            if (isEnding_)
                return;
            auto timer = std::make_shared<asio::steady_timer>(io_, pause);
            timer->async_wait([this, caller, timer](const asio::error_code&) {
                if (!isEnding_)
                    send(caller);
            });
        }

        // A caller plays one program after another: turns with calls between them.
        void send(std::size_t index)
        {
            Caller& caller = callers_[index];
            SoakRequest request;
            request.kind_ = pick(2) == 0 ? SoakKind::Turn : (pick(2) == 0 ? SoakKind::Call : SoakKind::Read);
            if (caller.turnsLeft_ == 0) {
                caller.program_ = fmt::format("p{}-{}", index, report_.requests_);
                caller.turnsLeft_ = 2 + static_cast<int>(pick(8));
                // Some programs ask for more than their budget holds.
                ledger_.programs_[caller.program_].budget_ = 400 + static_cast<std::int64_t>(pick(5)) * 600;
            }
            request.program_ = caller.program_;
            if (request.kind_ == SoakKind::Turn)
                --caller.turnsLeft_;
            std::string id = fmt::format("r{}-{}", options_.seed_, ++report_.requests_);
            ledger_.requests_[id] = request;
            exchange(index, id, request);
        }

        void exchange(std::size_t index, const std::string& id, const SoakRequest& request)
        {
            SoakVm* vm = vms_[pick(vms_.size())].get();
            auto body = std::make_shared<std::string>();
            auto head = std::make_shared<HttpHead>();
            MonotonicTime sentAt = bootNow();
            OutboundCallbacks callbacks;
            callbacks.onHead_ = [head](const HttpHead& answer) { *head = answer; };
            callbacks.onBody_ = [body](std::string part) { *body += part; };
            callbacks.onEnd_ = [this, index, id, vm, head, body, sentAt](const OutboundResult& end) {
                ended(id, *vm, end, *head, *body, sentAt);
                next(index, between(2, 40));
            };
            std::string headers = attemptHeaders(id, request, ledger_.programs_[request.program_].budget_);
            callers_[index].connections_->send(
                soakRequest(vm->callerPort(), request.kind_, headers), std::move(callbacks));
        }

        void ended(const std::string& id, const SoakVm& vm, const OutboundResult& end, const HttpHead& head,
            const std::string& body, MonotonicTime sentAt)
        {
            Milliseconds took = bootNow() - sentAt;
            bool wasCalm = vm.disturbedAt() < sentAt;
            if (wasCalm && took > soakRouteTime + answerSlack)
                ledger_.broken_.push_back(fmt::format("{} had its answer after {} ms", id, took.count()));
            if (end.outcome_ == OutboundResult::Outcome::Answered) {
                report_.answered_ += head.status_ == 200 || head.status_ == 402 ? 1 : 0;
                return soakAnswered(
                    ledger_, id, head.status_, findHeader(head, "Fescuewinch-Response-Stamp"), body);
            }
            soakBroke(ledger_, id, body);
            bool wasRead = end.outcome_ == OutboundResult::Outcome::Lost
                && (ledger_.requests_[id].runs_ > 0 || took > lossSlack);
            if (options_.hasOnlyPlannedWork_ && wasRead)
                ledger_.broken_.push_back(
                    fmt::format("{} lost its answer at {} in planned work", id, vm.name()));
        }

        void judgeRecovery(std::size_t asked, std::size_t served)
        {
            if (static_cast<double>(served) < recoveredShare * static_cast<double>(asked))
                ledger_.broken_.push_back(
                    fmt::format("after the faults {} of {} requests were served", served, asked));
            if (!options_.hasOnlyPlannedWork_)
                return;
            for (const auto& target : targets_) {
                if (target->leavesAt_ && target->lastRun_ > *target->leavesAt_ + targetDrain)
                    ledger_.broken_.push_back(target->id() + " got work after it had left");
            }
        }

        SoakOptions options_;
        std::mt19937_64 random_;
        asio::io_context io_ { 1 };
        standin::PlatformStore store_;
        SoakLedger ledger_;
        SoakReport report_;
        std::vector<std::unique_ptr<SoakTarget>> targets_;
        std::vector<std::unique_ptr<SoakVm>> vms_;
        std::vector<Caller> callers_;
        std::deque<Fault> faults_;
        std::uint64_t version_ = 0;
        bool isEnding_ = false;
    };

} // namespace

SoakReport playSoak(const SoakOptions& options) { return World(options).play(); }

} // namespace fescue::test
