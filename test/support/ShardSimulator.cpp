#include "ShardSimulator.h"

#include "AdmitCall.h"
#include "FinishCall.h"
#include "LedgerSnapshot.h"
#include "ShardLog.h"

#include <algorithm>
#include <array>

namespace fescue::test {

using nlohmann::json;

namespace {

    constexpr int ownerCount = 3;
    constexpr Milliseconds retention { 12000 };
    const ShardKey key { { "zone" }, { 0 } };

} // namespace

ShardSimulator::ShardSimulator(Mutant mutant)
    : mutant_(mutant)
{
    limits_.confirmationTimeout_ = Milliseconds { 3000 };
    limits_.programIdleTimeout_ = Milliseconds { 30000 };
    limits_.trancheSize_ = { 200 };
    limits_.maxOutboxRecords_ = 64;
    limits_.evictAfter_ = Milliseconds { 2000 };
    limits_.maxEntriesPerSnapshot_ = 12;
    limits_.snapshotInterval_ = Milliseconds { 2000 };
    for (int i = 0; i < ownerCount; ++i) {
        Owner owner;
        owner.shard_.ledger_.shard_ = key;
        owner.vm_ = { "vm" + std::to_string(i) };
        owner.writer_ = { "writer" + std::to_string(i) };
        owners_.push_back(std::move(owner));
    }
}

// Numbers below `ownerCount` select an owner; the others select the owner of the newest epoch.
Owner& ShardSimulator::ownerOf(int number)
{
    if (number < ownerCount)
        return owners_[static_cast<std::size_t>(number)];
    return *std::max_element(owners_.begin(), owners_.end(),
        [](const Owner& a, const Owner& b) { return a.shard_.epoch_ < b.shard_.epoch_; });
}

void ShardSimulator::run(const Step& step)
{
    this->step(step);
    checkNoAnswerDelayed();
}

void ShardSimulator::step(const Step& step)
{
    Owner& owner = ownerOf(step.owner_);
    if (step.kind_ == 0)
        owner.isFrozen_ = !owner.isFrozen_ && step.a_ % 2 == 0;
    if (step.kind_ == 1)
        isLogUp_ = !isLogUp_ || step.a_ % 3 != 0;
    if (step.kind_ == 2)
        now_ += Milliseconds { (1 << step.a_ % 12) };
    if (step.kind_ == 3)
        deliverDelayed(step.a_);
    if (step.kind_ == 3 && step.b_ % 4 == 0)
        forget(owner);
    if (step.kind_ == 19 && step.a_ % 3 == 0)
        return pauseAndTakeOver(owner, step.a_, step.b_);
    if (owner.isFrozen_)
        return;
    switch (step.kind_) {
    case 4:
        return create(owner, step.a_);
    case 5:
        if (step.b_ % 16 == 1)
            returnUnspentTranches(owner.shard_);
        return step.b_ % 16 == 0 ? end(owner, step.a_) : tick(owner);
    case 6:
        return step.a_ % 3 == 0 ? claim(owner) : read(owner, 1);
    case 7:
    case 8:
    case 9:
        return append(owner, step.a_);
    case 10:
    case 11:
        return read(owner, 1 + step.a_ % 4);
    case 12:
        return send(owner, step.a_);
    case 13:
    case 14:
        send(owner, step.a_);
        return answer(owner, step.a_, step.b_);
    case 15:
    case 16:
    case 17:
    case 18:
        return submitCall(owner, step.a_, step.b_);
    default:
        return;
    }
}

// Pauses an owner between a decision and its effects while another one takes over; sometimes also advances
// the time past the send window of open intents.
void ShardSimulator::pauseAndTakeOver(Owner& paused, int a, int b)
{
    Owner& next = owners_[static_cast<std::size_t>(a / 3) % owners_.size()];
    if (&next == &paused || !isLogUp_)
        return;
    paused.isFrozen_ = b % 2 == 0;
    next.isFrozen_ = false;
    read(next, static_cast<int>(log_.size()));
    claim(next);
    append(next, 0);
    read(next, static_cast<int>(log_.size()));
    if (b % 4 < 2)
        now_ += limits_.intentSendWindow_ + limits_.clockSkewMargin_;
}

void ShardSimulator::forget(Owner& owner)
{
    if (owner.shard_.epoch_.value_ == 0 && !owner.shard_.inFlight_)
        evictState(owner.shard_);
}

void ShardSimulator::claim(Owner& owner)
{
    if (owner.shard_.epoch_.value_ == 0 && !owner.shard_.inFlight_)
        startClaim(owner.shard_, owner.writer_, owner.vm_);
}

// Outcomes of an append: 0 to 3 answered, 4 answer lost, 5 request lost, 6 appended later, 7 appended now and
// once more later.
void ShardSimulator::append(Owner& owner, int outcome)
{
    outcome = isLogUp_ ? outcome % 8 : 5;
    auto batch = takeBatch(owner.shard_, owner.writer_);
    if (!batch)
        return;
    if (mutant_ == Mutant::ConfirmsUnread && batch->epoch_.value_ != 0)
        return confirmUnread(owner, *batch);
    owner.shard_.isLogDown_ = outcome == 4 || outcome == 5;
    if (outcome >= 6)
        delayedBatches_.push_back(*batch);
    if (outcome == 5 || outcome == 6)
        return;
    appendToLog(*batch);
    if (outcome < 4 && owner.shard_.ledger_.lastReadOffset_.value_ + 1 == log_.size())
        read(owner, 1);
}

void ShardSimulator::confirmUnread(Owner& owner, const Batch& batch)
{
    delayedBatches_.push_back(batch);
    LogOffset lastRead = owner.shard_.ledger_.lastReadOffset_;
    handleEffects(owner, applyLogEntry(owner.shard_, lastRead, batch, context()));
}

void ShardSimulator::appendToLog(const Batch& batch)
{
    Batch landed = batch;
    if (mutant_ == Mutant::MixesHistories) {
        for (RecordBody& body : landed.records_) {
            if (auto* finished = std::get_if<CallFinished>(&body);
                finished && !finished->newMessages_.empty())
                finished->newMessages_ = json::array({ historyMessage("user", { "other" }, "text") }).dump();
        }
    }
    log_.push_back({ landed, now_ });
    oracle_.appended({ log_.size() }, landed);
}

void ShardSimulator::deliverDelayed(int a)
{
    Batch* batch = pick(delayedBatches_, a);
    if (!batch || !isLogUp_)
        return;
    Batch moved = std::move(*batch);
    delayedBatches_.erase(delayedBatches_.begin() + (batch - delayedBatches_.data()));
    appendToLog(moved);
}

void ShardSimulator::read(Owner& owner, int maxEntries)
{
    if (!isLogUp_) {
        owner.shard_.isLogDown_ = true;
        return;
    }
    owner.shard_.isLogDown_ = false;
    for (int i = 0; i < maxEntries && owner.shard_.ledger_.lastReadOffset_.value_ < log_.size(); ++i) {
        LogOffset offset { owner.shard_.ledger_.lastReadOffset_.value_ + 1 };
        if (offset.value_ <= expiredEntryCount()) {
            ++stats_["gap"];
            handleEffects(owner, startGapRecovery(owner.shard_, { expiredEntryCount() + 1 }));
        } else {
            readEntry(owner, offset);
        }
    }
}

void ShardSimulator::readEntry(Owner& owner, LogOffset offset)
{
    const Batch& batch = log_[offset.value_ - 1].batch_;
    bool isForeignClaim = batch.epoch_.value_ == 0 && batch.writer_ != owner.writer_;
    bool isHidden = mutant_ == Mutant::HidesClaims && isForeignClaim && owner.shard_.epoch_.value_ != 0;
    bool isSkipped = mutant_ == Mutant::SkipsEntries && offset.value_ % 7 == 0 && !isForeignClaim;
    if (isHidden || isSkipped) {
        owner.shard_.ledger_.lastReadOffset_ = offset;
        return;
    }
    bool wasComplete = owner.shard_.ledger_.isComplete_;
    handleEffects(owner, applyLogEntry(owner.shard_, offset, batch, context()));
    if (wasComplete && !owner.shard_.ledger_.isComplete_)
        ++stats_["incomplete"];
}

// Number of entries that have expired from the log.
std::size_t ShardSimulator::expiredEntryCount() const
{
    auto kept = std::find_if(log_.begin(), log_.end(),
        [this](const Entry& entry) { return now_ - entry.appendedAt_ < retention; });
    return static_cast<std::size_t>(kept - log_.begin());
}

void ShardSimulator::send(Owner& owner, int a)
{
    Execution* execution = pick(owner.executions_, a);
    if (!execution || execution->sentCall_)
        return;
    const ExecuteCall& execute = execution->execute_;
    bool isLate = execute.sendDeadline_ && now_ >= *execute.sendDeadline_;
    if (!isLate || mutant_ == Mutant::IgnoresSendDeadline) {
        execution->sentCall_ = oracle_.sent(execute);
        ++stats_["sent kind " + std::to_string(static_cast<int>(execute.call_.kind_))];
        return;
    }
    ExecutionResult result;
    result.kind_ = ExecutionResult::Kind::NotRun;
    result.problem_ = { ProblemKind::LogUnavailable, RunState::NotRun, "too late", std::nullopt };
    Execution refused = std::move(*execution);
    owner.executions_.erase(owner.executions_.begin() + (execution - owner.executions_.data()));
    handleEffects(owner,
        finishCall(
            owner.shard_, refused.execute_.call_.program_, refused.execute_.execution_, result, context()));
    if (mutant_ == Mutant::SendsRefused)
        oracle_.sent(refused.execute_);
}

void ShardSimulator::answer(Owner& owner, int a, int b)
{
    Execution* picked = pick(owner.executions_, a);
    if (!picked || !picked->sentCall_)
        return;
    Execution execution = std::move(*picked);
    owner.executions_.erase(owner.executions_.begin() + (picked - owner.executions_.data()));
    const Call& call = execution.execute_.call_;
    ExecutionResult result;
    result.kind_ = ExecutionResult::Kind::Answered;
    std::string text = "answer" + std::to_string(++lastAnswer_);
    result.outcome_ = { 200, "text/plain", text, RunState::Final };
    if (b % 4 == 0) {
        bool isOnce = call.kind_ == CallKind::AtMostOnceService;
        result.kind_ = isOnce ? ExecutionResult::Kind::Unknown : ExecutionResult::Kind::Failed;
        result.problem_ = { ProblemKind::TargetFailed, RunState::Unknown, "failed", std::nullopt };
        result.outcome_ = unknownOutcome(text);
    }
    if (call.kind_ == CallKind::Model) {
        TokenCount used { execution.execute_.reserved_.value_ * (1 + b % 5) / 5 };
        oracle_.finished(*execution.sentCall_, used);
        result.used_ = mutant_ == Mutant::UnderreportsUse ? TokenCount {} : used;
        result.contextTokens_ = used;
        json reply = historyMessage("assistant", call.program_, text);
        result.answerMessage_ = reply.dump();
        json history = json::parse(execution.message_);
        history.push_back(reply);
        histories_[text] = history;
    } else {
        oracle_.finished(*execution.sentCall_, {});
    }
    handleEffects(
        owner, finishCall(owner.shard_, call.program_, execution.execute_.execution_, result, context()));
}

void ShardSimulator::tick(Owner& owner)
{
    handleEffects(owner, tickShard(owner.shard_, context()));
    for (const auto& [request, problem] : delayedRefusals_) {
        unanswered_.erase(request);
        sendProblem(owner, request, problem);
    }
    delayedRefusals_.clear();
}

void ShardSimulator::handleEffects(Owner& owner, const Effects& effects)
{
    for (const Effect& effect : effects)
        std::visit([&](const auto& one) { handle(owner, one); }, effect);
}

void ShardSimulator::handle(Owner& owner, const ExecuteCall& execute)
{
    owner.executions_.push_back({ execute, calls_[execute.call_.request_].messages_, std::nullopt });
}

// Requests attached to a call that waits for its intent are part of its `ExecuteCall`.
void ShardSimulator::handle(Owner& owner, const AttachRequest& attach)
{
    for (Execution& execution : owner.executions_) {
        ExecuteCall& execute = execution.execute_;
        if (execute.call_.program_ != attach.program_ || execute.call_.number_ != attach.call_
            || execute.epoch_ != owner.shard_.epoch_)
            continue;
        ++stats_["attached to an execution"];
        execute.requests_.push_back(attach.request_);
        if (execution.sentCall_)
            oracle_.attached(attach.request_, *execution.sentCall_);
    }
}

// A cancelled call that was not sent is never sent; one that was sent counts with its whole reservation.
void ShardSimulator::handle(Owner& owner, const CancelCall& cancel)
{
    auto found = std::find_if(owner.executions_.begin(), owner.executions_.end(),
        [&cancel](const Execution& execution) { return execution.execute_.execution_ == cancel.execution_; });
    if (found != owner.executions_.end())
        owner.executions_.erase(found);
}

// Every unanswered request must wait for a call that is running or waits for an unconfirmed record.
void ShardSimulator::checkNoAnswerDelayed()
{
    std::set<RequestId> held = unanswered_;
    auto isWaitedFor = [&held](const RunningCall& running) {
        for (RequestId request : running.requests_)
            held.erase(request);
    };
    for (const Owner& owner : owners_) {
        for (const auto& [program, active] : owner.shard_.active_) {
            if (active.running_ && !active.running_->isAbandoned_)
                isWaitedFor(*active.running_);
        }
        for (const auto& [execution, running] : owner.shard_.orphanedCalls_)
            isWaitedFor(running);
    }
    oracle_.answersDelayed(held);
}

void ShardSimulator::runToCompletion()
{
    isLogUp_ = true;
    while (!delayedBatches_.empty())
        deliverDelayed(0);
    constexpr int rounds = 12;
    for (int round = 0; round < rounds; ++round) {
        now_ += Milliseconds { 400 };
        for (Owner& owner : owners_) {
            owner.isFrozen_ = false;
            read(owner, static_cast<int>(log_.size()));
            tick(owner);
            append(owner, 0);
            while (!owner.executions_.empty()) {
                send(owner, 0);
                answer(owner, 0, 1);
            }
        }
    }
    oracle_.finish();
    checkReaders();
}

Ledger ShardSimulator::foldAll(std::uint64_t end) const
{
    Ledger ledger { key };
    for (std::uint64_t offset = 1; offset <= end; ++offset)
        applyBatch(ledger, { offset }, log_[offset - 1].batch_);
    return ledger;
}

// Owners that recovered from a gap must hold the same ledger as a reader of the whole log.
void ShardSimulator::checkReaders()
{
    for (const Owner& owner : owners_) {
        const Ledger& ledger = owner.shard_.ledger_;
        if (ledger.isComplete_ && !owner.shard_.gapRecovery_)
            oracle_.compared(toJsonText(ledger), toJsonText(foldAll(ledger.lastReadOffset_.value_)));
    }
}

} // namespace fescue::test
