#include "ProgramLife.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr Milliseconds logRetryAfter { 2000 };

    Effects refuse(RequestId request, ProblemKind kind, RunState run, std::string detail)
    {
        return { ReplyProblem { { request }, { kind, run, std::move(detail), std::nullopt } } };
    }

    std::optional<Effects> takeFromParent(
        Shard& shard, const CreateProgram& create, const ShardContext& context)
    {
        ActiveProgram* parent = findActive(shard, create.parent_, context);
        if (!parent || parent->workspace_ != create.workspace_)
            return refuse(create.request_, ProblemKind::UnknownProgram, RunState::NotRun,
                "the parent program is not known here; name a program of your own that has not ended");
        if (parent->ended_)
            return refuse(
                create.request_, ProblemKind::ProgramEnded, RunState::NotRun, "the parent program has ended");
        if (parent->trancheLeft_ < create.budget_)
            return refuse(create.request_, ProblemKind::BudgetExceeded, RunState::NotRun,
                "the parent can spare "
                    + std::to_string(std::max<std::int64_t>(parent->trancheLeft_.value_, 0))
                    + " tokens at the moment; ask for less");
        parent->trancheLeft_ -= create.budget_;
        return std::nullopt;
    }

    // Only this epoch knows a program that the log has not confirmed, so while the log is down it may have
    // its whole budget: nobody else can spend it.
    TokenCount firstTranche(const Shard& shard, const CreateProgram& create, const ShardContext& context)
    {
        return shard.isLogDown_ ? create.budget_ : std::min(create.budget_, context.limits_.trancheSize_);
    }

    void releaseCreation(ActiveProgram& active, const ProgramId& program, Effects& effects)
    {
        for (RequestId request : active.awaitsCreation_)
            effects.push_back(ReplyProgram { request, program, active.isDurable_ });
        active.awaitsCreation_.clear();
    }

    bool isAtMostOnceUnderWay(const ActiveProgram& active)
    {
        return active.running_ && active.running_->call_.kind_ == CallKind::AtMostOnceService;
    }

    void stopRunning(ActiveProgram& active, const ProgramId& program, Effects& effects)
    {
        if (!active.running_)
            return;
        Problem problem { ProblemKind::ProgramEnded, RunState::Unknown,
            "the program was ended while the call ran", std::nullopt };
        effects.push_back(ReplyProblem { active.running_->requests_, problem });
        if (active.running_->phase_ == RunningCall::Phase::Executing)
            effects.push_back(CancelCall { program, active.running_->execution_ });
        active.running_.reset();
    }

    void markEnded(Shard& shard, ActiveProgram& active, const ProgramId& program, const std::string& reason)
    {
        active.ended_ = true;
        active.endReason_ = reason;
        TokenCount unspent
            = active.parent_.empty() || active.trancheLeft_.value_ < 0 ? TokenCount {} : active.trancheLeft_;
        record(shard, ProgramEnded { program, reason, unspent });
    }

    // A call that waits for a record gives up; if its intent may still reach the log, the call stays as
    // abandoned until the log tells, so that it can be withdrawn and is never sent.
    void giveUpWaiting(ActiveProgram& active, Effects& effects)
    {
        RunningCall& running = *active.running_;
        bool isOnce = running.call_.kind_ == CallKind::AtMostOnceService;
        Problem problem { ProblemKind::LogUnavailable, isOnce ? RunState::Unknown : RunState::NotRun,
            "the log service has not confirmed the record that this call needs; this attempt will not be "
            "sent, send the same call again later",
            logRetryAfter };
        effects.push_back(ReplyProblem { std::move(running.requests_), problem });
        running.requests_.clear();
        if (running.phase_ == RunningCall::Phase::AwaitsIntent)
            running.abandoned_ = true;
        else
            active.running_.reset();
    }

    bool hasWaitedTooLong(const ActiveProgram& active, const ShardContext& context)
    {
        return active.running_ && active.running_->phase_ != RunningCall::Phase::Executing
            && !active.running_->abandoned_
            && context.now_ - active.running_->since_ >= context.limits_.confirmationPatience_;
    }

} // namespace

Effects createProgram(Shard& shard, const CreateProgram& create, const ShardContext& context)
{
    if (!create.parent_.empty()) {
        if (auto refusal = takeFromParent(shard, create, context))
            return *refusal;
    }
    ActiveProgram active;
    active.workspace_ = create.workspace_;
    active.parent_ = create.parent_;
    active.budget_ = create.budget_;
    active.trancheLeft_ = firstTranche(shard, create, context);
    active.lastUse_ = context.now_;
    active.createdAt_ = context.now_;
    active.awaitsCreation_ = { create.request_ };
    record(shard,
        ProgramCreated {
            create.program_, create.workspace_, create.parent_, create.budget_, active.trancheLeft_ });
    shard.isUrgent_ = true;
    Effects effects;
    if (shard.isLogDown_)
        releaseCreation(active, create.program_, effects);
    shard.active_[create.program_] = std::move(active);
    return effects;
}

Effects endProgram(Shard& shard, const EndProgram& end, const ShardContext& context)
{
    ActiveProgram* active = findActive(shard, end.program_, context);
    if (!active || active->workspace_ != end.workspace_)
        return refuse(end.request_, ProblemKind::UnknownProgram, RunState::Unknown,
            "the program is not known here: it ended long ago, or never was");
    if (isAtMostOnceUnderWay(*active))
        return refuse(end.request_, ProblemKind::CallOutOfOrder, RunState::NotRun,
            "a call that may run only once is on its way; end the program after its answer");
    Effects effects { ReplyProgram { end.request_, end.program_, active->isDurable_ } };
    if (active->ended_)
        return effects;
    stopRunning(*active, end.program_, effects);
    markEnded(shard, *active, end.program_, end.reason_);
    return effects;
}

Effects shardTick(Shard& shard, const ShardContext& context)
{
    Effects effects;
    constexpr Milliseconds creationPatience { 1000 };
    for (auto& [program, active] : shard.active_) {
        if (hasWaitedTooLong(active, context))
            giveUpWaiting(active, effects);
        if (context.now_ - active.createdAt_ >= creationPatience)
            releaseCreation(active, program, effects);
        bool isIdle = !active.running_ && !active.ended_
            && context.now_ - active.lastUse_ >= context.limits_.programIdle_;
        if (isIdle)
            markEnded(shard, active, program, "abandoned");
    }
    return effects;
}

} // namespace fescue
