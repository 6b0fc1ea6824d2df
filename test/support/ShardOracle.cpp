#include "ShardOracle.h"

#include "Transcript.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue::test {

void ShardOracle::fail(const std::string& what)
{
    if (violation_.empty())
        violation_ = what;
}

void ShardOracle::appended(LogOffset offset, const Batch& batch)
{
    Sequence& last = sequences_[batch.writer_];
    if (batch.sequence_ <= last)
        return;
    last = batch.sequence_;
    if (batch.epoch_.value_ == 0) {
        epoch_ = { offset.value_ };
        return;
    }
    if (batch.epoch_ != epoch_)
        return;
    currentOffset_ = offset;
    for (const RecordBody& body : batch.records_)
        std::visit([this](const auto& record) { note(record); }, body);
}

void ShardOracle::note(const ProgramCreated& created)
{
    this->created(created.program_, created.parent_, created.budget_);
    programs_[created.program_].createdAt_ = currentOffset_;
}

void ShardOracle::note(const CallFinished& finished)
{
    ObservedProgram& program = programs_[finished.program_];
    CallNumber last = program.finished_.empty() ? CallNumber {} : program.finished_.rbegin()->first;
    if (finished.call_.value_ != last.value_ + 1)
        fail("d: the recorded calls of a program are not consecutive");
    program.finished_[finished.call_] = finished.outcome_;
    if (finished.newMessages_.empty())
        return;
    for (const auto& message : nlohmann::json::parse(finished.newMessages_)) {
        if (message["content"].get<std::string>().find(finished.program_.value_) != 0)
            fail("d: a message of another program is in the history");
        program.head_ = extendHead(program.head_, message);
    }
    if (program.head_ != finished.head_)
        fail("d: the recorded head does not follow from the recorded messages");
}

void ShardOracle::requested(RequestId request, const Attempt& attempt)
{
    attempts_[request] = attempt;
    attempts_[request].sentCallsBefore_ = sentCalls_.size();
}

void ShardOracle::created(const ProgramId& program, const ProgramId& parent, TokenCount budget)
{
    ObservedProgram& observed = programs_[program];
    observed.parent_ = parent;
    observed.budget_ = budget;
}

// Within an epoch the calls of a program run one at a time and in order. A later epoch may rerun a repeatable
// call whose answer was lost with its owner, but an at-most-once call is never sent after a later call of a
// later epoch.
void ShardOracle::checkOrder(const SentCall& sentCall)
{
    for (std::size_t index : programs_[sentCall.program_].sentCalls_) {
        const SentCall& earlier = sentCalls_[index];
        bool isSameEpoch = earlier.epoch_ == sentCall.epoch_;
        if (isSameEpoch && (!earlier.isOver_ || earlier.number_ > sentCall.number_))
            fail("c: two calls of a program run concurrently or out of order");
        bool isOnce = sentCall.kind_ == CallKind::AtMostOnceService;
        if (isOnce && earlier.epoch_ > sentCall.epoch_ && earlier.number_ > sentCall.number_)
            fail("c: a call is sent after a later call of a later owner");
        if (isOnce && earlier.kind_ == sentCall.kind_ && earlier.number_ == sentCall.number_)
            fail("a: an at-most-once call is sent twice");
    }
}

void ShardOracle::checkNotRun(RequestId request)
{
    const Attempt& attempt = attempts_[request];
    if (attempt.isNotRun_ && attempt.mayHaveRunEarlier_)
        fail("h: a request runs after its caller was told that it did not");
    else if (attempt.isNotRun_)
        fail("b: a call runs after its caller was told that it did not");
}

std::size_t ShardOracle::sent(const ExecuteCall& execute)
{
    const Call& call = execute.call_;
    SentCall sentCall { call.program_, call.number_, call.fingerprint_, call.kind_, execute.epoch_,
        execute.requests_, execute.reserved_ };
    checkOrder(sentCall);
    for (RequestId request : execute.requests_)
        checkNotRun(request);
    ObservedProgram& program = programs_[call.program_];
    program.spent_ += execute.reserved_;
    program.sentCalls_.push_back(sentCalls_.size());
    sentCalls_.push_back(std::move(sentCall));
    checkBudgets();
    return sentCalls_.size() - 1;
}

void ShardOracle::finished(std::size_t index, TokenCount used)
{
    SentCall& sentCall = sentCalls_[index];
    sentCall.isOver_ = true;
    programs_[sentCall.program_].spent_ += used - sentCall.reserved_;
    checkBudgets();
}

TokenCount ShardOracle::spentWithChildren(const ProgramId& id) const
{
    TokenCount spent = programs_.at(id).spent_;
    for (const auto& [other, program] : programs_) {
        if (program.parent_ == id)
            spent += spentWithChildren(other);
    }
    return spent;
}

void ShardOracle::checkBudgets()
{
    for (const auto& [id, program] : programs_) {
        if (spentWithChildren(id) > program.budget_)
            fail("e: a program's budget is exceeded");
    }
}

void ShardOracle::attached(RequestId request, std::size_t sentCall)
{
    checkNotRun(request);
    sentCalls_[sentCall].requests_.push_back(request);
}

// If the answer says that earlier requests may have run, `not-run` covers this request only.
void ShardOracle::checkNotSent(RequestId request)
{
    for (const SentCall& sentCall : sentCalls_) {
        const auto& requests = sentCall.requests_;
        if (std::find(requests.begin(), requests.end(), request) != requests.end())
            fail("h: a request that was sent is reported as not run");
    }
}

// Otherwise `not-run` of an at-most-once call covers everything that any owner sent before the request, and
// everything that the answering owner sent. Concurrent attempts at two owners each have their own answer. For
// a repeatable call it covers the answering owner only.
void ShardOracle::answered(RequestId request, RunState run, Epoch epoch, bool mayHaveRunEarlier)
{
    Attempt& attempt = attempts_[request];
    if (attempt.isAnswered_)
        fail("g: a request is answered twice");
    attempt.isAnswered_ = true;
    if (run != RunState::NotRun)
        return;
    attempt.isNotRun_ = true;
    attempt.mayHaveRunEarlier_ = mayHaveRunEarlier;
    checkNotSent(request);
    if (mayHaveRunEarlier)
        return;
    for (std::size_t index = 0; index < sentCalls_.size(); ++index) {
        const SentCall& sentCall = sentCalls_[index];
        bool isEarlier = attempt.kind_ == CallKind::AtMostOnceService && index < attempt.sentCallsBefore_;
        if (!isEarlier && sentCall.epoch_ != epoch)
            continue;
        if (sentCall.program_ == attempt.program_ && sentCall.number_ == attempt.number_
            && sentCall.fingerprint_ == attempt.fingerprint_)
            fail("b: a call that was sent is reported as not run");
    }
}

void ShardOracle::answersDelayed(const std::set<RequestId>& requests)
{
    if (!requests.empty())
        fail("i: request " + std::to_string(requests.begin()->value_) + " is refused and its answer delayed");
}

void ShardOracle::answeredOutcome(RequestId request, const Outcome& outcome, CallNumber durable)
{
    answered(request, outcome.runState_);
    const Attempt& attempt = attempts_[request];
    const ObservedProgram& program = programs_[attempt.program_];
    for (std::uint32_t number = 1; number <= durable.value_; ++number) {
        if (program.finished_.count({ number }) == 0)
            fail("d: a call is reported durable and is not in the log");
    }
    auto recorded = program.finished_.find(attempt.number_);
    if (attempt.number_ <= durable && recorded != program.finished_.end()
        && recorded->second.body_ != outcome.body_)
        fail("d: a durable answer was replaced");
}

void ShardOracle::reportedUnknown(RequestId request, Epoch epoch)
{
    auto found = programs_.find(attempts_[request].program_);
    if (found == programs_.end() || found->second.createdAt_.value_ == 0)
        return;
    if (found->second.createdAt_.value_ < epoch.value_)
        fail("d: a program in the log is unknown to a later owner");
}

void ShardOracle::compared(const std::string& one, const std::string& other)
{
    if (one != other)
        fail("f: two readers of the same records hold different ledgers");
}

void ShardOracle::finish()
{
    for (const auto& [request, attempt] : attempts_) {
        if (!attempt.isAnswered_)
            fail("g: request " + std::to_string(request.value_) + " has no answer");
    }
}

} // namespace fescue::test
