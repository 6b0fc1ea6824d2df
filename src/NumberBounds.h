#pragma once

/** \file
 * NumberBounds: checked conversions of numbers that come from outside this process.
 *
 * Converting a floating-point number that its integer type cannot hold is undefined in C++, and processors
 * differ in what they return. Sums of some thousand numbers within `maxForeignNumber` fit into 64 bits.
 */

#include <algorithm>
#include <cstdint>
#include <optional>

namespace fescue {

/** Exceeds every time in milliseconds since the Unix epoch, count of tokens and count of bytes in use. A
 * `double` holds each integer up to it. */
constexpr std::int64_t maxForeignNumber { 1000000000000000 };

/** Converts a number; nothing if it is negative, not a number or above `max`. Precondition: `max` is at most
 * `maxForeignNumber`. Pure. */
inline std::optional<std::int64_t> toBoundedInteger(double number, std::int64_t max = maxForeignNumber)
{
    if (!(number >= 0) || number > static_cast<double>(max))
        return std::nullopt;
    return static_cast<std::int64_t>(number);
}

/** Converts a number, clamped to the range from 0 to `max`; 0 for what is not a number. Precondition as
 * above. Pure. */
inline std::int64_t toClampedInteger(double number, std::int64_t max = maxForeignNumber)
{
    if (!(number >= 0))
        return 0;
    return toBoundedInteger(number, max).value_or(max);
}

} // namespace fescue
