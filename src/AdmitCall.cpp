#include "AdmitCall.h"

#include "Transcript.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    constexpr Milliseconds logRetryAfter { 2000 };
    constexpr Milliseconds ownerRetryAfter { 200 };

    Effects refuse(const Call& call, ProblemKind kind, RunState run, std::string detail,
        std::optional<Milliseconds> retryAfter = std::nullopt)
    {
        return { ReplyProblem { { call.request_ }, { kind, run, std::move(detail), retryAfter } } };
    }

    // Without the log an owner cannot know whether a successor has run the call meanwhile: it may have been
    // paused. So only calls that may be repeated are told for certain that they did not run.
    RunState runStateUnconfirmed(const Call& call)
    {
        return call.kind_ == CallKind::AtMostOnceService ? RunState::Unknown : RunState::NotRun;
    }

    Effects refuseForLog(const Call& call)
    {
        return refuse(call, ProblemKind::LogUnavailable, runStateUnconfirmed(call),
            "the log service does not answer, and this call needs a record before it runs; send it again "
            "later",
            logRetryAfter);
    }

    const FinishedCall* findFinished(const ActiveProgram& active, CallNumber number)
    {
        auto found = std::find_if(active.recent_.begin(), active.recent_.end(),
            [number](const FinishedCall& finished) { return finished.call_ == number; });
        return found == active.recent_.end() ? nullptr : &*found;
    }

    Effects refuseReusedNumber(const Call& call)
    {
        return refuse(call, ProblemKind::CallKeyReused, RunState::NotRun,
            "call " + std::to_string(call.number_.value_)
                + " was sent before with another content; give the new content the next call number");
    }

    Effects answerRepeat(const ActiveProgram& active, const Call& call)
    {
        const FinishedCall* finished = findFinished(active, call.number_);
        if (!finished)
            return refuse(call, ProblemKind::AnswerNoLongerHeld, RunState::Final,
                "the call has finished and its answer is no longer held; it is in the program's history");
        if (finished->fingerprint_ != call.fingerprint_)
            return refuseReusedNumber(call);
        return { ReplyOutcome { { call.request_ }, finished->outcome_, active.durableCall_ } };
    }

    Effects joinRunning(RunningCall& running, const Call& call)
    {
        if (running.call_.fingerprint_ != call.fingerprint_)
            return refuseReusedNumber(call);
        if (running.abandoned_)
            return refuseForLog(call);
        running.requests_.push_back(call.request_);
        return { AttachRequest { call.request_, call.program_, call.number_ } };
    }

    std::optional<Effects> refuseByOrder(
        const ActiveProgram& active, const Call& call, const ShardContext& context)
    {
        if (active.ended_)
            return refuse(call, ProblemKind::ProgramEnded, RunState::NotRun,
                "the program has ended (" + active.endReason_ + "); create a new one");
        if (active.running_ || call.number_.value_ != active.lastCall_.value_ + 1)
            return refuse(call, ProblemKind::CallOutOfOrder, runStateUnconfirmed(call),
                "the program's last finished call is " + std::to_string(active.lastCall_.value_)
                    + (active.running_ ? " and the next is still running" : "")
                    + "; send its calls one by one, numbered from 1");
        if (context.now_ < active.notBefore_)
            return refuse(call, ProblemKind::HomeUnreachable, runStateUnconfirmed(call),
                "the program's earlier owner may still be sending a call; send this one again shortly",
                active.notBefore_ - context.now_);
        return std::nullopt;
    }

    TokenCount notYetGranted(const Shard& shard, const ProgramId& program, const ActiveProgram& active)
    {
        auto known = shard.ledger_.programs_.find(program);
        if (known == shard.ledger_.programs_.end())
            return {};
        return known->second.budget_ - known->second.granted_ - active.trancheAsked_;
    }

    Effects admitModelCall(Shard& shard, ActiveProgram& active, const Call& call, const ShardContext& context)
    {
        auto messages = nlohmann::json::parse(call.messages_, nullptr, false);
        auto delta = continueTranscript(active.head_, messages, call.bodySize_);
        if (!delta)
            return { ReplyProblem { { call.request_ }, delta.error() } };
        RunningCall running;
        running.call_ = call;
        running.call_.messages_.clear();
        running.phase_ = RunningCall::Phase::AwaitsTranche;
        running.reserved_ = active.contextTokens_ + TokenCount { delta->newBytes_.value_ } + call.maxTokens_;
        running.head_ = delta->head_;
        running.newMessages_ = delta->newMessages_;
        running.requests_ = { call.request_ };
        running.since_ = context.now_;
        active.running_ = std::move(running);
        return startWhenFunded(shard, call.program_, active, context);
    }

    Effects admitServiceCall(
        Shard& shard, ActiveProgram& active, const Call& call, const ShardContext& context)
    {
        bool needsIntent = call.kind_ == CallKind::AtMostOnceService;
        if (needsIntent && shard.isLogDown_)
            return refuseForLog(call);
        RunningCall running;
        running.call_ = call;
        running.requests_ = { call.request_ };
        running.since_ = context.now_;
        running.sendBefore_ = context.now_ + context.limits_.intentSendWindow_;
        running.phase_ = RunningCall::Phase::AwaitsIntent;
        active.running_ = std::move(running);
        if (!needsIntent)
            return { startExecution(shard, active, *active.running_) };
        record(shard, CallIntent { call.program_, call.number_, call.fingerprint_ });
        shard.isUrgent_ = true;
        return {};
    }

} // namespace

Effects startWhenFunded(
    Shard& shard, const ProgramId& program, ActiveProgram& active, const ShardContext& context)
{
    RunningCall& running = *active.running_;
    if (active.trancheLeft_ >= running.reserved_) {
        active.trancheLeft_ -= running.reserved_;
        return { startExecution(shard, active, running) };
    }
    if (active.trancheAsked_.value_ > 0)
        return {};
    TokenCount missing = running.reserved_ - active.trancheLeft_;
    TokenCount remaining = notYetGranted(shard, program, active);
    Call call = running.call_;
    if (remaining < missing) {
        TokenCount left = active.trancheLeft_ + remaining;
        std::string worst = std::to_string(running.reserved_.value_);
        active.running_.reset();
        return refuse(call, ProblemKind::BudgetExceeded, RunState::NotRun,
            "the call may use up to " + worst + " tokens and the program has " + std::to_string(left.value_)
                + " left; lower max_tokens or create the program with a larger budget");
    }
    if (shard.isLogDown_) {
        active.running_.reset();
        return refuseForLog(call);
    }
    TokenCount amount = std::min(remaining, std::max(missing, context.limits_.trancheSize_));
    active.trancheAsked_ = amount;
    record(shard, TrancheGranted { program, amount });
    shard.isUrgent_ = true;
    return {};
}

Effects callArrived(Shard& shard, const Call& call, const ShardContext& context)
{
    if (shard.epoch_.value_ == 0)
        return refuse(call, ProblemKind::NotOwner, RunState::Unknown,
            "this VM does not own the program's shard; send the call again", ownerRetryAfter);
    ActiveProgram* active = findActive(shard, call.program_, context);
    if (!active || active->workspace_ != call.workspace_)
        return refuse(call, ProblemKind::UnknownProgram, RunState::Unknown,
            "the program is not known here: it ended long ago, or never was; create a new one");
    active->lastUse_ = context.now_;
    if (call.number_ <= active->lastCall_)
        return answerRepeat(*active, call);
    if (active->running_ && active->running_->call_.number_ == call.number_)
        return joinRunning(*active->running_, call);
    if (auto refusal = refuseByOrder(*active, call, context))
        return *refusal;
    if (shard.outbox_.size() >= context.limits_.outboxRecords_)
        return refuseForLog(call);
    if (call.kind_ == CallKind::Model)
        return admitModelCall(shard, *active, call, context);
    return admitServiceCall(shard, *active, call, context);
}

} // namespace fescue
