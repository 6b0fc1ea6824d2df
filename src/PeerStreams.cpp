#include "PeerStreams.h"

#include "CborMessage.h"

#include <charconv>

namespace fescue {

namespace {

    using nlohmann::json;

    constexpr const char* routesFromHeader = "Fescue-Routes-From"; // Version of a configuration.

    // An array of `count` strings.
    bool isStrings(const json& document, std::size_t count)
    {
        return document.is_array() && document.size() == count && areStrings(document, 0, count);
    }

    // A version, and 1.
    bool isCurrentVersion(const json& document)
    {
        return document.is_array() && document.size() == 2 && document[0].is_string() && document[1] == 1;
    }

    json toArray(const std::optional<StreamOrigin>& origin)
    {
        return origin ? json::array({ origin->service_.value_, origin->version_.value_ }) : json::array();
    }

} // namespace

std::string encode(const std::vector<BegunStream>& streams)
{
    json document = json::array();
    for (const BegunStream& stream : streams)
        document.push_back(json::array(
            { stream.attempt_.value_, stream.origin_.service_.value_, stream.origin_.version_.value_ }));
    return toCborMessage(document);
}

std::string encode(const OriginQuery& query)
{
    return toCborMessage(json::array({ query.attempt_.value_, query.service_.value_ }));
}

std::string encode(const OriginReply& reply)
{
    json sole = json::array();
    if (reply.soleVersion_)
        sole.push_back(reply.soleVersion_->value_);
    // Older releases do not read this form, and take such a reply for one that knows nothing.
    if (reply.soleVersion_ && reply.isSoleCurrent_)
        sole.push_back(1);
    return toCborMessage(json::array({ toArray(reply.origin_), sole }));
}

std::vector<HttpHeader> headersOf(const OriginReply& reply)
{
    if (!reply.routesFrom_)
        return {};
    return { { routesFromHeader, std::to_string(*reply.routesFrom_) } };
}

std::optional<std::vector<BegunStream>> parseStreams(const std::string& bytes)
{
    auto document = parseCborMessage(bytes);
    if (!document || !document->is_array())
        return std::nullopt;
    std::vector<BegunStream> streams;
    streams.reserve(document->size());
    for (const json& entry : *document) {
        constexpr std::size_t fieldCount = 3;
        if (!isStrings(entry, fieldCount))
            return std::nullopt;
        streams.push_back({ { entry[0].get<std::string>() },
            { { entry[1].get<std::string>() }, { entry[2].get<std::string>() } } });
    }
    return streams;
}

std::optional<OriginQuery> parseOriginQuery(const std::string& bytes)
{
    auto document = parseCborMessage(bytes);
    if (!document || !isStrings(*document, 2))
        return std::nullopt;
    return OriginQuery { { (*document)[0].get<std::string>() }, { (*document)[1].get<std::string>() } };
}

std::optional<OriginReply> parseOriginReply(const std::string& bytes)
{
    auto document = parseCborMessage(bytes);
    if (!document || !document->is_array() || document->size() != 2)
        return std::nullopt;
    const json& origin = (*document)[0];
    const json& sole = (*document)[1];
    bool hasOrigin = isStrings(origin, 2);
    bool isCurrent = isCurrentVersion(sole);
    bool hasSole = isCurrent || isStrings(sole, 1);
    if ((!hasOrigin && !isStrings(origin, 0)) || (!hasSole && !isStrings(sole, 0)))
        return std::nullopt;
    OriginReply reply;
    reply.isSoleCurrent_ = isCurrent;
    if (hasOrigin)
        reply.origin_ = { { origin[0].get<std::string>() }, { origin[1].get<std::string>() } };
    if (hasSole)
        reply.soleVersion_ = { sole[0].get<std::string>() };
    return reply;
}

std::optional<std::uint64_t> parseRoutesFrom(const HttpHead& head)
{
    const std::string* value = findHeader(head, routesFromHeader);
    if (!value)
        return std::nullopt;
    std::uint64_t version = 0;
    const char* end = value->data() + value->size();
    auto parsed = std::from_chars(value->data(), end, version);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(version) : std::nullopt;
}

} // namespace fescue
