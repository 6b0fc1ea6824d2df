#include "ConversationMessages.h"

#include "CborMessage.h"

#include <algorithm>
#include <iterator>

namespace fescue {

namespace {

    using nlohmann::json;

    // Bounds times that a faulty peer states; far above any retention.
    constexpr std::int64_t maxStatedMs = 7LL * 24 * 3600 * 1000;

    json toArray(const KeptTurn& turn)
    {
        json ancestors = json::array();
        for (const AttemptId& ancestor : turn.ancestors_)
            ancestors.push_back(ancestor.value_);
        return json::array({ turn.id_.value_, std::move(ancestors), turn.input_, turn.output_ });
    }

    json toArray(const TurnChain& turns, MonotonicTime now)
    {
        json document = json::array();
        for (const StoredTurn& stored : turns) {
            std::int64_t left = std::max<std::int64_t>(0, (stored.keptUntil_ - now).count());
            document.push_back(json::array({ left, toArray(*stored.turn_) }));
        }
        return document;
    }

    Milliseconds toMilliseconds(const json& field)
    {
        return Milliseconds { std::min(field.get<std::int64_t>(), maxStatedMs) };
    }

    std::optional<KeptTurn> toKeptTurn(const json& document)
    {
        constexpr std::size_t fieldCount = 4;
        if (!document.is_array() || document.size() != fieldCount || !document[0].is_string()
            || !document[1].is_array() || !areStrings(document[1], 0, document[1].size())
            || !areStrings(document, 2, fieldCount))
            return std::nullopt;
        KeptTurn turn { { document[0].get<std::string>() }, {}, document[2].get<std::string>(),
            document[3].get<std::string>() };
        for (const json& ancestor : document[1])
            turn.ancestors_.push_back({ ancestor.get<std::string>() });
        return turn;
    }

    std::optional<TurnChain> toTurns(const json& document, MonotonicTime now)
    {
        if (!document.is_array())
            return std::nullopt;
        TurnChain turns;
        turns.reserve(document.size());
        for (const json& entry : document) {
            if (!entry.is_array() || entry.size() != 2 || !areNonNegativeIntegers(entry, 0, 1))
                return std::nullopt;
            auto turn = toKeptTurn(entry[1]);
            if (!turn)
                return std::nullopt;
            turns.push_back({ std::make_shared<KeptTurn>(std::move(*turn)), now + toMilliseconds(entry[0]) });
        }
        return turns;
    }

    // Whether the turns are the last one and its ancestors.
    bool isChain(const TurnChain& turns)
    {
        if (turns.empty())
            return false;
        TurnChain ancestors(turns.begin(), std::prev(turns.end()));
        return turns.back().turn_->ancestors_ == idsOf(ancestors);
    }

} // namespace

const char* nameOf(ChainStatus status)
{
    switch (status) {
    case ChainStatus::Found:
        return "found";
    case ChainStatus::Absent:
        return "absent";
    case ChainStatus::Unknown:
        break;
    }
    return "unknown";
}

std::string encode(const TurnPointer& pointer)
{
    return toCborMessage(json::array({ pointer.distance_, pointer.bytes_, pointer.key_ }));
}

std::string encode(const KeptTurn& turn) { return toCborMessage(toArray(turn)); }

std::string encode(const ChainQuery& query)
{
    return toCborMessage(json::array({ query.turn_.value_, query.storeTime_.count() }));
}

std::string encode(const ChainReply& reply, MonotonicTime now)
{
    return toCborMessage(json::array({ static_cast<int>(reply.status_), toArray(reply.chain_, now) }));
}

std::string encode(const TurnChain& turns, MonotonicTime now) { return toCborMessage(toArray(turns, now)); }

std::string encode(const KeepRequest& request, MonotonicTime now)
{
    return toCborMessage(
        json::array({ toArray(request.turns_, now), request.life_.count(), request.timeLeft_.count() }));
}

std::optional<TurnPointer> parseTurnPointer(const std::string& bytes)
{
    constexpr std::size_t fieldCount = 3;
    auto document = parseCborArray(bytes, fieldCount);
    if (!document || !areNonNegativeIntegers(*document, 0, 2) || !areStrings(*document, 2, fieldCount))
        return std::nullopt;
    return TurnPointer { (*document)[0].get<std::uint64_t>(), (*document)[1].get<std::uint64_t>(),
        (*document)[2].get<std::string>() };
}

std::optional<KeptTurn> parseKeptTurn(const std::string& bytes)
{
    auto document = parseCborMessage(bytes);
    return document ? toKeptTurn(*document) : std::nullopt;
}

std::optional<ChainQuery> parseChainQuery(const std::string& bytes)
{
    auto document = parseCborArray(bytes, 2);
    if (!document || !areStrings(*document, 0, 1) || !areNonNegativeIntegers(*document, 1, 2))
        return std::nullopt;
    return ChainQuery { { (*document)[0].get<std::string>() }, toMilliseconds((*document)[1]) };
}

std::optional<ChainReply> parseChainReply(const std::string& bytes, MonotonicTime now)
{
    auto document = parseCborArray(bytes, 2);
    if (!document || !areNonNegativeIntegers(*document, 0, 1))
        return std::nullopt;
    auto status = (*document)[0].get<std::int64_t>();
    auto turns = toTurns((*document)[1], now);
    if (!turns || status > static_cast<std::int64_t>(ChainStatus::Unknown))
        return std::nullopt;
    ChainReply reply { static_cast<ChainStatus>(status), std::move(*turns) };
    bool isConsistent = reply.status_ == ChainStatus::Found ? isChain(reply.chain_) : reply.chain_.empty();
    return isConsistent ? std::optional(std::move(reply)) : std::nullopt;
}

std::optional<TurnChain> parseTurns(const std::string& bytes, MonotonicTime now)
{
    auto document = parseCborMessage(bytes);
    return document ? toTurns(*document, now) : std::nullopt;
}

std::optional<KeepRequest> parseKeepRequest(const std::string& bytes, MonotonicTime now)
{
    constexpr std::size_t fieldCount = 3;
    auto document = parseCborArray(bytes, fieldCount);
    if (!document || !areNonNegativeIntegers(*document, 1, fieldCount))
        return std::nullopt;
    auto turns = toTurns((*document)[0], now);
    if (!turns || turns->empty())
        return std::nullopt;
    return KeepRequest { std::move(*turns), toMilliseconds((*document)[1]), toMilliseconds((*document)[2]) };
}

} // namespace fescue
