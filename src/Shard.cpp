#include "Shard.h"

#include <algorithm>

namespace fescue {

namespace {

    ActiveProgram activeFrom(const Program& program, const ShardContext& context)
    {
        ActiveProgram active;
        active.workspace_ = program.workspace_;
        active.parent_ = program.parent_;
        active.budget_ = program.budget_;
        active.ungranted_ = program.budget_ - program.granted_;
        active.contextTokens_ = program.contextTokens_;
        active.lastCall_ = program.lastCall_;
        active.durableCall_ = program.lastCall_;
        active.head_ = program.head_;
        active.recentCalls_ = program.recentCalls_;
        active.lastUsedAt_ = context.now_;
        active.createdAt_ = context.now_;
        active.isDurable_ = true;
        active.hasEnded_ = program.hasEnded_;
        // The end may have cancelled the next call while it ran; the log does not show that.
        if (active.hasEnded_)
            active.failedCall_ = active.lastCall_ + CallNumber { 1 };
        active.endReason_ = program.endReason_;
        return active;
    }

    // The call of an earlier epoch's open intent may have been sent, or the previous owner may still send it
    // within its send window, so its outcome stays unknown. The intent stays open in the log until that
    // window has passed, so that a third owner waits as well.
    void resolvePreviousOwnerIntent(
        const ProgramId& id, const OpenIntent& intent, ActiveProgram& active, const ShardContext& context)
    {
        Outcome outcome
            = unknownOutcome("a previous owner recorded the call's intent without an outcome, so it may have "
                             "run; check with the service before you retry it as a new call");
        active.lastCall_ = intent.call_;
        addRecentCall(active.recentCalls_, { intent.call_, intent.fingerprint_, outcome });
        active.previousOwnerDeadline_
            = context.now_ + context.limits_.intentSendWindow_ + context.limits_.clockSkewMargin_;
        active.deferredOutcome_
            = CallFinished { id, intent.call_, intent.fingerprint_, outcome, {}, {}, {}, {} };
    }

    void restoreEvicted(Shard& shard, const ProgramId& program, ActiveProgram& active)
    {
        auto found = shard.evicted_.find(program);
        if (found == shard.evicted_.end())
            return;
        active.trancheLeft_ = found->second.trancheLeft_;
        active.failedCall_ = std::max(active.failedCall_, found->second.failedCall_);
        shard.evicted_.erase(found);
    }

    struct SizeOfRecord {
        std::size_t operator()(const CallFinished& finished) const
        {
            return finished.outcome_.body_.size() + finished.newMessages_.size()
                + finished.fingerprint_.size();
        }
        std::size_t operator()(const ShardSnapshot& snapshot) const { return snapshot.state_.size(); }
        template <typename Other> std::size_t operator()(const Other&) const { return 0; }
    };

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
        effect.sendDeadline_ = running.sendDeadline_;
    return effect;
}

ByteCount sizeOf(const RecordBody& body)
{
    constexpr std::size_t recordOverhead = 256;
    return { static_cast<std::int64_t>(recordOverhead + std::visit(SizeOfRecord {}, body)) };
}

void enqueueRecord(Shard& shard, RecordBody body)
{
    shard.outboxBytes_ += sizeOf(body);
    shard.outbox_.push_back(std::move(body));
}

bool isOutboxFull(const Shard& shard, const ShardLimits& limits)
{
    return shard.outbox_.size() >= limits.maxOutboxRecords_ || shard.outboxBytes_ >= limits.maxOutboxBytes_;
}

RunState refusedRunState(const ActiveProgram& active, const Call& call)
{
    bool isOnce = call.kind_ == CallKind::AtMostOnceService;
    return isOnce || call.number_ > active.failedCall_ ? RunState::NotRun : RunState::Unknown;
}

void recordDeferredOutcome(Shard& shard, ActiveProgram& active, const ShardContext& context)
{
    if (!active.deferredOutcome_ || context.now_ < active.previousOwnerDeadline_)
        return;
    enqueueRecord(shard, std::move(*active.deferredOutcome_));
    active.deferredOutcome_.reset();
}

ActiveProgram* findOrLoadActive(Shard& shard, const ProgramId& program, const ShardContext& context)
{
    auto found = shard.active_.find(program);
    if (found != shard.active_.end())
        return &found->second;
    auto known = shard.ledger_.programs_.find(program);
    if (known == shard.ledger_.programs_.end())
        return nullptr;
    ActiveProgram& active = shard.active_[program] = activeFrom(known->second, context);
    restoreEvicted(shard, program, active);
    const auto& intent = known->second.intent_;
    if (intent && intent->epoch_ != shard.epoch_ && !active.hasEnded_)
        resolvePreviousOwnerIntent(program, *intent, active, context);
    return &active;
}

} // namespace fescue
