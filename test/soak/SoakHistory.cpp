#include "SoakHistory.h"

#include <fmt/format.h>

namespace fescue::test {

namespace {

    constexpr std::uint32_t maxRunsOfRead = 2; // `max-attempts` of the route.

    std::int64_t eventsIn(const std::string& body)
    {
        std::int64_t events = 0;
        for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
            ++events;
        return events;
    }

    bool isTurn(SoakRequestKind kind)
    {
        return kind == SoakRequestKind::Turn || kind == SoakRequestKind::KeptTurn;
    }

    std::string dataOf(const std::string& stream)
    {
        constexpr std::string_view field = "data: ";
        std::string data;
        for (std::size_t at = stream.find(field); at != std::string::npos; at = stream.find(field, at + 1))
            data += stream.substr(at + field.size(), stream.find('\n', at) + 1 - at - field.size());
        return data;
    }

    void addDeliveredTokens(SoakHistory& history, const SoakRequest& request, const std::string& body)
    {
        if (isTurn(request.kind_))
            history.programs_[request.program_].deliveredTokens_ += eventsIn(body) * soakTokensPerEvent;
    }

    bool impliesNotRun(int status)
    {
        const std::set<int> statuses { 402, 408, 421, 429, 503 };
        return statuses.count(status) > 0;
    }

} // namespace

std::string soakResponseBody(const std::string& request, SoakRequestKind kind)
{
    std::size_t seed = std::hash<std::string> {}(request);
    if (!isTurn(kind)) {
        constexpr std::size_t maxPadding = 3000;
        return "result of " + request + std::string(seed % maxPadding, '.');
    }
    std::string body;
    for (std::size_t event = 1; event <= 2 + seed % 3; ++event)
        body += fmt::format("id: {}\ndata: {}.{}\n\n", event, request, event);
    return body;
}

std::string soakRequestBody(const std::string& request) { return "content of " + request + "\n"; }

void checkKeptText(SoakHistory& history, const std::string& id, const std::string& body)
{
    std::string expected = soakRequestBody(id);
    std::string earlier = history.requests_[id].previous_;
    while (!earlier.empty()) {
        std::string output = dataOf(soakResponseBody(earlier, SoakRequestKind::KeptTurn));
        expected.insert(0, soakRequestBody(earlier).append(output));
        earlier = history.requests_[earlier].previous_;
    }
    if (body != expected)
        history.violations_.push_back(
            fmt::format("{} ran with a text of {} bytes instead of {}", id, body.size(), expected.size()));
}

void recordArrival(SoakHistory& history, const std::string& id, const std::string& target)
{
    constexpr Milliseconds drainTime { 2000 }; // `drain-ms` of the settings.
    const SoakRequest& request = history.requests_[id];
    auto passedOn = history.passedOnLeaving_.find({ request.vm_, target });
    if (passedOn == history.passedOnLeaving_.end() || request.sentAt_ <= passedOn->second + drainTime)
        return;
    if (history.vmDisturbedAt_[request.vm_] < passedOn->second)
        history.violations_.push_back(
            fmt::format("{} reached {} through {}, which knew that it leaves", id, target, request.vm_));
}

void recordStreamVersion(SoakHistory& history, const std::string& id, const std::string& version)
{
    const std::string& resumes = history.requests_[id].resumes_;
    if (resumes.empty())
        history.streamVersions_[id] = version;
    else if (history.streamVersions_[resumes] != version)
        history.violations_.push_back(fmt::format(
            "{} went on at {}, but its stream began at {}", id, version, history.streamVersions_[resumes]));
}

void recordPassedOn(SoakHistory& history, const std::string& id, MonotonicTime now)
{
    auto leaving = history.leavingAnswers_.find(id);
    if (leaving != history.leavingAnswers_.end())
        history.passedOnLeaving_.emplace(std::pair(history.requests_[id].vm_, leaving->second), now);
}

void recordTargetRun(SoakHistory& history, const std::string& id, const std::string& target)
{
    auto found = history.requests_.find(id);
    if (found == history.requests_.end()) {
        history.violations_.push_back(fmt::format("{} ran {}, which no caller sent", target, id));
        return;
    }
    SoakRequest& request = found->second;
    ++request.runCount_;
    std::uint32_t maxRuns = request.kind_ == SoakRequestKind::Read ? maxRunsOfRead : 1;
    if (request.runCount_ > maxRuns)
        history.violations_.push_back(
            fmt::format("{} ran {} times, last at {}", id, request.runCount_, target));
}

void recordAnswer(
    SoakHistory& history, const std::string& id, int status, bool isStamped, const std::string& body)
{
    SoakRequest& request = history.requests_[id];
    request.status_ = status;
    request.wasRefusedAsNotRun_ = impliesNotRun(status) && !isStamped;
    addDeliveredTokens(history, request, status == 200 ? body : std::string());
    if (status == 404 || status == 400)
        history.violations_.push_back(
            fmt::format("{} was answered with {} although the request is valid", id, status));
    if (status != 200)
        return;
    if (!isStamped)
        history.violations_.push_back(fmt::format("{} succeeded without a target's stamp", id));
    if (body != soakResponseBody(id, request.kind_))
        history.violations_.push_back(fmt::format(
            "{} succeeded with a body of {} bytes that differs from the target's body", id, body.size()));
}

void recordPartialAnswer(SoakHistory& history, const std::string& id, const std::string& body)
{
    addDeliveredTokens(history, history.requests_[id], body);
}

void checkFinalState(SoakHistory& history)
{
    for (const auto& [id, request] : history.requests_) {
        if (request.wasRefusedAsNotRun_ && request.runCount_ > 0)
            history.violations_.push_back(
                fmt::format("{} was refused with {}, which means not run, but it ran", id, request.status_));
    }
    for (const auto& [id, program] : history.programs_) {
        if (program.deliveredTokens_ > program.budget_ + soakMaxTurnTokens)
            history.violations_.push_back(fmt::format("program {} received {} tokens, but its budget is {}",
                id, program.deliveredTokens_, program.budget_));
    }
}

} // namespace fescue::test
