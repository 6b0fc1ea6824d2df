#include "RelayedCall.h"

#include "CborMessage.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <sstream>

namespace fescue {

namespace {

    using nlohmann::json;

    constexpr const char* outcomeHeader = "Fescue-Relay-Outcome"; // "answered", "refused" or "unavailable"
    constexpr const char* targetHeader = "Fescue-Relay-Target";
    constexpr const char* versionHeader = "Fescue-Relay-Version";
    constexpr const char* runsHeader = "Fescue-Relay-Runs";
    // "START LEAVING RATE": milliseconds since the Unix epoch, 0 or 1, and requests a second or "none".
    constexpr const char* statementHeader = "Fescue-Relay-Statement";
    constexpr const char* noRate = "none";

    // Fields of the message, in this order; then the headers, as names and values by turns, and the body.
    enum Field : std::size_t {
        Method,
        Path,
        RouteName,
        Service,
        Version,
        CachingTarget,
        HasVersion,
        TimeLeftMs,
        AttemptsLeft,
        IsRepeatable,
        IsStream,
        PriorityOfRoute,
        Headers,
        Body,
        FieldCount,
    };

    bool isValid(const json& fields)
    {
        if (!areStrings(fields, Method, HasVersion) || !areNonNegativeIntegers(fields, HasVersion, Headers)
            || !fields[Headers].is_array() || !fields[Body].is_binary())
            return false;
        const json& headers = fields[Headers];
        return headers.size() % 2 == 0 && areStrings(headers, 0, headers.size());
    }

    std::uint32_t numberOf(const std::string* text)
    {
        std::uint32_t number = 0;
        if (text)
            std::from_chars(text->data(), text->data() + text->size(), number);
        return number;
    }

    std::string encode(const RelayedStatement& statement)
    {
        return fmt::format("{} {} {}", statement.startedAt_.count(), statement.isLeaving_ ? 1 : 0,
            statement.rateLimit_ ? fmt::format("{}", *statement.rateLimit_) : noRate);
    }

    std::optional<RelayedStatement> parseStatement(const std::string* text)
    {
        if (!text)
            return std::nullopt;
        std::istringstream words(*text);
        std::int64_t startedAt = 0;
        int isLeaving = 0;
        std::string rate;
        if (!(words >> startedAt >> isLeaving >> rate) || startedAt < 0)
            return std::nullopt;
        RelayedStatement statement { Milliseconds { startedAt }, isLeaving != 0, std::nullopt };
        if (rate == noRate)
            return statement;
        double number = 0;
        const char* end = rate.data() + rate.size();
        auto parsed = std::from_chars(rate.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number) || number < 0)
            return std::nullopt;
        statement.rateLimit_ = number;
        return statement;
    }

    std::string textOf(const std::string* value) { return value ? *value : std::string(); }

} // namespace

std::string encode(const ForwardedCall& call, std::uint32_t possibleRuns, MonotonicTime now)
{
    json headers = json::array();
    for (const HttpHeader& header : call.request_.head_.headers_) {
        headers.push_back(header.name_);
        headers.push_back(header.value_);
    }
    const std::string& body = call.request_.body_;
    std::uint32_t attempts = call.route_.maxAttempts_;
    return toCborMessage(
        json::array({ call.request_.head_.method_, call.request_.head_.target_, call.route_.name_,
            call.service_.id_.value_, call.version_ ? call.version_->value_ : "", call.cachingTarget_.value_,
            call.version_ ? 1 : 0, std::max<std::int64_t>(0, (call.deadline_ - now).count()),
            attempts > possibleRuns ? attempts - possibleRuns : 0,
            call.route_.repeatability_ == Repeatability::Repeatable ? 1 : 0, call.route_.isStream_ ? 1 : 0,
            call.route_.priority_, std::move(headers),
            json::binary(std::vector<std::uint8_t>(body.begin(), body.end())) }));
}

std::optional<ForwardedCall> parseRelayedCall(const std::string& bytes, MonotonicTime now)
{
    constexpr std::int64_t maxTimeLeftMs = 3600000;
    auto document = parseCborArray(bytes, FieldCount);
    if (!document || !isValid(*document))
        return std::nullopt;
    const json& fields = *document;
    ForwardedCall call;
    call.request_.head_.method_ = fields[Method].get<std::string>();
    call.request_.head_.target_ = fields[Path].get<std::string>();
    for (std::size_t i = 0; i < fields[Headers].size(); i += 2)
        call.request_.head_.headers_.push_back(
            { fields[Headers][i].get<std::string>(), fields[Headers][i + 1].get<std::string>() });
    const auto& body = fields[Body].get_binary();
    call.request_.body_.assign(body.begin(), body.end());
    call.request_.arrived_ = now;
    call.route_.name_ = fields[RouteName].get<std::string>();
    call.route_.maxAttempts_ = fields[AttemptsLeft].get<std::uint32_t>();
    call.route_.repeatability_
        = fields[IsRepeatable].get<int>() != 0 ? Repeatability::Repeatable : Repeatability::AtMostOnce;
    call.route_.isStream_ = fields[IsStream].get<int>() != 0;
    call.route_.priority_ = fields[PriorityOfRoute].get<std::uint32_t>();
    call.service_.id_ = { fields[Service].get<std::string>() };
    call.cachingTarget_ = { fields[CachingTarget].get<std::string>() };
    if (fields[HasVersion].get<int>() != 0)
        call.version_ = SoftwareVersion { fields[Version].get<std::string>() };
    call.deadline_ = now + Milliseconds { std::min(fields[TimeLeftMs].get<std::int64_t>(), maxTimeLeftMs) };
    return call;
}

void addOutcome(HttpHead& head, const RelayOutcome& outcome)
{
    bool isAnswer = !outcome.target_.empty();
    head.headers_.push_back({ outcomeHeader,
        isAnswer                     ? "answered"
            : outcome.isUnavailable_ ? "unavailable"
                                     : "refused" });
    head.headers_.push_back({ runsHeader, std::to_string(outcome.possibleRuns_) });
    if (!isAnswer)
        return;
    head.headers_.push_back({ targetHeader, outcome.target_.value_ });
    head.headers_.push_back({ versionHeader, outcome.version_.value_ });
    if (outcome.statement_)
        head.headers_.push_back({ statementHeader, encode(*outcome.statement_) });
}

std::optional<RelayOutcome> takeOutcome(HttpHead& head)
{
    const std::string* kind = findHeader(head, outcomeHeader);
    if (!kind)
        return std::nullopt;
    RelayOutcome outcome;
    outcome.target_ = { textOf(findHeader(head, targetHeader)) };
    outcome.version_ = { textOf(findHeader(head, versionHeader)) };
    outcome.possibleRuns_ = numberOf(findHeader(head, runsHeader));
    outcome.isUnavailable_ = *kind == "unavailable";
    outcome.statement_ = parseStatement(findHeader(head, statementHeader));
    auto& headers = head.headers_;
    headers.erase(std::remove_if(headers.begin(), headers.end(),
                      [](const HttpHeader& header) {
                          return equalsIgnoreCase(header.name_, outcomeHeader)
                              || equalsIgnoreCase(header.name_, targetHeader)
                              || equalsIgnoreCase(header.name_, versionHeader)
                              || equalsIgnoreCase(header.name_, runsHeader)
                              || equalsIgnoreCase(header.name_, statementHeader);
                      }),
        headers.end());
    return outcome;
}

} // namespace fescue
