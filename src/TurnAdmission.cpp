#include "TurnAdmission.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"
#include "ProgramNeeds.h"
#include "RefuseCall.h"

#include <algorithm>
#include <array>
#include <deque>
#include <fmt/format.h>

namespace fescue {

namespace {

    constexpr Milliseconds budgetRetryAfter { 300 };
    constexpr int paymentRequired = 402;
    constexpr int serviceUnavailable = 503;

    Counter refusalCounter(ProgramRefusal refusal)
    {
        return Counter("program_refusals_total", { "cause", nameOf(refusal) });
    }

    std::string describe(CallRank rank) { return fmt::format("{}/{}", rank.workspace_, rank.route_); }

    // Counters are never removed, so the less urgent ranks share one.
    Counter& counterOf(std::map<CallRank, Counter>& counters, const char* name, CallRank rank)
    {
        constexpr std::uint32_t lastCounted = 9;
        rank = { std::min(rank.workspace_, lastCounted), std::min(rank.route_, lastCounted) };
        return counters.try_emplace(rank, name, MetricLabel { "rank", describe(rank) }).first->second;
    }

} // namespace

struct TurnAdmission::Impl {
    // A turn that waits for a budget decision.
    struct PendingTurn {
        ForwardedCall call_;
        std::optional<TurnId> turnId_; ///< Its id at the broker; not set while `requestTurn` runs.
    };
    using PendingId = std::uint64_t;

    TurnBroker& broker_;
    CallForwarder& forwarder_;
    const StoreHealth& health_;
    Random& random_;
    AdmissionOptions options_;
    std::map<ServiceId, ProgramDemand> demand_; ///< By the service of the programs' turns.
    ProgramNeeds needs_;
    double meanProgramMs_ = 0; ///< By what callers allow for whole programs; 0 if unknown.
    std::map<PendingId, PendingTurn> pendingTurns_;
    PendingId lastTurnId_ = 0;
    std::deque<ForwardedCall> granted_; ///< To be forwarded.
    bool isForwarding_ = false;
    Counter budgetRefusals_ { "budget_refusals_total" };
    std::map<CallRank, Counter> admitted_;
    std::map<CallRank, Counter> refused_;
    std::array<Counter, 3> refusals_ { refusalCounter(ProgramRefusal::Engines),
        refusalCounter(ProgramRefusal::Tools), refusalCounter(ProgramRefusal::WorkspaceShare) };

    Impl(TurnBroker& broker, CallForwarder& forwarder, const StoreHealth& health, Random& random)
        : broker_(broker)
        , forwarder_(forwarder)
        , health_(health)
        , random_(random)
    {
    }

    void admit(ForwardedCall call)
    {
        PendingId id = ++lastTurnId_;
        TurnRequest request { call.tags_.program_, *call.tags_.programBudget_, call.tags_.maxTokens_,
            call.route_.programRetention_ };
        request.timeLeft_ = call.deadline_ - bootNow();
        recordTurn(needs_, request.program_, call.route_.name_, bootNow());
        request.canStartProgram_
            = shouldAdmitProgram(occupancyFor(call), applicantOf(call), demandOf(call), options_, random_);
        call.reply_->onDisconnect([this, id] { handleTurnDisconnect(id); });
        pendingTurns_.emplace(id, PendingTurn { std::move(call), std::nullopt });
        TurnId turnId = broker_.requestTurn(
            request, [this, id](const TurnGrant& grant) { handleTurnDecision(id, grant); });
        auto found = pendingTurns_.find(id);
        if (found != pendingTurns_.end())
            found->second.turnId_ = turnId;
    }

    ProgramDemand& demandOf(const ForwardedCall& call) { return demand_[call.service_.id_]; }

    static ProgramApplicant applicantOf(const ForwardedCall& call)
    {
        return { call.rank_, call.workspace_, call.workspaceWeight_ };
    }

    ProgramOccupancy occupancyFor(const ForwardedCall& call) const
    {
        ProgramOccupancy occupancy { forwarder_.occupancy(call.service_.id_) };
        for (const ServiceId& tool : toolsOf(needs_, call.route_.name_, bootNow()))
            occupancy.tools_ = std::max(occupancy.tools_, forwarder_.toolOccupancy(tool));
        return occupancy;
    }

    // Records a program that asks to begin, once its home has told that it has not begun yet.
    void recordStart(const ForwardedCall& call)
    {
        constexpr double meanWeight = 0.05;
        constexpr Milliseconds maxDuration { 60000 }; // A caller may state any.
        recordProgram(
            demandOf(call), call.rank_, call.workspace_, call.workspaceWeight_, bootNow(), options_.demand_);
        if (!call.tags_.programDeadline_)
            return;
        auto allowedMs = static_cast<double>(std::min(*call.tags_.programDeadline_, maxDuration).count());
        meanProgramMs_ += (meanProgramMs_ == 0 ? 1 : meanWeight) * (allowedMs - meanProgramMs_);
    }

    void handleTurnDisconnect(PendingId id)
    {
        auto found = pendingTurns_.find(id);
        if (found == pendingTurns_.end())
            return;
        const ForwardedCall& call = found->second.call_;
        logCallerGone(call, "the caller disconnected while the turn waited for its program's budget",
            { { "waited_for", found->second.turnId_ ? broker_.describe(*found->second.turnId_) : "" },
                { "waited_ms", std::to_string((bootNow() - call.request_.arrived_).count()) } });
        if (found->second.turnId_)
            broker_.abandonTurn(*found->second.turnId_);
        pendingTurns_.erase(found);
    }

    void handleTurnDecision(PendingId id, const TurnGrant& grant)
    {
        auto found = pendingTurns_.find(id);
        if (found == pendingTurns_.end()) {
            if (grant.reply_.decision_ == TurnDecision::Granted)
                broker_.endTurn(grant, {}, {});
            return;
        }
        ForwardedCall call = std::move(found->second.call_);
        pendingTurns_.erase(found);
        if (grant.reply_.decision_ != TurnDecision::Granted) {
            budgetRefusals_.add();
            return rejectTurn(call, grant);
        }
        call.startsProgram_ = grant.reply_.spent_.value_ == 0 && grant.reply_.lastTarget_.empty();
        if (call.startsProgram_) {
            recordStart(call);
            counterOf(admitted_, "programs_admitted_total", call.rank_).add();
        }
        call.cachingTarget_ = grant.reply_.lastTarget_;
        call.onEnd_
            = [this, grant](TokenCount used, const TargetId& at) { broker_.endTurn(grant, used, at); };
        forward(std::move(call));
    }

    // The end of a call that is refused at once may grant the next turn of its program, and so on. They are
    // forwarded one after another, since so many nested calls would exceed the stack.
    void forward(ForwardedCall call)
    {
        granted_.push_back(std::move(call));
        if (std::exchange(isForwarding_, true))
            return;
        while (!granted_.empty()) {
            ForwardedCall next = std::move(granted_.front());
            granted_.pop_front();
            forwarder_.forward(std::move(next));
        }
        isForwarding_ = false;
    }

    void rejectProgram(ForwardedCall& call, LogFields fields)
    {
        ProgramOccupancy occupancy = occupancyFor(call);
        ProgramRefusal cause = causeOfRefusal(occupancy, applicantOf(call), demandOf(call), options_);
        recordStart(call);
        counterOf(refused_, "programs_refused_total", call.rank_).add();
        refusals_.at(static_cast<std::size_t>(cause)).add();
        fields.emplace_back("occupancy", fmt::format("{:.2f}", occupancy.engines_));
        fields.emplace_back("tool_occupancy", fmt::format("{:.2f}", occupancy.tools_));
        fields.emplace_back("rank", describe(call.rank_));
        fields.emplace_back("cause", nameOf(cause));
        // A caller that would have to wait for longer does not come back.
        constexpr int partOfTimeLeft = 3;
        Milliseconds retryAfter = std::min((call.deadline_ - bootNow()) / partOfTimeLeft,
            retryAfterRefusal(
                occupancy, Milliseconds { static_cast<std::int64_t>(meanProgramMs_) }, options_));
        rejectCall(call, serviceUnavailable,
            "the targets are near capacity and new programs are not admitted", jittered(retryAfter), fields);
    }

    void rejectTurn(ForwardedCall& call, const TurnGrant& grant)
    {
        const TurnReply& reply = grant.reply_;
        LogFields fields { { "turn_most", std::to_string(grant.maxTokens_.value_) },
            { "budget", std::to_string(call.tags_.programBudget_->value_) },
            { "home", grant.granter_.value_ }, { "spent", std::to_string(reply.spent_.value_) },
            { "claimed", std::to_string(reply.claimed_.value_) },
            { "others_claimed", std::to_string(reply.othersClaimed_.value_) } };
        if (reply.decision_ == TurnDecision::NotAdmitted) {
            return rejectProgram(call, std::move(fields));
        }
        if (reply.decision_ == TurnDecision::BudgetSpent)
            return rejectCall(
                call, paymentRequired, "the program's token budget is exhausted", std::nullopt, fields);
        if (reply.decision_ == TurnDecision::HeldElsewhere)
            return rejectCall(call, serviceUnavailable,
                "other VMs hold the rest of the program's token budget", jittered(budgetRetryAfter), fields);
        if (reply.decision_ == TurnDecision::InUse)
            return rejectCall(call, serviceUnavailable,
                "other turns of the program have reserved the rest of its token budget",
                jittered(budgetRetryAfter), fields);
        rejectCall(call, serviceUnavailable,
            "the platform's store, which holds the token budgets, is unreachable",
            jittered(outageRetryAfter(health_, bootNow())), fields);
    }

    Milliseconds jittered(Milliseconds middle)
    {
        middle = std::max(middle, Milliseconds { 0 }); // The deadline may have just passed.
        std::uniform_int_distribution<std::int64_t> spread(middle.count() / 2, middle.count() * 3 / 2);
        return Milliseconds { spread(random_) };
    }

    void expireTurns(MonotonicTime now)
    {
        std::vector<PendingId> expired;
        for (const auto& [id, turn] : pendingTurns_) {
            if (now >= turn.call_.deadline_)
                expired.push_back(id);
        }
        for (PendingId id : expired) {
            // The refusal of one lets its connection's next request in, which may decide others.
            auto found = pendingTurns_.find(id);
            if (found == pendingTurns_.end())
                continue;
            PendingTurn turn = std::move(found->second);
            pendingTurns_.erase(found);
            if (turn.turnId_)
                broker_.abandonTurn(*turn.turnId_);
            rejectCall(turn.call_, serviceUnavailable, "timed out waiting for the program's token budget",
                jittered(budgetRetryAfter));
        }
    }
};

TurnAdmission::TurnAdmission(
    TurnBroker& broker, CallForwarder& forwarder, const StoreHealth& health, Random& random)
    : impl_(std::make_unique<Impl>(broker, forwarder, health, random))
{
}

TurnAdmission::~TurnAdmission() = default;

void TurnAdmission::recordToolCall(const ForwardedCall& call)
{
    if (!call.tags_.program_.empty())
        fescue::recordToolCall(impl_->needs_, call.tags_.program_, call.service_.id_, bootNow());
}

void TurnAdmission::admit(ForwardedCall call) { impl_->admit(std::move(call)); }

void TurnAdmission::tick(MonotonicTime now) { impl_->expireTurns(now); }

std::size_t TurnAdmission::waitingCount() const { return impl_->pendingTurns_.size(); }

} // namespace fescue
