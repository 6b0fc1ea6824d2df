#include "ProgramLifecycle.h"

#include "LedgerSnapshot.h"

#include <algorithm>
#include <set>

namespace fescue {

namespace {

    constexpr Milliseconds logRetryAfter { 2000 };
    const char* const notOwnerDetail = "this VM does not own the program's shard; retry the request";

    Effects refuse(RequestId request, ProblemKind kind, RunState run, std::string detail)
    {
        return { ReplyProblem { { request }, { kind, run, std::move(detail), std::nullopt } } };
    }

    std::optional<Effects> reserveFromParent(
        Shard& shard, const CreateProgram& create, const ShardContext& context)
    {
        ActiveProgram* parent = findOrLoadActive(shard, create.parent_, context);
        if (!parent || parent->workspace_ != create.workspace_)
            return refuse(create.request_, ProblemKind::UnknownProgram, RunState::NotRun,
                "unknown parent program; use one of your own programs that has not ended");
        if (parent->hasEnded_)
            return refuse(
                create.request_, ProblemKind::ProgramEnded, RunState::NotRun, "the parent program has ended");
        if (parent->trancheLeft_ < create.budget_)
            return refuse(create.request_, ProblemKind::BudgetExceeded, RunState::NotRun,
                "the parent can currently give "
                    + std::to_string(std::max<std::int64_t>(parent->trancheLeft_.value_, 0))
                    + " tokens; request a smaller budget");
        parent->trancheLeft_ -= create.budget_;
        return std::nullopt;
    }

    // While the log is down, an unconfirmed program is known to this epoch only. It gets its whole budget,
    // since no other VM can spend it.
    TokenCount firstTranche(const Shard& shard, const CreateProgram& create, const ShardContext& context)
    {
        return shard.isLogDown_ ? create.budget_ : std::min(create.budget_, context.limits_.trancheSize_);
    }

    void replyToCreationWaiters(ActiveProgram& active, const ProgramId& program, Effects& effects)
    {
        for (RequestId request : active.creationWaiters_)
            effects.push_back(ReplyProgram { request, program, active.isDurable_ });
        active.creationWaiters_.clear();
    }

    // The end is not confirmed: the caller may have to repeat it once the log is back.
    void replyToEndWaiters(ActiveProgram& active, const ProgramId& program, Effects& effects)
    {
        for (RequestId request : active.endWaiters_)
            effects.push_back(ReplyProgram { request, program, false });
        active.endWaiters_.clear();
    }

    bool hasAtMostOnceCallInFlight(const ActiveProgram& active)
    {
        return active.running_ && !active.running_->isAbandoned_
            && active.running_->call_.kind_ == CallKind::AtMostOnceService;
    }

    void cancelRunningCall(ActiveProgram& active, const ProgramId& program, Effects& effects)
    {
        if (!active.running_)
            return;
        Problem problem { ProblemKind::ProgramEnded, RunState::Unknown,
            "the program was ended while the call ran", std::nullopt };
        effects.push_back(ReplyProblem { active.running_->requests_, problem });
        if (active.running_->phase_ == RunningCall::Phase::Executing) {
            effects.push_back(CancelCall { program, active.running_->execution_ });
            active.failedCall_ = active.running_->call_.number_;
        }
        active.running_.reset();
    }

    // The whole budget was taken from the parent when the program was created. The parent gets back what
    // neither this epoch has spent nor an earlier one may have spent.
    void markEnded(Shard& shard, ActiveProgram& active, const ProgramId& program, const std::string& reason)
    {
        active.hasEnded_ = true;
        active.endReason_ = reason;
        if (active.deferredOutcome_)
            enqueueRecord(shard, std::move(*active.deferredOutcome_));
        active.deferredOutcome_.reset();
        TokenCount unspent;
        if (!active.parent_.empty())
            unspent = std::max(active.ungranted_ + active.tranchePending_ + active.trancheLeft_, unspent);
        enqueueRecord(shard, ProgramEnded { program, reason, unspent });
    }

    // Refuses a call whose record was not confirmed in time. Without the log this VM cannot tell whether
    // another VM owned the shard and ran another attempt of an at-most-once call. Its intent may still reach
    // the log, so the call is kept as abandoned: when the intent is confirmed it is withdrawn, and the call
    // is never sent.
    void expireWaitingCall(ActiveProgram& active, Effects& effects)
    {
        RunningCall& running = *active.running_;
        bool isOnce = running.phase_ == RunningCall::Phase::AwaitingIntent;
        Problem problem { ProblemKind::LogUnavailable, running.refusalRunState_,
            "the log service did not confirm the record that this call needs, so the call will not be sent; "
            "try again later",
            logRetryAfter, isOnce };
        effects.push_back(ReplyProblem { std::move(running.requests_), problem });
        running.requests_.clear();
        if (isOnce)
            running.isAbandoned_ = true;
        else
            active.running_.reset();
    }

    bool hasConfirmationTimedOut(const ActiveProgram& active, const ShardContext& context)
    {
        return active.running_ && active.running_->phase_ != RunningCall::Phase::Executing
            && !active.running_->isAbandoned_
            && context.now_ - active.running_->admittedAt_ >= context.limits_.confirmationTimeout_;
    }

    void returnTranche(Shard& shard, const ProgramId& program, TokenCount& left)
    {
        if (left.value_ <= 0)
            return;
        enqueueRecord(shard, TrancheReturned { program, left });
        left = {};
    }

    // Programs that are not loaded are in the ledger only, so their last use comes from `evicted_`.
    void endIdlePrograms(Shard& shard, const ShardContext& context)
    {
        if (shard.epoch_.value_ == 0 || isOutboxFull(shard, context.limits_))
            return;
        for (const auto& [id, program] : shard.ledger_.programs_) {
            if (program.hasEnded_ || shard.active_.count(id) > 0)
                continue;
            auto evicted = shard.evicted_.find(id);
            MonotonicTime lastUse
                = evicted == shard.evicted_.end() ? shard.ownedSince_ : evicted->second.lastUsedAt_;
            if (context.now_ - lastUse >= context.limits_.programIdleTimeout_)
                markEnded(shard, *findOrLoadActive(shard, id, context), id, "abandoned");
        }
    }

    struct GetProgramId {
        ProgramId operator()(const Claim&) const { return {}; }
        ProgramId operator()(const ShardSnapshot&) const { return {}; }
        template <typename Other> ProgramId operator()(const Other& record) const { return record.program_; }
    };

    std::set<ProgramId> programsWithPendingRecords(const Shard& shard)
    {
        std::set<ProgramId> programs;
        for (const RecordBody& body : shard.outbox_)
            programs.insert(std::visit(GetProgramId {}, body));
        if (!shard.inFlight_)
            return programs;
        for (const RecordBody& body : shard.inFlight_->records_)
            programs.insert(std::visit(GetProgramId {}, body));
        return programs;
    }

    bool isInUse(const ActiveProgram& active, const ShardContext& context)
    {
        return active.running_ || active.deferredOutcome_ || !active.isDurable_
            || !active.creationWaiters_.empty() || context.now_ < active.previousOwnerDeadline_
            || context.now_ - active.lastUsedAt_ < context.limits_.evictAfter_;
    }

    void evictIdlePrograms(Shard& shard, const ShardContext& context)
    {
        std::set<ProgramId> withPendingRecords = programsWithPendingRecords(shard);
        for (auto item = shard.active_.begin(); item != shard.active_.end();) {
            const ActiveProgram& active = item->second;
            if (isInUse(active, context) || withPendingRecords.count(item->first) > 0) {
                ++item;
                continue;
            }
            if (!active.hasEnded_)
                shard.evicted_[item->first] = { active.trancheLeft_, active.failedCall_, active.lastUsedAt_ };
            item = shard.active_.erase(item);
        }
    }

} // namespace

Effects createProgram(Shard& shard, const CreateProgram& create, const ShardContext& context)
{
    if (shard.epoch_.value_ == 0)
        return refuse(create.request_, ProblemKind::NotOwner, RunState::NotRun, notOwnerDetail);
    if (isOutboxFull(shard, context.limits_))
        return refuse(create.request_, ProblemKind::LogUnavailable, RunState::NotRun,
            "too many records wait for the log service; try again later");
    if (!create.parent_.empty()) {
        if (auto refusal = reserveFromParent(shard, create, context))
            return *refusal;
    }
    ActiveProgram active;
    active.workspace_ = create.workspace_;
    active.parent_ = create.parent_;
    active.budget_ = create.budget_;
    active.trancheLeft_ = firstTranche(shard, create, context);
    active.ungranted_ = create.budget_ - active.trancheLeft_;
    active.lastUsedAt_ = context.now_;
    active.createdAt_ = context.now_;
    active.creationWaiters_ = { create.request_ };
    enqueueRecord(shard,
        ProgramCreated {
            create.program_, create.workspace_, create.parent_, create.budget_, active.trancheLeft_ });
    shard.isFlushRequested_ = true;
    Effects effects;
    if (shard.isLogDown_)
        replyToCreationWaiters(active, create.program_, effects);
    shard.active_[create.program_] = std::move(active);
    return effects;
}

Effects endProgram(Shard& shard, const EndProgram& end, const ShardContext& context)
{
    if (shard.epoch_.value_ == 0)
        return refuse(end.request_, ProblemKind::NotOwner, RunState::NotRun, notOwnerDetail);
    ActiveProgram* active = findOrLoadActive(shard, end.program_, context);
    if (!active || active->workspace_ != end.workspace_)
        return refuse(end.request_, ProblemKind::UnknownProgram, RunState::Unknown,
            "unknown program: it ended long ago or never existed");
    if (hasAtMostOnceCallInFlight(*active))
        return refuse(end.request_, ProblemKind::CallOutOfOrder, RunState::NotRun,
            "an at-most-once call is in flight; end the program after its answer");
    auto recorded = shard.ledger_.programs_.find(end.program_);
    if (recorded != shard.ledger_.programs_.end() && recorded->second.hasEnded_)
        return { ReplyProgram { end.request_, end.program_, true } };
    Effects effects;
    if (!active->hasEnded_) {
        cancelRunningCall(*active, end.program_, effects);
        markEnded(shard, *active, end.program_, end.reason_);
    }
    // An end that is answered before it is confirmed would be lost when another VM takes over the shard.
    active->endWaiters_.push_back(end.request_);
    shard.isFlushRequested_ = true;
    if (shard.isLogDown_)
        replyToEndWaiters(*active, end.program_, effects);
    return effects;
}

void returnUnspentTranches(Shard& shard)
{
    if (shard.epoch_.value_ == 0)
        return;
    for (auto& [program, active] : shard.active_) {
        if (!active.hasEnded_)
            returnTranche(shard, program, active.trancheLeft_);
    }
    for (auto& [program, evicted] : shard.evicted_)
        returnTranche(shard, program, evicted.trancheLeft_);
    shard.isFlushRequested_ = shard.isFlushRequested_ || !shard.outbox_.empty();
}

Effects tickShard(Shard& shard, const ShardContext& context)
{
    Effects effects;
    constexpr Milliseconds creationReplyTimeout { 1000 };
    for (auto& [program, active] : shard.active_) {
        recordDeferredOutcome(shard, active, context);
        if (hasConfirmationTimedOut(active, context))
            expireWaitingCall(active, effects);
        if (context.now_ - active.createdAt_ >= creationReplyTimeout)
            replyToCreationWaiters(active, program, effects);
        if (shard.isLogDown_)
            replyToEndWaiters(active, program, effects);
        bool isIdle = !active.running_ && !active.hasEnded_ && !active.deferredOutcome_
            && context.now_ - active.lastUsedAt_ >= context.limits_.programIdleTimeout_;
        if (isIdle)
            markEnded(shard, active, program, "abandoned");
    }
    endIdlePrograms(shard, context);
    evictIdlePrograms(shard, context);
    if (isSnapshotDue(shard, context))
        recordSnapshot(shard, context);
    return effects;
}

} // namespace fescue
