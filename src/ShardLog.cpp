#include "ShardLog.h"

#include "AdmitCall.h"
#include "LedgerSnapshot.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr Milliseconds ownerRetryAfter { 200 };
    constexpr Milliseconds lateRetryAfter { 500 };

    void append(Effects& effects, Effects more)
    {
        std::move(more.begin(), more.end(), std::back_inserter(effects));
    }

    ActiveProgram* activeOf(Shard& shard, const ProgramId& program)
    {
        auto found = shard.active_.find(program);
        return found == shard.active_.end() ? nullptr : &found->second;
    }

    Effects onConfirmed(Shard& shard, const ProgramCreated& created, const ShardContext&)
    {
        Effects effects;
        ActiveProgram* active = activeOf(shard, created.program_);
        if (!active)
            return effects;
        active->isDurable_ = true;
        for (RequestId request : active->creationWaiters_)
            effects.push_back(ReplyProgram { request, created.program_, true });
        active->creationWaiters_.clear();
        return effects;
    }

    Effects onConfirmed(Shard& shard, const TrancheGranted& grant, const ShardContext& context)
    {
        ActiveProgram* active = activeOf(shard, grant.program_);
        if (!active)
            return {};
        active->tranchePending_ -= grant.amount_;
        active->trancheLeft_ += grant.amount_;
        if (active->running_ && active->running_->phase_ == RunningCall::Phase::AwaitingTranche)
            return startIfFunded(shard, grant.program_, *active, context);
        return {};
    }

    Effects withdraw(Shard& shard, const ProgramId& program, ActiveProgram& active)
    {
        RunningCall running = std::move(*active.running_);
        active.running_.reset();
        enqueueRecord(shard, IntentWithdrawn { program, running.call_.number_ });
        if (running.requests_.empty())
            return {};
        Problem problem { ProblemKind::LogUnavailable, RunState::NotRun,
            "the log service confirmed the call's record after its send deadline; retry the call",
            lateRetryAfter };
        return { ReplyProblem { running.requests_, problem } };
    }

    Effects onConfirmed(Shard& shard, const CallIntent& intent, const ShardContext& context)
    {
        ActiveProgram* active = activeOf(shard, intent.program_);
        if (!active || !active->running_ || active->running_->phase_ != RunningCall::Phase::AwaitingIntent)
            return {};
        RunningCall& running = *active->running_;
        if (running.call_.number_ != intent.call_ || running.call_.fingerprint_ != intent.fingerprint_)
            return {};
        if (running.isAbandoned_ || context.now_ >= running.sendDeadline_)
            return withdraw(shard, intent.program_, *active);
        return { startExecution(shard, *active, running) };
    }

    Effects onConfirmed(Shard& shard, const CallFinished& finished, const ShardContext&)
    {
        if (ActiveProgram* active = activeOf(shard, finished.program_))
            active->durableCall_ = std::max(active->durableCall_, finished.call_);
        return {};
    }

    Effects onConfirmed(Shard& shard, const TrancheReturned& returned, const ShardContext&)
    {
        if (ActiveProgram* active = activeOf(shard, returned.program_))
            active->ungranted_ += returned.amount_;
        return {};
    }

    Effects onConfirmed(Shard& shard, const ProgramEnded& ended, const ShardContext&)
    {
        auto found = shard.active_.find(ended.program_);
        ActiveProgram* parent
            = found == shard.active_.end() ? nullptr : activeOf(shard, found->second.parent_);
        if (parent)
            parent->ungranted_ += ended.returnedToParent_;
        Effects effects { ReleaseCache { ended.program_, shard.epoch_ } };
        if (found != shard.active_.end()) {
            for (RequestId request : found->second.endWaiters_)
                effects.push_back(ReplyProgram { request, ended.program_, true });
        }
        shard.active_.erase(ended.program_);
        shard.evicted_.erase(ended.program_);
        return effects;
    }

    template <typename Other> Effects onConfirmed(Shard&, const Other&, const ShardContext&) { return {}; }

    // The outcome is unknown: the record of the creation may have reached the log.
    Problem creationInterrupted()
    {
        return { ProblemKind::NotOwner, RunState::Unknown,
            "another VM took over the program's shard; retry the request", ownerRetryAfter };
    }

    // The new owner may already have run an attempt of the same call.
    Problem ownershipLost()
    {
        return { ProblemKind::NotOwner, RunState::NotRun,
            "another VM took over the program's shard; retry the call", ownerRetryAfter, true };
    }

    // The waiting requests were not executed here, so the new owner can handle them like any retry. After a
    // gap in the log the new owner is not known, and they are refused.
    Effect forwardRequests(const Shard& shard, std::vector<RequestId> requests)
    {
        bool isKnown = shard.ledger_.epoch_ != shard.epoch_;
        if (!isKnown)
            return ReplyProblem { std::move(requests), ownershipLost() };
        return ReplyMoved { std::move(requests), shard.ledger_.owner_ };
    }

    void dropActive(const ProgramId&, ActiveProgram& active, Shard& shard, Effects& effects)
    {
        if (!active.creationWaiters_.empty())
            effects.push_back(ReplyProblem { active.creationWaiters_, creationInterrupted() });
        if (!active.endWaiters_.empty())
            effects.push_back(forwardRequests(shard, active.endWaiters_));
        if (!active.running_)
            return;
        if (active.running_->phase_ == RunningCall::Phase::Executing)
            shard.orphanedCalls_[active.running_->execution_] = std::move(*active.running_);
        else if (!active.running_->requests_.empty())
            effects.push_back(forwardRequests(shard, active.running_->requests_));
    }

    bool isSameBatch(const Batch& a, const Batch& b)
    {
        return a.writer_ == b.writer_ && a.sequence_ == b.sequence_;
    }

    // Loads all programs immediately: the send window of the previous owner's open intents starts at the
    // claim, not at the program's next call, and idle programs must time out under every owner.
    void becomeOwner(Shard& shard, const ShardContext& context)
    {
        shard.epoch_ = shard.ledger_.epoch_;
        shard.ownedSince_ = context.now_;
        for (const auto& [program, state] : shard.ledger_.programs_) {
            if (!state.hasEnded_)
                findOrLoadActive(shard, program, context);
        }
    }

    Effects onBatchConfirmed(Shard& shard, const Batch& batch, const ShardContext& context)
    {
        if (batch.epoch_.value_ == 0) {
            becomeOwner(shard, context);
            return {};
        }
        Effects effects;
        for (const RecordBody& body : batch.records_) {
            std::visit(
                [&](const auto& record) { append(effects, onConfirmed(shard, record, context)); }, body);
        }
        return effects;
    }

    // During gap recovery an entry cannot be judged until a snapshot is found. An own claim ends the
    // recovery, since this VM must then serve the shard with an incomplete ledger.
    ApplyResult applyEntry(Shard& shard, LogOffset offset, const Batch& batch)
    {
        if (!shard.gapRecovery_)
            return applyBatch(shard.ledger_, offset, batch);
        bool isOwn = shard.inFlight_ && isSameBatch(*shard.inFlight_, batch);
        bool isKnown = applyDuringGapRecovery(shard, offset, batch);
        if (isOwn && !isKnown)
            abandonGapRecovery(shard);
        bool isOwner = shard.ledger_.epoch_.value_ == offset.value_;
        return isOwner ? ApplyResult::Applied : ApplyResult::Fenced;
    }

    // Takes the oldest records, at least one, until they reach the size threshold.
    std::vector<RecordBody> takeRecords(Shard& shard, ByteCount sizeThreshold)
    {
        auto end = shard.outbox_.begin();
        ByteCount taken;
        while (end != shard.outbox_.end() && taken < sizeThreshold)
            taken += sizeOf(*end++);
        std::vector<RecordBody> records(
            std::make_move_iterator(shard.outbox_.begin()), std::make_move_iterator(end));
        shard.outbox_.erase(shard.outbox_.begin(), end);
        shard.outboxBytes_ -= taken;
        return records;
    }

} // namespace

Effects loseOwnership(Shard& shard)
{
    Effects effects;
    for (auto& [program, active] : shard.active_)
        dropActive(program, active, shard, effects);
    shard.active_.clear();
    shard.evicted_.clear();
    shard.outbox_.clear();
    shard.outboxBytes_ = {};
    shard.isFlushRequested_ = false;
    if (shard.inFlight_ && shard.inFlight_->epoch_.value_ != 0)
        shard.inFlight_.reset();
    shard.snapshotAt_.reset();
    shard.epoch_ = {};
    return effects;
}

void evictState(Shard& shard)
{
    ShardKey key = shard.ledger_.shard_;
    shard.ledger_ = Ledger {};
    shard.ledger_.shard_ = key;
    shard.gapRecovery_.reset();
}

std::optional<Batch> takeBatch(Shard& shard, const WriterId& writer, ByteCount sizeThreshold)
{
    if (shard.inFlight_)
        return shard.inFlight_;
    if (shard.outbox_.empty() || shard.epoch_.value_ == 0)
        return std::nullopt;
    shard.inFlight_ = Batch { writer, shard.nextSequence_, shard.epoch_, takeRecords(shard, sizeThreshold) };
    shard.nextSequence_ += Sequence { 1 };
    shard.isFlushRequested_ = !shard.outbox_.empty();
    return shard.inFlight_;
}

Batch startClaim(Shard& shard, const WriterId& writer, const VmId& vm)
{
    shard.inFlight_ = Batch { writer, shard.nextSequence_, {}, { Claim { vm } } };
    shard.nextSequence_ += Sequence { 1 };
    return *shard.inFlight_;
}

Effects applyLogEntry(Shard& shard, LogOffset offset, const Batch& batch, const ShardContext& context)
{
    ApplyResult result = applyEntry(shard, offset, batch);
    Effects effects;
    if (shard.epoch_.value_ != 0 && shard.ledger_.epoch_ != shard.epoch_)
        effects = loseOwnership(shard);
    bool isOwn = shard.inFlight_ && isSameBatch(*shard.inFlight_, batch);
    if (!isOwn || result == ApplyResult::Duplicate)
        return effects;
    Batch mine = std::move(*shard.inFlight_);
    shard.inFlight_.reset();
    if (result == ApplyResult::Applied)
        append(effects, onBatchConfirmed(shard, mine, context));
    return effects;
}

} // namespace fescue
