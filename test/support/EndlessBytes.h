#pragma once

/** \file
 * EndlessBytes: what targets send again and again, see `TargetAction::endless_`.
 */

#include <string>

namespace fescue::test {

/** Repeats a unit up to the size of a block that is sent at once. Pure. */
inline std::string blockOf(const std::string& unit)
{
    constexpr std::size_t blockBytes = 16 * 1024;
    std::string text;
    while (text.size() < blockBytes)
        text += unit;
    return text;
}

} // namespace fescue::test
