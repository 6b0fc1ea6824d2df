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

    Effects confirmed(Shard& shard, const ProgramCreated& created, const ShardContext&)
    {
        Effects effects;
        ActiveProgram* active = activeOf(shard, created.program_);
        if (!active)
            return effects;
        active->isDurable_ = true;
        for (RequestId request : active->awaitsCreation_)
            effects.push_back(ReplyProgram { request, created.program_, true });
        active->awaitsCreation_.clear();
        return effects;
    }

    Effects confirmed(Shard& shard, const TrancheGranted& grant, const ShardContext& context)
    {
        ActiveProgram* active = activeOf(shard, grant.program_);
        if (!active)
            return {};
        active->trancheAsked_ -= grant.amount_;
        active->trancheLeft_ += grant.amount_;
        if (active->running_ && active->running_->phase_ == RunningCall::Phase::AwaitsTranche)
            return startWhenFunded(shard, grant.program_, *active, context);
        return {};
    }

    Effects withdraw(Shard& shard, const ProgramId& program, ActiveProgram& active)
    {
        RunningCall running = std::move(*active.running_);
        active.running_.reset();
        record(shard, IntentWithdrawn { program, running.call_.number_ });
        if (running.requests_.empty())
            return {};
        Problem problem { ProblemKind::LogUnavailable, RunState::NotRun,
            "the log service confirmed the call's record too late to send it; send the call again",
            lateRetryAfter };
        return { ReplyProblem { running.requests_, problem } };
    }

    Effects confirmed(Shard& shard, const CallIntent& intent, const ShardContext& context)
    {
        ActiveProgram* active = activeOf(shard, intent.program_);
        if (!active || !active->running_ || active->running_->phase_ != RunningCall::Phase::AwaitsIntent)
            return {};
        RunningCall& running = *active->running_;
        if (running.call_.number_ != intent.call_ || running.call_.fingerprint_ != intent.fingerprint_)
            return {};
        if (running.abandoned_ || context.now_ >= running.sendBefore_)
            return withdraw(shard, intent.program_, *active);
        return { startExecution(shard, *active, running) };
    }

    Effects confirmed(Shard& shard, const CallFinished& finished, const ShardContext&)
    {
        if (ActiveProgram* active = activeOf(shard, finished.program_))
            active->durableCall_ = std::max(active->durableCall_, finished.call_);
        return {};
    }

    Effects confirmed(Shard& shard, const TrancheReturned& back, const ShardContext&)
    {
        if (ActiveProgram* active = activeOf(shard, back.program_))
            active->ungranted_ += back.amount_;
        return {};
    }

    Effects confirmed(Shard& shard, const ProgramEnded& ended, const ShardContext&)
    {
        auto found = shard.active_.find(ended.program_);
        ActiveProgram* parent
            = found == shard.active_.end() ? nullptr : activeOf(shard, found->second.parent_);
        if (parent)
            parent->ungranted_ += ended.returnedToParent_;
        shard.active_.erase(ended.program_);
        shard.resting_.erase(ended.program_);
        return { ReleaseCache { ended.program_, shard.epoch_ } };
    }

    template <typename Other> Effects confirmed(Shard&, const Other&, const ShardContext&) { return {}; }

    // The record of a creation may have reached the log.
    Problem lostCreation()
    {
        return { ProblemKind::NotOwner, RunState::Unknown,
            "the program's home moved to another VM; send the request again", ownerRetryAfter };
    }

    // The new owner may have run an attempt of the same call by now.
    Problem lostOwnership()
    {
        return { ProblemKind::NotOwner, RunState::NotRun,
            "the program's home moved to another VM; send the call again", ownerRetryAfter, true };
    }

    // What waits here was not executed here, so the new owner decides on it as on any repeat. Beyond a gap
    // the new owner is not known.
    Effect sendOn(const Shard& shard, std::vector<RequestId> requests)
    {
        bool isKnown = shard.ledger_.epoch_ != shard.epoch_;
        if (!isKnown)
            return ReplyProblem { std::move(requests), lostOwnership() };
        return ReplyMoved { std::move(requests), shard.ledger_.owner_ };
    }

    void dropActive(const ProgramId&, ActiveProgram& active, Shard& shard, Effects& effects)
    {
        if (!active.awaitsCreation_.empty())
            effects.push_back(ReplyProblem { active.awaitsCreation_, lostCreation() });
        if (!active.running_)
            return;
        if (active.running_->phase_ == RunningCall::Phase::Executing)
            shard.orphans_[active.running_->execution_] = std::move(*active.running_);
        else if (!active.running_->requests_.empty())
            effects.push_back(sendOn(shard, active.running_->requests_));
    }

    bool isSameBatch(const Batch& a, const Batch& b)
    {
        return a.writer_ == b.writer_ && a.sequence_ == b.sequence_;
    }

    // Programs are loaded at once: the time in which the earlier owner may still send an open intent counts
    // from the claim and not from the program's next call, and a program that nobody uses any more is ended
    // after its idle time by whoever owns it.
    void becomeOwner(Shard& shard, const ShardContext& context)
    {
        shard.epoch_ = shard.ledger_.epoch_;
        shard.ownedSince_ = context.now_;
        for (const auto& [program, state] : shard.ledger_.programs_) {
            if (!state.ended_)
                findActive(shard, program, context);
        }
    }

    Effects batchConfirmed(Shard& shard, const Batch& batch, const ShardContext& context)
    {
        if (batch.epoch_.value_ == 0) {
            becomeOwner(shard, context);
            return {};
        }
        Effects effects;
        for (const RecordBody& body : batch.records_) {
            std::visit([&](const auto& record) { append(effects, confirmed(shard, record, context)); }, body);
        }
        return effects;
    }

    // Beyond a gap nothing is known about an entry until a snapshot comes. An own claim ends the search: this
    // VM has to serve the shard with what there is.
    Verdict foldEntry(Shard& shard, LogOffset offset, const Batch& batch)
    {
        if (!shard.gap_)
            return foldBatch(shard.ledger_, offset, batch);
        bool isOwn = shard.inFlight_ && isSameBatch(*shard.inFlight_, batch);
        bool isKnown = readBeyondGap(shard, offset, batch);
        if (isOwn && !isKnown)
            closeGapIncomplete(shard);
        bool isOwner = shard.ledger_.epoch_.value_ == offset.value_;
        return isOwner ? Verdict::Applied : Verdict::Void;
    }

    // The oldest records, at least one, until they reach the size.
    std::vector<RecordBody> takeRecords(Shard& shard, ByteCount mostBytes)
    {
        auto end = shard.outbox_.begin();
        ByteCount taken;
        while (end != shard.outbox_.end() && taken < mostBytes)
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
    shard.resting_.clear();
    shard.outbox_.clear();
    shard.outboxBytes_ = {};
    shard.isUrgent_ = false;
    if (shard.inFlight_ && shard.inFlight_->epoch_.value_ != 0)
        shard.inFlight_.reset();
    shard.snapshotAt_.reset();
    shard.epoch_ = {};
    return effects;
}

void forgetState(Shard& shard)
{
    ShardKey key = shard.ledger_.shard_;
    shard.ledger_ = Ledger {};
    shard.ledger_.shard_ = key;
    shard.gap_.reset();
}

std::optional<Batch> takeBatch(Shard& shard, const WriterId& writer, ByteCount mostBytes)
{
    if (shard.inFlight_)
        return shard.inFlight_;
    if (shard.outbox_.empty() || shard.epoch_.value_ == 0)
        return std::nullopt;
    shard.inFlight_ = Batch { writer, shard.nextSequence_, shard.epoch_, takeRecords(shard, mostBytes) };
    shard.nextSequence_ += Sequence { 1 };
    shard.isUrgent_ = !shard.outbox_.empty();
    return shard.inFlight_;
}

Batch takeClaim(Shard& shard, const WriterId& writer, const VmId& vm)
{
    shard.inFlight_ = Batch { writer, shard.nextSequence_, {}, { Claim { vm } } };
    shard.nextSequence_ += Sequence { 1 };
    return *shard.inFlight_;
}

Effects entryRead(Shard& shard, LogOffset offset, const Batch& batch, const ShardContext& context)
{
    Verdict verdict = foldEntry(shard, offset, batch);
    Effects effects;
    if (shard.epoch_.value_ != 0 && shard.ledger_.epoch_ != shard.epoch_)
        effects = loseOwnership(shard);
    bool isOwn = shard.inFlight_ && isSameBatch(*shard.inFlight_, batch);
    if (!isOwn || verdict == Verdict::Duplicate)
        return effects;
    Batch mine = std::move(*shard.inFlight_);
    shard.inFlight_.reset();
    if (verdict == Verdict::Applied)
        append(effects, batchConfirmed(shard, mine, context));
    return effects;
}

} // namespace fescue
