#include "RequestDigest.h"

#include "LowerCase.h"

#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace fescue {

namespace {

    constexpr std::size_t digestDigits = 16;
    constexpr int hexBase = 16;

    // Includes the length, so that the boundary between two parts counts.
    std::uint64_t hashPart(std::string_view part, std::uint64_t seed)
    {
        return XXH64(part.data(), part.size(), seed + part.size());
    }

} // namespace

ContentDigest digestOf(const HttpHead& head, const std::string& body)
{
    const std::string* host = findHeader(head, "Host");
    std::uint64_t hash = hashPart(head.method_, 0);
    hash = hashPart(host ? toLowerCase(*host) : std::string(), hash);
    hash = hashPart(head.target_, hash);
    hash = hashPart(body, hash);
    return { hash == 0 ? 1 : hash };
}

std::string textOf(ContentDigest digest) { return fmt::format("{:016x}", digest.value_); }

std::optional<ContentDigest> parseDigest(std::string_view text)
{
    std::uint64_t value = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
    bool isComplete = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (text.size() != digestDigits || !isComplete || value == 0)
        return std::nullopt;
    return ContentDigest { value };
}

} // namespace fescue
