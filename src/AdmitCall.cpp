#include "AdmitCall.h"

#include "Transcript.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    constexpr Milliseconds logRetryAfter { 2000 };
    constexpr Milliseconds ownerRetryAfter { 200 };
    const char* const logDownDetail = "the log service does not answer, and this call needs a log record "
                                      "before it runs; retry it later";

    Effects refuse(const Call& call, ProblemKind kind, RunState run, std::string detail,
        std::optional<Milliseconds> retryAfter = std::nullopt)
    {
        return { ReplyProblem { { call.request_ }, { kind, run, std::move(detail), retryAfter } } };
    }

    Effects refuseLogUnavailable(const Call& call, RunState run)
    {
        return refuse(call, ProblemKind::LogUnavailable, run, logDownDetail, logRetryAfter);
    }

    // This VM does not know what the owner has run.
    Problem notOwner()
    {
        return { ProblemKind::NotOwner, RunState::NotRun,
            "this VM does not own the program's shard; retry the call", ownerRetryAfter, true };
    }

    const FinishedCall* findFinished(const ActiveProgram& active, CallNumber number)
    {
        auto found = std::find_if(active.recentCalls_.begin(), active.recentCalls_.end(),
            [number](const FinishedCall& finished) { return finished.call_ == number; });
        return found == active.recentCalls_.end() ? nullptr : &*found;
    }

    std::string reusedNumberDetail(const Call& call)
    {
        return "call " + std::to_string(call.number_.value_)
            + " was sent before with different content; send the new content under the next call number";
    }

    Effects refuseReusedNumber(const ActiveProgram& active, const Call& call)
    {
        return refuse(
            call, ProblemKind::CallKeyReused, refusedRunState(active, call), reusedNumberDetail(call));
    }

    Effects refuseExpiredRetry(const Call& call)
    {
        return refuse(call, ProblemKind::AnswerNoLongerHeld, RunState::Unknown,
            "the call number belongs to a finished call whose answer is no longer stored; continue from the "
            "program's history");
    }

    Effects answerRetryFromLog(const Shard& shard, const ActiveProgram& active, const Call& call)
    {
        auto known = shard.ledger_.programs_.find(call.program_);
        if (known == shard.ledger_.programs_.end() || call.number_.value_ == 0
            || call.number_.value_ > known->second.offsets_.size())
            return refuseExpiredRetry(call);
        return { ReplyFromLog {
            call, known->second.offsets_[call.number_.value_ - 1], active.durableCall_ } };
    }

    Effects answerRetry(const Shard& shard, const ActiveProgram& active, const Call& call)
    {
        const FinishedCall* finished = findFinished(active, call.number_);
        if (!finished)
            return answerRetryFromLog(shard, active, call);
        if (finished->fingerprint_ != call.fingerprint_)
            return refuseReusedNumber(active, call);
        return { ReplyOutcome { { call.request_ }, finished->outcome_, active.durableCall_ } };
    }

    Effects attachToRunning(ActiveProgram& active, const Call& call)
    {
        RunningCall& running = *active.running_;
        if (running.call_.fingerprint_ != call.fingerprint_)
            return refuseReusedNumber(active, call);
        if (running.isAbandoned_)
            return refuseLogUnavailable(call, refusedRunState(active, call));
        running.requests_.push_back(call.request_);
        return { AttachRequest { call.request_, call.program_, call.number_ } };
    }

    std::optional<Effects> checkCallOrder(
        const ActiveProgram& active, const Call& call, const ShardContext& context)
    {
        RunState run = refusedRunState(active, call);
        if (active.hasEnded_)
            return refuse(call, ProblemKind::ProgramEnded, run,
                "the program has ended (" + active.endReason_ + "); create a new one");
        if (active.running_ || call.number_.value_ != active.lastCall_.value_ + 1)
            return refuse(call, ProblemKind::CallOutOfOrder, run,
                "the program's last finished call is " + std::to_string(active.lastCall_.value_)
                    + (active.running_ ? " and the next call is still running" : "")
                    + "; send the calls one at a time, numbered from 1");
        if (context.now_ < active.previousOwnerDeadline_)
            return refuse(call, ProblemKind::HomeUnreachable, run,
                "the program's previous owner may still be sending a call; retry this one shortly",
                active.previousOwnerDeadline_ - context.now_);
        return std::nullopt;
    }

    // Drops the waiting call and answers every caller that waits for it.
    Effects refuseRunningCall(ActiveProgram& active, ProblemKind kind, std::string detail,
        std::optional<Milliseconds> retryAfter = std::nullopt)
    {
        RunningCall running = std::move(*active.running_);
        active.running_.reset();
        return { ReplyProblem { std::move(running.requests_),
            { kind, running.refusalRunState_, std::move(detail), retryAfter } } };
    }

    Effects admitModelCall(Shard& shard, ActiveProgram& active, const Call& call, const ShardContext& context)
    {
        auto messages = nlohmann::json::parse(call.messages_, nullptr, false);
        auto delta = continueTranscript(active.head_, messages, call.bodySize_);
        RunState run = refusedRunState(active, call);
        if (!delta)
            return refuse(call, delta.error().kind_, run, delta.error().detail_);
        RunningCall running;
        running.refusalRunState_ = run;
        running.call_ = call;
        running.call_.messages_.clear();
        running.phase_ = RunningCall::Phase::AwaitingTranche;
        running.reserved_ = active.contextTokens_ + TokenCount { delta->newBytes_.value_ } + call.maxTokens_;
        running.attemptReservation_ = running.reserved_;
        running.head_ = delta->head_;
        running.newMessages_ = delta->newMessages_;
        running.requests_ = { call.request_ };
        running.admittedAt_ = context.now_;
        active.running_ = std::move(running);
        return startIfFunded(shard, call.program_, active, context);
    }

    Effects admitServiceCall(
        Shard& shard, ActiveProgram& active, const Call& call, const ShardContext& context)
    {
        bool needsIntent = call.kind_ == CallKind::AtMostOnceService;
        RunState run = refusedRunState(active, call);
        if (needsIntent && shard.isLogDown_)
            return refuseLogUnavailable(call, run);
        RunningCall running;
        running.refusalRunState_ = run;
        running.call_ = call;
        running.requests_ = { call.request_ };
        running.admittedAt_ = context.now_;
        running.sendDeadline_ = context.now_ + context.limits_.intentSendWindow_;
        running.phase_ = RunningCall::Phase::AwaitingIntent;
        active.running_ = std::move(running);
        if (!needsIntent)
            return { startExecution(shard, active, *active.running_) };
        enqueueRecord(shard, CallIntent { call.program_, call.number_, call.fingerprint_ });
        shard.isFlushRequested_ = true;
        return {};
    }

    Effects decideAdmission(Shard& shard, const Call& call, const ShardContext& context)
    {
        if (shard.epoch_.value_ == 0)
            return { ReplyProblem { { call.request_ }, notOwner() } };
        ActiveProgram* active = findOrLoadActive(shard, call.program_, context);
        if (!active && !shard.ledger_.isComplete_)
            return refuse(call, ProblemKind::OutcomeUnknown, RunState::Unknown,
                "the records of the program have expired from the log, so it is not known whether the call "
                "ran; create a new program, and check with the service about at-most-once calls");
        if (!active || active->workspace_ != call.workspace_)
            return refuse(call, ProblemKind::UnknownProgram, RunState::Unknown,
                "unknown program: it ended long ago or never existed; create a new one");
        active->lastUsedAt_ = context.now_;
        recordDeferredOutcome(shard, *active, context);
        if (call.number_ <= active->lastCall_)
            return answerRetry(shard, *active, call);
        if (active->running_ && active->running_->call_.number_ == call.number_)
            return attachToRunning(*active, call);
        if (auto refusal = checkCallOrder(*active, call, context))
            return *refusal;
        if (isOutboxFull(shard, context.limits_))
            return refuseLogUnavailable(call, refusedRunState(*active, call));
        if (call.kind_ == CallKind::Model)
            return admitModelCall(shard, *active, call, context);
        return admitServiceCall(shard, *active, call, context);
    }

    const CallFinished* findFinishedRecord(const Batch& batch, const Call& call)
    {
        for (const RecordBody& body : batch.records_) {
            const auto* finished = std::get_if<CallFinished>(&body);
            if (finished && finished->program_ == call.program_ && finished->call_ == call.number_)
                return finished;
        }
        return nullptr;
    }

} // namespace

Effects answerFromLog(const ReplyFromLog& reply, const std::optional<Batch>& batch)
{
    const CallFinished* finished = batch ? findFinishedRecord(*batch, reply.call_) : nullptr;
    if (!finished)
        return refuseExpiredRetry(reply.call_);
    if (finished->fingerprint_ != reply.call_.fingerprint_)
        return refuse(
            reply.call_, ProblemKind::CallKeyReused, RunState::Unknown, reusedNumberDetail(reply.call_));
    return { ReplyOutcome { { reply.call_.request_ }, finished->outcome_, reply.durableCall_ } };
}

Effects startIfFunded(
    Shard& shard, const ProgramId& program, ActiveProgram& active, const ShardContext& context)
{
    RunningCall& running = *active.running_;
    if (active.trancheLeft_ >= running.reserved_) {
        active.trancheLeft_ -= running.reserved_;
        return { startExecution(shard, active, running) };
    }
    if (active.tranchePending_.value_ > 0)
        return {};
    TokenCount missing = running.reserved_ - active.trancheLeft_;
    TokenCount remaining = active.ungranted_;
    if (remaining < missing) {
        TokenCount left = active.trancheLeft_ + remaining;
        std::string maxUse = std::to_string(running.reserved_.value_);
        return refuseRunningCall(active, ProblemKind::BudgetExceeded,
            "the call may use up to " + maxUse + " tokens and the program has " + std::to_string(left.value_)
                + " left; lower max_tokens or create the program with a larger budget");
    }
    if (shard.isLogDown_)
        return refuseRunningCall(active, ProblemKind::LogUnavailable, logDownDetail, logRetryAfter);
    TokenCount amount = std::min(remaining, std::max(missing, context.limits_.trancheSize_));
    active.tranchePending_ = amount;
    active.ungranted_ -= amount;
    enqueueRecord(shard, TrancheGranted { program, amount });
    shard.isFlushRequested_ = true;
    return {};
}

Effects admitCall(Shard& shard, const Call& call, const ShardContext& context)
{
    Effects effects = decideAdmission(shard, call, context);
    for (Effect& effect : effects) {
        auto* refusal = std::get_if<ReplyProblem>(&effect);
        if (refusal && refusal->problem_.runState_ == RunState::NotRun)
            refusal->problem_.mayHaveRunEarlier_ |= call.kind_ == CallKind::AtMostOnceService;
    }
    return effects;
}

bool isPossiblyStale(const Shard& shard, const ProgramId& program, CallNumber number)
{
    auto active = shard.active_.find(program);
    if (active != shard.active_.end())
        return number.value_ > active->second.lastCall_.value_ + 1;
    auto known = shard.ledger_.programs_.find(program);
    return known == shard.ledger_.programs_.end() || number.value_ > known->second.lastCall_.value_ + 1;
}

} // namespace fescue
