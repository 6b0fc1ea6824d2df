#include "SoakLedger.h"

#include <fmt/format.h>

namespace fescue::test {

namespace {

    constexpr std::uint32_t mostRunsOfARead = 2; // As its route says.

    std::int64_t eventsIn(const std::string& body)
    {
        std::int64_t events = 0;
        for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
            ++events;
        return events;
    }

    void handOut(SoakLedger& ledger, const SoakRequest& request, const std::string& body)
    {
        if (request.kind_ == SoakKind::Turn)
            ledger.programs_[request.program_].handed_ += eventsIn(body) * soakTokensPerEvent;
    }

    bool promisesNotRun(int status)
    {
        const std::set<int> promises { 402, 408, 421, 429, 503 };
        return promises.count(status) > 0;
    }

} // namespace

std::string soakBody(const std::string& request, SoakKind kind)
{
    std::size_t seed = std::hash<std::string> {}(request);
    if (kind != SoakKind::Turn) {
        constexpr std::size_t mostPadding = 3000;
        return "result of " + request + std::string(seed % mostPadding, '.');
    }
    std::string body;
    for (std::size_t event = 1; event <= 2 + seed % 3; ++event)
        body += fmt::format("id: {}\ndata: {}.{}\n\n", event, request, event);
    return body;
}

void soakRan(SoakLedger& ledger, const std::string& id, const std::string& target)
{
    auto found = ledger.requests_.find(id);
    if (found == ledger.requests_.end()) {
        ledger.broken_.push_back(fmt::format("{} ran {}, which nobody sent", target, id));
        return;
    }
    SoakRequest& request = found->second;
    ++request.runs_;
    std::uint32_t most = request.kind_ == SoakKind::Read ? mostRunsOfARead : 1;
    if (request.runs_ > most)
        ledger.broken_.push_back(fmt::format("{} ran {} times, last at {}", id, request.runs_, target));
}

void soakAnswered(
    SoakLedger& ledger, const std::string& id, int status, bool isStamped, const std::string& body)
{
    SoakRequest& request = ledger.requests_[id];
    request.status_ = status;
    request.wasPromisedNotRun_ = promisesNotRun(status) && !isStamped;
    handOut(ledger, request, status == 200 ? body : std::string());
    if (status == 404 || status == 400)
        ledger.broken_.push_back(fmt::format("{} was answered {}, though it is proper", id, status));
    if (status != 200)
        return;
    if (!isStamped)
        ledger.broken_.push_back(fmt::format("{} succeeded without a target's stamp", id));
    if (body != soakBody(id, request.kind_))
        ledger.broken_.push_back(
            fmt::format("{} succeeded with {} bytes that are not its target's body", id, body.size()));
}

void soakBroke(SoakLedger& ledger, const std::string& id, const std::string& body)
{
    handOut(ledger, ledger.requests_[id], body);
}

void soakSettle(SoakLedger& ledger)
{
    for (const auto& [id, request] : ledger.requests_) {
        if (request.wasPromisedNotRun_ && request.runs_ > 0)
            ledger.broken_.push_back(
                fmt::format("{} was refused with {} as not run, and ran", id, request.status_));
    }
    for (const auto& [id, program] : ledger.programs_) {
        if (program.handed_ > program.budget_ + soakTurnMost)
            ledger.broken_.push_back(fmt::format(
                "program {} got {} tokens, its budget is {}", id, program.handed_, program.budget_));
    }
}

} // namespace fescue::test
