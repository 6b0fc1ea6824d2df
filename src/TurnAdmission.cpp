#include "TurnAdmission.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"
#include "RefuseCall.h"

#include <fmt/format.h>

namespace fescue {

namespace {

    constexpr Milliseconds budgetRetryAfter { 300 };
    constexpr int paymentRequired = 402;
    constexpr int serviceUnavailable = 503;

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
    std::map<PendingId, PendingTurn> pendingTurns_;
    PendingId lastTurnId_ = 0;
    Counter budgetRefusals_ { "budget_refusals_total" };

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
        request.canStartProgram_ = shouldAdmitProgram(
            forwarder_.occupancy(call.service_.id_), call.route_.priority_, options_, random_);
        call.reply_->onDisconnect([this, id] { handleTurnDisconnect(id); });
        pendingTurns_.emplace(id, PendingTurn { std::move(call), std::nullopt });
        TurnId turnId = broker_.requestTurn(
            request, [this, id](const TurnGrant& grant) { handleTurnDecision(id, grant); });
        auto found = pendingTurns_.find(id);
        if (found != pendingTurns_.end())
            found->second.turnId_ = turnId;
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
        call.cachingTarget_ = grant.reply_.lastTarget_;
        call.onEnd_
            = [this, grant](TokenCount used, const TargetId& at) { broker_.endTurn(grant, used, at); };
        forwarder_.forward(std::move(call));
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
            fields.emplace_back("occupancy", fmt::format("{:.2f}", forwarder_.occupancy(call.service_.id_)));
            return rejectCall(call, serviceUnavailable,
                "the engines are near capacity and new programs are not admitted",
                jittered(options_.retryAfter_), fields);
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
            auto turn = std::move(pendingTurns_.at(id));
            pendingTurns_.erase(id);
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

void TurnAdmission::admit(ForwardedCall call) { impl_->admit(std::move(call)); }

void TurnAdmission::tick(MonotonicTime now) { impl_->expireTurns(now); }

std::size_t TurnAdmission::waitingCount() const { return impl_->pendingTurns_.size(); }

} // namespace fescue
