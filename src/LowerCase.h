#pragma once

/** \file
 * LowerCase: names that are compared without regard to case, such as hosts and header names.
 */

#include <string>
#include <string_view>

namespace fescue {

/** The text with its ASCII letters in lower case, whatever the locale. Pure. */
inline std::string toLowerCase(std::string_view text)
{
    std::string lower(text);
    for (char& c : lower)
        c = static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    return lower;
}

} // namespace fescue
