#pragma once

/** \file
 * LowerCase: conversion to lower case for names such as hosts and headers, which are compared
 * case-insensitively.
 */

#include <string>
#include <string_view>

namespace fescue {

/** Converts ASCII letters to lower case, independently of the locale. Pure. */
inline std::string toLowerCase(std::string_view text)
{
    std::string lower(text);
    for (char& c : lower)
        c = static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    return lower;
}

} // namespace fescue
