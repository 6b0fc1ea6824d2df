#include "ProgramId.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace fescue {

namespace {

    constexpr std::size_t maxZoneNameLength = 40;
    constexpr std::size_t randomDigits = 16;

    bool isLowerHex(const std::string& text)
    {
        return !text.empty() && text.size() <= randomDigits
            && std::all_of(text.begin(), text.end(),
                [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    std::optional<ShardIndex> parseShardIndex(const std::string& text)
    {
        ShardIndex index;
        const char* end = text.data() + text.size();
        auto result = std::from_chars(text.data(), end, index.value_);
        if (text.empty() || result.ec != std::errc() || result.ptr != end || index.value_ >= shardsPerZone)
            return std::nullopt;
        if (std::to_string(index.value_) != text)
            return std::nullopt;
        return index;
    }

} // namespace

bool isZoneName(const std::string& name)
{
    return !name.empty() && name.size() <= maxZoneNameLength
        && std::all_of(name.begin(), name.end(),
            [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == '-'; });
}

ProgramId makeProgramId(const ShardKey& shard, WallTime created, Random& random)
{
    return { fmt::format("{}.{}.{:x}.{:016x}", shard.zone_.value_, shard.index_.value_,
        created.time_since_epoch().count(), random()) };
}

std::optional<ShardKey> shardOf(const ProgramId& program)
{
    const std::string& text = program.value_;
    auto zoneEnd = text.find('.');
    auto shardEnd = zoneEnd == std::string::npos ? zoneEnd : text.find('.', zoneEnd + 1);
    auto createdEnd = shardEnd == std::string::npos ? shardEnd : text.find('.', shardEnd + 1);
    if (createdEnd == std::string::npos)
        return std::nullopt;
    std::string zone = text.substr(0, zoneEnd);
    auto index = parseShardIndex(text.substr(zoneEnd + 1, shardEnd - zoneEnd - 1));
    std::string random = text.substr(createdEnd + 1);
    if (!isZoneName(zone) || !index || !isLowerHex(text.substr(shardEnd + 1, createdEnd - shardEnd - 1)))
        return std::nullopt;
    if (random.size() != randomDigits || !isLowerHex(random))
        return std::nullopt;
    return ShardKey { { zone }, *index };
}

std::string streamOf(const ShardKey& shard)
{
    return fmt::format("shard/{}/{}", shard.zone_.value_, shard.index_.value_);
}

} // namespace fescue
