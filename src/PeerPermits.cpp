#include "PeerPermits.h"

#include "CborMessage.h"

#include <algorithm>
#include <cmath>

namespace fescue {

namespace {

    using nlohmann::json;

    // Older observations are of no use.
    constexpr std::int64_t maxAgeMs = 600000;
    constexpr std::uint32_t maxPermits = 1U << 20U;

    // An observation takes two fields: the rate, negative if none was named, and its age.
    constexpr double noRate = -1;

    void append(json& message, const RateObservation& observation, MonotonicTime now)
    {
        message.push_back(observation.rate_ ? observation.rate_->value_ : noRate);
        message.push_back(std::max<std::int64_t>(0, (now - observation.observedAt_).count()));
    }

    bool isRate(const json& field) { return field.is_number() && std::isfinite(field.get<double>()); }

    RateObservation parseObservation(const json& rate, const json& age, MonotonicTime now)
    {
        RateObservation observation;
        if (rate.get<double>() >= 0)
            observation.rate_ = RequestRate { rate.get<double>() };
        observation.observedAt_ = now - Milliseconds { std::min(age.get<std::int64_t>(), maxAgeMs) };
        return observation;
    }

    std::uint32_t toPermits(const json& field)
    {
        return static_cast<std::uint32_t>(std::min<std::int64_t>(field.get<std::int64_t>(), maxPermits));
    }

} // namespace

std::string encode(const PermitRequest& message, MonotonicTime now)
{
    json list = json::array({ message.vm_.value_, message.start_.target_.value_, message.zone_.value_,
        message.start_.startedAt_.count(), message.wanted_ });
    append(list, message.last_, now);
    return toCborMessage(list);
}

std::string encode(const PermitReply& message, MonotonicTime now)
{
    json list = json::array({ message.granted_, message.retryAfter_.count(), message.expected_.value_ });
    if (message.last_)
        append(list, *message.last_, now);
    return toCborMessage(list);
}

std::optional<PermitRequest> parsePermitRequest(const std::string& bytes, MonotonicTime now)
{
    constexpr std::size_t fieldCount = 7;
    constexpr std::size_t textCount = 3;
    constexpr std::size_t rateField = 5;
    auto list = parseCborArray(bytes, fieldCount);
    if (!list || !areStrings(*list, 0, textCount) || !areNonNegativeIntegers(*list, textCount, rateField)
        || !isRate((*list)[rateField]) || !areNonNegativeIntegers(*list, rateField + 1, fieldCount))
        return std::nullopt;
    const json& fields = *list;
    PermitRequest request;
    request.vm_ = { fields[0].get<std::string>() };
    request.start_.target_ = { fields[1].get<std::string>() };
    request.zone_ = { fields[2].get<std::string>() };
    request.start_.startedAt_ = Milliseconds { fields[textCount].get<std::int64_t>() };
    request.wanted_ = toPermits(fields[textCount + 1]);
    request.last_ = parseObservation(fields[rateField], fields[rateField + 1], now);
    return request;
}

std::optional<PermitReply> parsePermitReply(const std::string& bytes, MonotonicTime now)
{
    constexpr std::size_t minFieldCount = 3;
    constexpr std::size_t fieldCount = 5;
    auto list = parseCborArray(bytes, fieldCount);
    bool hasObservation = list.has_value();
    if (!list)
        list = parseCborArray(bytes, minFieldCount);
    if (!list || !areNonNegativeIntegers(*list, 0, 2) || !isRate((*list)[2]))
        return std::nullopt;
    const json& fields = *list;
    if (hasObservation
        && (!isRate(fields[minFieldCount]) || !areNonNegativeIntegers(fields, fieldCount - 1, fieldCount)))
        return std::nullopt;
    PermitReply reply;
    reply.granted_ = toPermits(fields[0]);
    reply.retryAfter_ = Milliseconds { std::min(fields[1].get<std::int64_t>(), maxAgeMs) };
    reply.expected_ = { std::max(0.0, fields[2].get<double>()) };
    if (hasObservation)
        reply.last_ = parseObservation(fields[minFieldCount], fields[minFieldCount + 1], now);
    return reply;
}

} // namespace fescue
