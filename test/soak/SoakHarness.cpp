#include "SoakHarness.h"

#include "SoakComponents.h"

#include "BootClock.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <fmt/format.h>
#include <random>

namespace fescue::test {

namespace {

    constexpr Milliseconds faultPhase { 6000 };
    constexpr Milliseconds recoveryPhase { 6000 };
    constexpr Milliseconds measurementPhase { 2000 };
    constexpr Milliseconds finalAnswersPhase { 6000 }; // Longer than any route's timeout.
    constexpr Milliseconds answerTimeMargin { 1000 }; // On top of a route's timeout, for a busy machine.
    // A request that is lost within this time and run by no target had not been read by the VM.
    constexpr Milliseconds unreadLossTime { 200 };
    constexpr Milliseconds targetDrain { 2000 };
    constexpr std::size_t targetCount = 4;
    constexpr std::size_t callerCount = 12;
    constexpr std::size_t conversationCallerCount = 6;
    constexpr double minSuccessShare = 0.75;
    constexpr std::int64_t maxPauseMs = 40; // Of a caller between two requests.

    class Harness {
    public:
        explicit Harness(const SoakOptions& options)
            : options_(options)
            , random_(options.seed_)
            , conversationRandom_(options.seed_)
            , releaseRandom_(options.seed_)
            , runsOtherRelease_(options.vms_, !options.otherRelease_.empty())
            , store_(io_)
        {
            for (std::size_t i = 0; i < targetCount; ++i)
                addTarget();
            publishConfig();
            for (std::size_t i = 0; i < options_.vms_; ++i)
                vms_.push_back(std::make_unique<SoakVm>(io_, store_.port(), fmt::format("vm-{}", i),
                    i % 3 == 0 ? "za" : "zb", options.folder_, [this, i] { return programOf(i); }));
            for (std::size_t i = 0; i < callerCount + options_.vms_ / 3; ++i)
                callers_.push_back({ std::make_unique<OutboundPool>(io_), {}, 0 });
            // They draw from a generator of their own, so the faults of a seed do not depend on them.
            for (std::size_t i = 0; options_.hasConversations_ && i < conversationCallerCount; ++i)
                callers_.push_back({ std::make_unique<OutboundPool>(io_), {}, 0, true });
        }

        SoakReport run()
        {
            for (auto& vm : vms_)
                vm->start();
            runFor(Milliseconds { 1500 });
            scheduleFaults();
            startCallers();
            runFor(faultPhase);
            heal();
            runFor(recoveryPhase);
            std::size_t requestsBefore = report_.requests_;
            std::size_t succeededBefore = report_.succeeded_;
            for (auto& vm : vms_)
                vm->checkReadiness();
            runFor(measurementPhase);
            for (auto& vm : vms_)
                addViolation(vm->silence());
            isEnding_ = true;
            runFor(finalAnswersPhase);
            checkRecovery(report_.requests_ - requestsBefore, report_.succeeded_ - succeededBefore);
            checkFinalState(history_);
            report_.violations_ = history_.violations_;
            return report_;
        }

    private:
        struct Caller {
            std::unique_ptr<OutboundPool> connections_;
            std::string program_;
            int turnsLeft_ = 0;
            bool hasConversations_ = false; ///< Sends only kept turns.
        };
        struct Fault {
            MonotonicTime at_;
            std::function<void()> act_;
        };

        std::size_t pick(std::size_t count)
        {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
        }
        std::string programOf(std::size_t vm)
        {
            bool isOther = runsOtherRelease_[vm];
            ++(isOther ? report_.startsOfOtherRelease_ : report_.startsOfThisRelease_);
            return isOther ? options_.otherRelease_ : "fescue-entry";
        }
        std::size_t pickForConversation(std::size_t count)
        {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(conversationRandom_);
        }
        Milliseconds randomTime(std::int64_t min, std::int64_t max)
        {
            return Milliseconds { std::uniform_int_distribution<std::int64_t>(min, max)(random_) };
        }

        void addTarget()
        {
            std::string id = fmt::format("i-{}", targets_.size());
            targets_.push_back(
                std::make_unique<SoakTarget>(io_, id, history_, options_.seed_ + targets_.size()));
            targets_.back()->isFaulty_ = !options_.hasOnlyPlannedOperations_;
            store_.put("keyed.servers", id, targets_.back()->entry("ready"));
        }

        void publishConfig() { store_.put("keyed.op", "config", makeSoakConfig(++version_, pick(2) == 0)); }

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
                for (auto& vm : vms_) {
                    addViolation(vm->tick(now));
                    history_.vmDisturbedAt_[vm->name()] = vm->disturbedAt();
                }
            }
        }

        void addViolation(const std::string& violation)
        {
            if (!violation.empty())
                history_.violations_.push_back(violation);
        }

        // Schedules overlapping faults. Each ends after a while, at the latest in `heal`.
        void scheduleFaults()
        {
            std::size_t count = (6 + pick(8)) * (1 + vms_.size() / 10);
            for (std::size_t i = 0; i < count; ++i) {
                MonotonicTime at = bootNow() + randomTime(0, faultPhase.count() - 1000);
                Milliseconds duration = randomTime(100, 2500);
                if (options_.hasOnlyPlannedOperations_)
                    scheduleOperation(at);
                else
                    pick(4) == 0 ? scheduleOperation(at) : scheduleFault(at, duration);
            }
            if (options_.losesAllVms_) {
                constexpr Milliseconds earliest { 2000 };
                constexpr std::size_t span = 3000;
                MonotonicTime at = bootNow() + earliest
                    + Milliseconds { static_cast<std::int64_t>(pickForConversation(span)) };
                schedule(at, "SIGKILL all VMs", [this] {
                    constexpr Milliseconds downtime { 500 };
                    for (auto& vm : vms_)
                        vm->kill(downtime);
                });
            }
            if (!options_.otherRelease_.empty())
                scheduleUpgrade();
            std::stable_sort(pendingFaults_.begin(), pendingFaults_.end(),
                [](const Fault& a, const Fault& b) { return a.at_ < b.at_; });
        }

        // Replaces the VMs one after the other by this release. Some are replaced by the other one again, and
        // some of these once more.
        void scheduleUpgrade()
        {
            constexpr std::int64_t rounds = 3;
            Milliseconds step = faultPhase / (rounds * static_cast<std::int64_t>(vms_.size()));
            MonotonicTime at = bootNow();
            auto draw = [this](int count) {
                return std::uniform_int_distribution<int>(0, count - 1)(releaseRandom_);
            };
            for (std::int64_t round = 0; round < rounds; ++round) {
                for (std::size_t i = 0; i < vms_.size(); ++i, at += step) {
                    bool isLeftOut = round > 0 && draw(2) == 0;
                    bool isKilled = draw(3) == 0 && !options_.hasOnlyPlannedOperations_;
                    if (!isLeftOut)
                        schedule(at,
                            fmt::format(
                                "{} and replace {}", isKilled ? "SIGKILL" : "SIGTERM", vms_[i]->name()),
                            [this, i, isKilled] { replaceRelease(i, isKilled); });
                }
            }
        }

        void replaceRelease(std::size_t vm, bool isKilled)
        {
            constexpr Milliseconds downtime { 200 };
            runsOtherRelease_[vm] = !runsOtherRelease_[vm];
            if (isKilled)
                vms_[vm]->kill(downtime);
            else
                vms_[vm]->stop();
        }

        void schedule(MonotonicTime at, const std::string& what, std::function<void()> act)
        {
            pendingFaults_.push_back({ at, [this, what, act = std::move(act)] {
                                          report_.injectedFaults_.push_back(what);
                                          act();
                                      } });
        }

        void scheduleOperation(MonotonicTime at)
        {
            SoakVm& vm = *vms_[pick(vms_.size())];
            switch (pick(4)) {
            case 0:
                return schedule(at, "SIGTERM " + vm.name(), [&vm] { vm.stop(); });
            case 1:
                return schedule(at, "SIGHUP " + vm.name(), [&vm] { vm.reload(); });
            case 2:
                return schedule(at, "new configuration", [this] { publishConfig(); });
            default:
                return schedule(at, "replace a target", [this] { replaceTarget(); });
            }
        }

        void replaceTarget()
        {
            addTarget();
            auto leaving = std::find_if(
                targets_.begin(), targets_.end(), [](const auto& target) { return !target->drainingSince_; });
            (*leaving)->drainingSince_ = bootNow();
            (*leaving)->saysItLeaves_ = true;
            // Otherwise only its answers say so, and its entry goes on saying that it is ready.
            bool tellsTheStore = options_.hasOnlyPlannedOperations_ || pick(2) == 0;
            store_.put(
                "keyed.servers", (*leaving)->id(), (*leaving)->entry(tellsTheStore ? "draining" : "ready"));
        }

        void scheduleFault(MonotonicTime at, Milliseconds duration)
        {
            SoakVm& vm = *vms_[pick(vms_.size())];
            SoakTarget& target = *targets_[pick(targetCount)];
            switch (pick(8)) {
            case 0:
                return schedule(at, "SIGKILL " + vm.name(), [&vm, duration] { vm.kill(duration); });
            case 1:
                return schedule(at, "pause " + vm.name(), [&vm, duration] { vm.pause(duration); });
            case 2:
                return scheduleProxyFault(at, duration, vm.storeProxy(), "store of " + vm.name());
            case 3:
                return scheduleProxyFault(at, duration, target.proxy(), "target " + target.id());
            case 4:
                schedule(at, "store down", [this] { store_.faults().isDown_ = true; });
                return schedule(at + duration, "store up", [this] { store_.faults().isDown_ = false; });
            case 5:
                schedule(at, "store does not answer", [this] { store_.faults().isSilent_ = true; });
                return schedule(
                    at + duration, "store answers", [this] { store_.faults().isSilent_ = false; });
            case 6:
                schedule(at, "store rate limit exceeded", [this] {
                    store_.faults().isDown_ = true;
                    store_.faults().downStatus_ = 429;
                });
                return schedule(at + duration, "store rate limit ok", [this] {
                    store_.faults().isDown_ = false;
                    store_.faults().downStatus_ = 503;
                });
            default:
                return schedule(at, "store drops answers", [this] { store_.faults().answersToDrop_ += 5; });
            }
        }

        void scheduleProxyFault(
            MonotonicTime at, Milliseconds duration, SoakProxy& proxy, const std::string& name)
        {
            switch (pick(5)) {
            case 0:
                schedule(at, "block traffic to " + name, [&proxy] { proxy.faults().blocksToServer_ = true; });
                break;
            case 1:
                schedule(
                    at, "block traffic from " + name, [&proxy] { proxy.faults().blocksToClient_ = true; });
                break;
            case 2:
                schedule(at, "block all traffic of " + name, [&proxy] {
                    proxy.faults() = { {}, true, true, true };
                });
                break;
            case 3:
                schedule(at, "delay traffic of " + name,
                    [&proxy] { proxy.faults().delay_ = Milliseconds { 150 }; });
                break;
            default:
                return schedule(at, "reset connections of " + name, [&proxy] { proxy.resetAll(); });
            }
            schedule(at + duration, "heal " + name, [&proxy] { proxy.faults() = {}; });
        }

        void heal()
        {
            pendingFaults_.clear();
            store_.faults() = {};
            for (auto& vm : vms_) {
                vm->storeProxy().faults() = {};
                vm->heal();
            }
            for (auto& target : targets_) {
                target->proxy().faults() = {};
                target->isFaulty_ = false;
            }
        }

        void startCallers()
        {
            for (std::size_t i = 0; i < callers_.size(); ++i)
                scheduleRequest(i, randomTime(0, 200));
        }

        void scheduleRequest(std::size_t caller, Milliseconds pause)
        {
            if (isEnding_)
                return;
            auto timer = std::make_shared<asio::steady_timer>(io_, pause);
            timer->async_wait([this, caller, timer](const asio::error_code&) {
                if (!isEnding_)
                    sendRequest(caller);
            });
        }

        // Sends the next request of a caller. A caller runs one program after another; each mixes turns and
        // calls.
        void sendRequest(std::size_t index)
        {
            Caller& caller = callers_[index];
            if (caller.hasConversations_)
                return sendKeptTurn(index);
            SoakRequest request;
            request.kind_ = pick(2) == 0 ? SoakRequestKind::Turn
                                         : (pick(2) == 0 ? SoakRequestKind::Call : SoakRequestKind::Read);
            if (caller.turnsLeft_ == 0) {
                caller.program_ = fmt::format("p{}-{}", index, report_.requests_);
                caller.turnsLeft_ = 2 + static_cast<int>(pick(8));
                // Some programs request more tokens than their budget.
                history_.programs_[caller.program_].budget_ = 400 + static_cast<std::int64_t>(pick(5)) * 600;
            }
            request.program_ = caller.program_;
            if (request.kind_ == SoakRequestKind::Turn)
                --caller.turnsLeft_;
            sendNew(index, request);
        }

        // Begins a conversation, or goes on from any turn whose response has ended, also one of another
        // program.
        void sendKeptTurn(std::size_t index)
        {
            Caller& caller = callers_[index];
            constexpr std::size_t turnsOfProgram = 5;
            if (caller.turnsLeft_ == 0) {
                caller.program_ = fmt::format("k{}-{}", index, report_.requests_);
                caller.turnsLeft_ = turnsOfProgram;
                history_.programs_[caller.program_].budget_ = turnsOfProgram * soakMaxTurnTokens;
            }
            --caller.turnsLeft_;
            SoakRequest request;
            request.kind_ = SoakRequestKind::KeptTurn;
            request.program_ = caller.program_;
            constexpr std::size_t newConversationInterval = 6;
            constexpr std::size_t recent = 8;
            if (!keptTurns_.empty() && pickForConversation(newConversationInterval) > 0) {
                std::size_t age = pickForConversation(
                    pickForConversation(2) == 0 ? keptTurns_.size() : std::min(recent, keptTurns_.size()));
                request.previous_ = keptTurns_[keptTurns_.size() - 1 - age];
            }
            sendNew(index, request);
        }

        void sendNew(std::size_t index, const SoakRequest& request)
        {
            std::string id = fmt::format("r{}-{}", options_.seed_, ++report_.requests_);
            history_.requests_[id] = request;
            exchange(index, id, request);
        }

        void exchange(std::size_t index, const std::string& id, const SoakRequest& request)
        {
            bool isKept = request.kind_ == SoakRequestKind::KeptTurn;
            SoakVm* vm = vms_[isKept ? pickForConversation(vms_.size()) : pick(vms_.size())].get();
            history_.requests_[id].vm_ = vm->name();
            history_.requests_[id].sentAt_ = bootNow();
            auto body = std::make_shared<std::string>();
            auto head = std::make_shared<HttpHead>();
            MonotonicTime sentAt = bootNow();
            OutboundCallbacks callbacks;
            callbacks.onHead_ = [this, id, head](const HttpHead& answer) {
                *head = answer;
                recordPassedOn(history_, id, bootNow());
            };
            callbacks.onBody_ = [body](std::string part) { *body += part; };
            callbacks.onEnd_ = [this, index, id, vm, head, body, sentAt](const OutboundResult& end) {
                handleResult(id, *vm, end, *head, *body, sentAt);
                bool isBrokenStream = !callers_[index].hasConversations_
                    && end.outcome_ != OutboundResult::Outcome::Answered
                    && body->find("\n\n") != std::string::npos;
                if (isBrokenStream && !isEnding_)
                    return resume(index, id);
                scheduleRequest(index,
                    callers_[index].hasConversations_
                        ? Milliseconds { static_cast<std::int64_t>(2 + pickForConversation(maxPauseMs)) }
                        : randomTime(2, maxPauseMs));
            };
            std::string headers = soakHeaders(id, request, history_.programs_[request.program_].budget_);
            callers_[index].connections_->send(
                makeSoakRequest(vm->callerPort(), request.kind_, id, headers), std::move(callbacks));
        }

        // Takes a stream up through any VM. Its first attempt stays the one that is named.
        void resume(std::size_t index, const std::string& broken)
        {
            SoakRequest request;
            request.kind_ = SoakRequestKind::Turn;
            request.program_ = history_.requests_[broken].program_;
            request.resumes_
                = history_.requests_[broken].resumes_.empty() ? broken : history_.requests_[broken].resumes_;
            sendNew(index, request);
        }

        void handleResult(const std::string& id, const SoakVm& vm, const OutboundResult& end,
            const HttpHead& head, const std::string& body, MonotonicTime sentAt)
        {
            Milliseconds elapsed = bootNow() - sentAt;
            bool wasUndisturbed = vm.disturbedAt() < sentAt;
            if (wasUndisturbed && elapsed > soakRouteTimeout + answerTimeMargin)
                history_.violations_.push_back(
                    fmt::format("{} was answered after {} ms", id, elapsed.count()));
            if (end.outcome_ == OutboundResult::Outcome::Answered) {
                if (head.status_ == 200 && history_.requests_[id].kind_ == SoakRequestKind::KeptTurn)
                    keptTurns_.push_back(id);
                report_.succeeded_ += head.status_ == 200 || head.status_ == 402 ? 1 : 0;
                return recordAnswer(
                    history_, id, head.status_, findHeader(head, "Fescuewinch-Response-Stamp"), body);
            }
            recordPartialAnswer(history_, id, body);
            bool wasReadByVm = end.outcome_ == OutboundResult::Outcome::Unknown
                && (history_.requests_[id].runCount_ > 0 || elapsed > unreadLossTime);
            if (options_.hasOnlyPlannedOperations_ && wasReadByVm)
                history_.violations_.push_back(
                    fmt::format("{} lost its answer at {} during planned operations", id, vm.name()));
        }

        void checkRecovery(std::size_t sent, std::size_t succeeded)
        {
            if (static_cast<double>(succeeded) < minSuccessShare * static_cast<double>(sent))
                history_.violations_.push_back(
                    fmt::format("only {} of {} requests succeeded after the faults", succeeded, sent));
            if (!options_.hasOnlyPlannedOperations_)
                return;
            for (const auto& target : targets_) {
                if (target->drainingSince_ && target->lastRun_ > *target->drainingSince_ + targetDrain)
                    history_.violations_.push_back(target->id() + " received work after its drain period");
            }
        }

        SoakOptions options_;
        std::mt19937_64 random_;
        std::mt19937_64 conversationRandom_;
        std::mt19937_64 releaseRandom_;
        std::vector<bool> runsOtherRelease_; ///< By VM.
        asio::io_context io_ { 1 };
        standin::PlatformStore store_;
        SoakHistory history_;
        SoakReport report_;
        std::vector<std::unique_ptr<SoakTarget>> targets_;
        std::vector<std::unique_ptr<SoakVm>> vms_;
        std::vector<Caller> callers_;
        std::deque<Fault> pendingFaults_;
        std::vector<std::string> keptTurns_; ///< Whose responses have ended, in this order.
        std::uint64_t version_ = 0;
        bool isEnding_ = false;
    };

} // namespace

SoakReport runSoak(const SoakOptions& options) { return Harness(options).run(); }

} // namespace fescue::test
