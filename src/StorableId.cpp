#include "StorableId.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace fescue {

namespace {

    // Marks digests. Ids that begin with it are digested, too, so that no caller can name another's digest.
    constexpr char digestMark = '#';
    constexpr char keySeparator = '|'; // Of claims.

    bool isStorable(const std::string& id)
    {
        if (id.size() > maxStorableIdLength || id.front() == digestMark)
            return false;
        return std::all_of(
            id.begin(), id.end(), [](char c) { return c > ' ' && c <= '~' && c != keySeparator; });
    }

} // namespace

ProgramId storableId(const ProgramId& program)
{
    const std::string& id = program.value_;
    if (id.empty() || isStorable(id))
        return program;
    XXH128_hash_t digest = XXH3_128bits(id.data(), id.size());
    return { fmt::format("{}{:016x}{:016x}", digestMark, digest.high64, digest.low64) };
}

} // namespace fescue
