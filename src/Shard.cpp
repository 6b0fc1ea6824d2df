#include "Shard.h"

namespace fescue {

namespace {

    ActiveProgram activeFrom(const Program& program, const ShardContext& context)
    {
        ActiveProgram active;
        active.workspace_ = program.workspace_;
        active.parent_ = program.parent_;
        active.budget_ = program.budget_;
        active.contextTokens_ = program.contextTokens_;
        active.lastCall_ = program.lastCall_;
        active.durableCall_ = program.lastCall_;
        active.head_ = program.head_;
        active.recent_ = program.recent_;
        active.lastUse_ = context.now_;
        active.createdAt_ = context.now_;
        active.isDurable_ = true;
        active.ended_ = program.ended_;
        active.endReason_ = program.endReason_;
        return active;
    }

    // An intent of an earlier epoch has no outcome and never gets one: its call may have been sent. The
    // earlier owner may even be about to send it, within the window that it gave itself.
    void closeForeignIntent(Shard& shard, const ProgramId& id, const OpenIntent& intent,
        ActiveProgram& active, const ShardContext& context)
    {
        Outcome outcome = unknownOutcome("the call was announced by an owner that is gone and may have run; "
                                         "ask the service about it before you start it again as a new call");
        active.lastCall_ = intent.call_;
        active.recent_.push_back({ intent.call_, intent.fingerprint_, outcome });
        active.notBefore_
            = context.now_ + context.limits_.intentSendWindow_ + context.limits_.successorMargin_;
        record(shard, CallFinished { id, intent.call_, intent.fingerprint_, outcome, {}, {}, {}, {} });
    }

} // namespace

Outcome unknownOutcome(const std::string& detail)
{
    Problem problem { ProblemKind::OutcomeUnknown, RunState::Unknown, detail, std::nullopt };
    return { httpStatusOf(problem.kind_), "application/problem+json", toJsonText(problem),
        RunState::Unknown };
}

ExecuteCall startExecution(Shard& shard, const ActiveProgram& active, RunningCall& running)
{
    shard.lastExecution_ += ExecutionId { 1 };
    running.execution_ = shard.lastExecution_;
    running.phase_ = RunningCall::Phase::Executing;
    ExecuteCall effect { running.execution_, running.call_, running.requests_, shard.epoch_,
        active.durableCall_, running.reserved_, std::nullopt };
    if (running.call_.kind_ == CallKind::AtMostOnceService)
        effect.sendBefore_ = running.sendBefore_;
    return effect;
}

void record(Shard& shard, RecordBody body) { shard.outbox_.push_back(std::move(body)); }

ActiveProgram* findActive(Shard& shard, const ProgramId& program, const ShardContext& context)
{
    auto found = shard.active_.find(program);
    if (found != shard.active_.end())
        return &found->second;
    auto known = shard.ledger_.programs_.find(program);
    if (known == shard.ledger_.programs_.end())
        return nullptr;
    ActiveProgram& active = shard.active_[program] = activeFrom(known->second, context);
    const auto& intent = known->second.intent_;
    if (intent && intent->epoch_ != shard.epoch_ && !active.ended_)
        closeForeignIntent(shard, program, *intent, active, context);
    return &active;
}

} // namespace fescue
