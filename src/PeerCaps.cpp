#include "PeerCaps.h"

#include "CborMessage.h"

#include <algorithm>

namespace fescue {

namespace {

    using nlohmann::json;

    constexpr std::size_t stockFields = 5;
    constexpr std::size_t grantFields = 3;
    constexpr std::int64_t maxPermits = 1 << 20U;
    constexpr std::int64_t maxRetryAfterMs = 60000;

    // Lines are a flat list: a workspace and its numbers, then the next.
    bool areLines(const json& fields, std::size_t from, std::size_t width)
    {
        if ((fields.size() - from) % width != 0)
            return false;
        for (std::size_t at = from; at < fields.size(); at += width) {
            if (!areStrings(fields, at, at + 1) || !areNonNegativeIntegers(fields, at + 1, at + width))
                return false;
        }
        return true;
    }

    std::uint32_t toPermits(const json& field)
    {
        return static_cast<std::uint32_t>(std::min<std::int64_t>(field.get<std::int64_t>(), maxPermits));
    }

    std::string text(const json& field) { return field.get<std::string>(); }
    Milliseconds toMs(const json& field) { return Milliseconds { field.get<std::int64_t>() }; }

} // namespace

std::string encode(const StockReport& message)
{
    json list = json::array({ message.vm_.value_, message.writer_.value_, message.echoOf_.value_,
        message.sequence_, message.isVote_ ? 1 : 0, message.echo_.count() });
    for (const StockLine& line : message.lines_) {
        list.push_back(line.workspace_.value_);
        list.push_back(line.held_);
        list.push_back(line.returned_);
        list.push_back(line.needed_);
        list.push_back(line.wanted_);
    }
    return toCborMessage(list);
}

std::string encode(const GrantReply& message)
{
    json list = json::array(
        { message.writer_.value_, message.giver_.value_, message.clock_.count(), message.isGiver_ ? 1 : 0 });
    for (const GrantLine& line : message.lines_) {
        list.push_back(line.workspace_.value_);
        list.push_back(line.granted_);
        list.push_back(line.retryAfter_.count());
    }
    return toCborMessage(list);
}

std::optional<StockReport> parseStockReport(const std::string& bytes)
{
    constexpr std::size_t texts = 3;
    constexpr std::size_t head = 6;
    auto list = parseCborMessage(bytes);
    if (!list || !list->is_array() || list->size() < head || !areStrings(*list, 0, texts)
        || !areNonNegativeIntegers(*list, texts, head) || !areLines(*list, head, stockFields))
        return std::nullopt;
    const json& fields = *list;
    StockReport report { { text(fields[0]) }, { text(fields[1]) }, fields[3].get<std::uint64_t>(),
        fields[4] != 0, { text(fields[2]) }, toMs(fields[head - 1]), {} };
    for (std::size_t at = head; at < fields.size(); at += stockFields)
        report.lines_.push_back({ { text(fields[at]) }, toPermits(fields[at + 1]), toPermits(fields[at + 2]),
            toPermits(fields[at + 3]), toPermits(fields[at + stockFields - 1]) });
    return report;
}

std::optional<GrantReply> parseGrantReply(const std::string& bytes)
{
    constexpr std::size_t texts = 2;
    constexpr std::size_t head = 4;
    auto list = parseCborMessage(bytes);
    if (!list || !list->is_array() || list->size() < head || !areStrings(*list, 0, texts)
        || !areNonNegativeIntegers(*list, texts, head) || !areLines(*list, head, grantFields))
        return std::nullopt;
    const json& fields = *list;
    GrantReply reply { { text(fields[0]) }, toMs(fields[2]), fields[3] != 0, { text(fields[1]) }, {} };
    for (std::size_t at = head; at < fields.size(); at += grantFields) {
        auto retryAfter = std::min(toMs(fields[at + 2]), Milliseconds { maxRetryAfterMs });
        reply.lines_.push_back({ { text(fields[at]) }, toPermits(fields[at + 1]), retryAfter });
    }
    return reply;
}

} // namespace fescue
