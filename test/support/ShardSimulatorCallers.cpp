// The callers of ShardSimulator: they send requests and process the answers.

#include "AdmitCall.h"
#include "ShardSimulator.h"

#include <algorithm>
#include <array>

namespace fescue::test {

using nlohmann::json;

namespace {

    constexpr TokenCount programBudget { 800 };
    const WorkspaceId workspace { "workspace" };

} // namespace

json historyMessage(const char* role, const ProgramId& program, const std::string& text)
{
    return { { "role", role }, { "content", program.value_ + ":" + text } };
}

Call ShardSimulator::makeCall(const Client& client, int a, int b)
{
    static constexpr std::array<int, 16> distances { 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 0, 0, 2, -1, -1, -5 };
    auto number = std::max<std::int64_t>(
        client.last_.value_ + distances[static_cast<std::size_t>(a / 8) % distances.size()], 1);
    Call call;
    call.request_ = nextRequest();
    call.workspace_ = workspace;
    call.program_ = client.program_;
    call.number_ = { static_cast<std::uint32_t>(number) };
    static constexpr std::array<CallKind, 5> kinds { CallKind::AtMostOnceService, CallKind::Model,
        CallKind::Model, CallKind::AtMostOnceService, CallKind::RepeatableService };
    call.kind_ = kinds[(call.number_.value_ + std::hash<ProgramId>()(client.program_)) % kinds.size()];
    std::string text = std::to_string(number) + (b % 8 == 0 ? ":other" : "");
    call.fingerprint_ = text;
    if (call.kind_ != CallKind::Model)
        return call;
    auto historyOf = [&call](const Client& source) {
        auto history = source.histories_.find({ call.number_.value_ - 1 });
        return history == source.histories_.end() || history->second.is_null() ? json::array()
                                                                               : history->second;
    };
    json messages = historyOf(client);
    if (b / 8 % 16 == 0 && !messages.empty())
        messages = historyOf(*pick(clients_, b));
    messages.push_back(historyMessage("user", client.program_, text));
    call.messages_ = messages.dump();
    call.fingerprint_ = call.messages_;
    call.bodySize_ = { static_cast<std::int64_t>(call.messages_.size()) };
    call.maxTokens_ = { 20 };
    return call;
}

void ShardSimulator::submitCall(Owner& owner, int a, int b)
{
    Client* client = pick(clients_, a);
    if (!client)
        return;
    if (owner.shard_.epoch_.value_ == 0 && b % 4 == 0)
        return claim(owner);
    if (owner.shard_.epoch_.value_ == 0 && b % 16 != 1)
        return;
    Call call = makeCall(*client, a, b);
    calls_[call.request_] = call;
    unanswered_.insert(call.request_);
    oracle_.requested(call.request_, { call.program_, call.number_, call.fingerprint_, call.kind_ });
    handleEffects(owner, admitCall(owner.shard_, call, context()));
}

void ShardSimulator::create(Owner& owner, int a)
{
    constexpr std::size_t maxClients = 4;
    if (owner.shard_.epoch_.value_ == 0 || clients_.size() >= maxClients)
        return;
    CreateProgram create { nextRequest(), { "p" + std::to_string(++lastProgram_) }, workspace, {},
        programBudget };
    Client* parent = pick(clients_, a / 2);
    if (parent && a % 2 == 0) {
        create.parent_ = parent->program_;
        create.budget_ = { 150 };
    }
    oracle_.requested(create.request_, {});
    oracle_.created(create.program_, create.parent_, create.budget_);
    handleEffects(owner, createProgram(owner.shard_, create, context()));
}

void ShardSimulator::end(Owner& owner, int a)
{
    Client* client = pick(clients_, a);
    if (!client || owner.shard_.epoch_.value_ == 0)
        return;
    EndProgram end { nextRequest(), workspace, client->program_, "ended" };
    ends_[end.request_] = end;
    oracle_.requested(end.request_, {});
    handleEffects(owner, endProgram(owner.shard_, end, context()));
}

bool ShardSimulator::dropsAnswer() { return mutant_ == Mutant::DropsAnswers && lastRequest_ % 4 == 0; }

void ShardSimulator::sendProblem(Owner& owner, RequestId request, const Problem& problem)
{
    bool mayHaveRunEarlier = problem.mayHaveRunEarlier_ && mutant_ != Mutant::OmitsEarlierAttempts;
    oracle_.answered(request, problem.runState_, owner.shard_.epoch_, mayHaveRunEarlier);
    if (mutant_ == Mutant::RefusesAndSends && problem.mayHaveRunEarlier_)
        oracle_.sent({ {}, calls_[request], { request }, owner.shard_.epoch_, {}, {}, std::nullopt });
}

void ShardSimulator::handle(Owner& owner, const ReplyProblem& reply)
{
    for (RequestId request : reply.requests_) {
        if (mutant_ == Mutant::DelaysRefusals && request.value_ % 4 == 0) {
            delayedRefusals_[request] = reply.problem_;
            continue;
        }
        unanswered_.erase(request);
        if (dropsAnswer())
            continue;
        sendProblem(owner, request, reply.problem_);
        ++stats_["problem " + std::string(nameOf(reply.problem_.kind_))];
        const ProgramId& program = calls_[request].program_;
        bool isUnknown = reply.problem_.kind_ == ProblemKind::UnknownProgram;
        if (isUnknown)
            oracle_.reportedUnknown(request, owner.shard_.epoch_);
        if (isUnknown || reply.problem_.kind_ == ProblemKind::OutcomeUnknown)
            forgetClient(program);
        if (reply.problem_.kind_ != ProblemKind::CallOutOfOrder)
            continue;
        for (Client& client : clients_) {
            if (client.program_ == program && client.last_.value_ > 0)
                client.last_ = client.last_ - CallNumber { 1 };
        }
    }
}

// Drops the client in one of three cases, so that most calls are for known programs and some are not.
void ShardSimulator::forgetClient(const ProgramId& program)
{
    auto found = std::find_if(clients_.begin(), clients_.end(),
        [&program](const Client& client) { return client.program_ == program; });
    if (found != clients_.end() && lastRequest_ % 3 == 0)
        clients_.erase(found);
}

void ShardSimulator::handle(Owner&, const ReplyOutcome& reply)
{
    for (RequestId request : reply.requests_) {
        unanswered_.erase(request);
        oracle_.answeredOutcome(request, reply.outcome_, reply.durableCall_);
        const Call& call = calls_[request];
        ++stats_["outcome " + std::string(nameOf(reply.outcome_.runState_))];
        for (Client& client : clients_) {
            if (client.program_ != call.program_)
                continue;
            client.last_ = std::max(client.last_, call.number_);
            auto history = histories_.find(reply.outcome_.body_);
            if (history != histories_.end())
                client.histories_[call.number_] = history->second;
            else if (call.number_.value_ > 0)
                client.histories_[call.number_] = client.histories_[{ call.number_.value_ - 1 }];
        }
    }
}

void ShardSimulator::handle(Owner& owner, const ReplyFromLog& reply)
{
    std::optional<Batch> batch;
    if (isLogUp_ && reply.offset_.value_ > expiredEntryCount())
        batch = log_[reply.offset_.value_ - 1].batch_;
    ++stats_[batch ? "answered from the log" : "no longer in the log"];
    handleEffects(owner, answerFromLog(reply, batch));
}

// The gateway forwards the request; if the VM does not answer, the run state is unknown.
void ShardSimulator::handle(Owner&, const ReplyMoved& reply)
{
    for (Owner& owner : owners_) {
        if (owner.vm_ != reply.to_)
            continue;
        for (RequestId request : reply.requests_) {
            ++stats_["moved"];
            if (owner.isFrozen_) {
                unanswered_.erase(request);
                oracle_.answered(request, RunState::Unknown);
                continue;
            }
            auto end = ends_.find(request);
            handleEffects(owner,
                end != ends_.end() ? endProgram(owner.shard_, end->second, context())
                                   : admitCall(owner.shard_, calls_[request], context()));
        }
    }
}

void ShardSimulator::handle(Owner&, const ReplyProgram& reply)
{
    oracle_.answered(reply.request_, RunState::Final);
    bool isKnown = std::any_of(clients_.begin(), clients_.end(),
        [&reply](const Client& client) { return client.program_ == reply.program_; });
    if (!isKnown)
        clients_.push_back({ reply.program_, {}, {} });
}

} // namespace fescue::test
