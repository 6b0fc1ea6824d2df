#include "PeerTurns.h"

#include "CborMessage.h"

namespace fescue {

using nlohmann::json;

std::string encode(const TurnRequest& message)
{
    return toCborMessage(
        json::array({ message.program_.value_, message.budget_.value_, message.maxTokens_.value_,
            message.retention_.count(), message.timeLeft_.count(), message.canStartProgram_ ? 1 : 0 }));
}

std::string encode(const TurnReply& message)
{
    json holders = json::array();
    for (const WriterId& holder : message.holders_)
        holders.push_back(holder.value_);
    return toCborMessage(
        json::array({ holders, static_cast<int>(message.decision_), message.grant_, message.spent_.value_,
            message.claimed_.value_, message.othersClaimed_.value_, message.lastTarget_.value_ }));
}

std::string encode(const TurnEnd& message)
{
    return toCborMessage(json::array({ message.grant_, message.usedTokens_.value_, message.target_.value_ }));
}

std::optional<TurnRequest> parseTurnRequest(const std::string& bytes)
{
    constexpr std::size_t fieldCount = 6;
    auto document = parseCborArray(bytes, fieldCount);
    if (!document || !(*document)[0].is_string() || !areNonNegativeIntegers(*document, 1, fieldCount))
        return std::nullopt;
    const json& list = *document;
    TurnRequest request;
    request.program_ = { list[0].get<std::string>() };
    request.budget_ = { list[1].get<std::int64_t>() };
    request.maxTokens_ = { list[2].get<std::int64_t>() };
    request.retention_ = Milliseconds { list[3].get<std::int64_t>() };
    request.timeLeft_ = Milliseconds { list[4].get<std::int64_t>() };
    request.canStartProgram_ = list[5].get<int>() != 0;
    return request;
}

std::optional<TurnReply> parseTurnReply(const std::string& bytes)
{
    constexpr std::size_t fieldCount = 7;
    constexpr std::size_t numbersEnd = 6;
    auto document = parseCborArray(bytes, fieldCount);
    if (!document || !(*document)[0].is_array() || !areNonNegativeIntegers(*document, 1, numbersEnd)
        || !(*document)[numbersEnd].is_string())
        return std::nullopt;
    const json& list = *document;
    TurnReply reply;
    for (const json& holder : list[0]) {
        if (!holder.is_string())
            return std::nullopt;
        reply.holders_.push_back({ holder.get<std::string>() });
    }
    int decision = list[1].get<int>();
    if (decision > static_cast<int>(TurnDecision::Unavailable))
        return std::nullopt;
    reply.decision_ = static_cast<TurnDecision>(decision);
    reply.grant_ = list[2].get<std::uint64_t>();
    reply.spent_ = { list[3].get<std::int64_t>() };
    reply.claimed_ = { list[4].get<std::int64_t>() };
    reply.othersClaimed_ = { list[5].get<std::int64_t>() };
    reply.lastTarget_ = { list[numbersEnd].get<std::string>() };
    return reply;
}

std::optional<TurnEnd> parseTurnEnd(const std::string& bytes)
{
    constexpr std::size_t fieldCount = 3;
    constexpr std::size_t numbersEnd = 2;
    auto document = parseCborArray(bytes, fieldCount);
    if (!document || !areNonNegativeIntegers(*document, 0, numbersEnd)
        || !(*document)[numbersEnd].is_string())
        return std::nullopt;
    const json& list = *document;
    return TurnEnd { list[0].get<std::uint64_t>(), { list[1].get<std::int64_t>() },
        { list[2].get<std::string>() } };
}

} // namespace fescue
