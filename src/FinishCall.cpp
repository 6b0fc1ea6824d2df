#include "FinishCall.h"

#include "Transcript.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    // Appends the assistant's message to the history, which the next call must start with.
    void extendHistory(RunningCall& running, const std::string& answerMessage)
    {
        auto message = nlohmann::json::parse(answerMessage, nullptr, false);
        if (message.is_discarded())
            return;
        running.head_ = extendHead(running.head_, message);
        auto added = nlohmann::json::parse(running.newMessages_);
        added.push_back(message);
        running.newMessages_ = added.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void recordOutcome(
        Shard& shard, ActiveProgram& active, RunningCall& running, const ExecutionResult& result)
    {
        const Call& call = running.call_;
        CallFinished finished { call.program_, call.number_, call.fingerprint_, result.outcome_, result.used_,
            {}, {}, {} };
        if (call.kind_ == CallKind::Model) {
            extendHistory(running, result.answerMessage_);
            active.head_ = running.head_;
            active.contextTokens_ = result.contextTokens_;
            finished.contextTokens_ = result.contextTokens_;
            finished.head_ = running.head_;
            finished.newMessages_ = running.newMessages_;
        }
        active.lastCall_ = call.number_;
        addRecentCall(active.recentCalls_, { call.number_, call.fingerprint_, result.outcome_ });
        enqueueRecord(shard, std::move(finished));
        // An at-most-once call is not run again, so a retry can get its answer only from the log.
        shard.isFlushRequested_ = shard.isFlushRequested_ || call.kind_ == CallKind::AtMostOnceService;
    }

    ReplyProblem refusalOf(RunningCall& running, Problem problem)
    {
        if (running.refusalRunState_ == RunState::Unknown)
            problem.runState_ = RunState::Unknown;
        return { std::move(running.requests_), std::move(problem) };
    }

    // An engine may count more tokens than were reserved. The excess is spent, so it is granted too;
    // otherwise the next owner would not count it.
    void grantOverrun(Shard& shard, const ProgramId& program, ActiveProgram& active)
    {
        TokenCount missing { -(active.trancheLeft_ + active.tranchePending_).value_ };
        TokenCount amount = std::min(missing, active.ungranted_);
        if (amount.value_ <= 0)
            return;
        active.tranchePending_ += amount;
        active.ungranted_ -= amount;
        enqueueRecord(shard, TrancheGranted { program, amount });
    }

    Effects finishOrphanedCall(Shard& shard, ExecutionId execution, const ExecutionResult& result)
    {
        auto found = shard.orphanedCalls_.find(execution);
        if (found == shard.orphanedCalls_.end())
            return {};
        RunningCall running = std::move(found->second);
        shard.orphanedCalls_.erase(found);
        switch (result.kind_) {
        case ExecutionResult::Kind::Answered:
            return { ReplyOutcome { running.requests_, result.outcome_, {} } };
        case ExecutionResult::Kind::NotRun:
        case ExecutionResult::Kind::Unknown:
            if (running.call_.kind_ == CallKind::AtMostOnceService)
                return { ReplyOutcome { running.requests_,
                    unknownOutcome("another VM took over the program while the call was being sent"), {} } };
            return { refusalOf(running, result.problem_) };
        case ExecutionResult::Kind::Failed:
            return { ReplyProblem { running.requests_, result.problem_ } };
        }
        return {};
    }

} // namespace

Effects finishCall(Shard& shard, const ProgramId& program, ExecutionId execution,
    const ExecutionResult& result, const ShardContext& context)
{
    auto found = shard.active_.find(program);
    if (found == shard.active_.end() || !found->second.running_
        || found->second.running_->execution_ != execution)
        return finishOrphanedCall(shard, execution, result);
    ActiveProgram& active = found->second;
    RunningCall running = std::move(*active.running_);
    active.running_.reset();
    active.lastUsedAt_ = context.now_;
    active.trancheLeft_ += running.reserved_ - result.used_;
    grantOverrun(shard, program, active);
    switch (result.kind_) {
    case ExecutionResult::Kind::Answered:
    case ExecutionResult::Kind::Unknown:
        recordOutcome(shard, active, running, result);
        return { ReplyOutcome { running.requests_, result.outcome_, active.durableCall_ } };
    case ExecutionResult::Kind::NotRun:
        if (running.call_.kind_ == CallKind::AtMostOnceService)
            enqueueRecord(shard, IntentWithdrawn { program, running.call_.number_ });
        return { refusalOf(running, result.problem_) };
    case ExecutionResult::Kind::Failed:
        active.failedCall_ = running.call_.number_;
        return { ReplyProblem { running.requests_, result.problem_ } };
    }
    return {};
}

bool reserveAnotherAttempt(Shard& shard, const ProgramId& program, ExecutionId execution)
{
    auto found = shard.active_.find(program);
    if (found == shard.active_.end() || !found->second.running_)
        return false;
    ActiveProgram& active = found->second;
    RunningCall& running = *active.running_;
    if (running.execution_ != execution || active.trancheLeft_ < running.attemptReservation_)
        return false;
    active.trancheLeft_ -= running.attemptReservation_;
    running.reserved_ += running.attemptReservation_;
    return true;
}

} // namespace fescue
