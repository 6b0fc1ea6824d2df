#pragma once

/** \file
 * BoundedJson: parses JSON from callers and engines with a limit on its nesting depth.
 *
 * Copying and serializing a JSON value recurse to its nesting depth, so a few megabytes of brackets would
 * overflow the stack.
 */

#include <nlohmann/json.hpp>
#include <string>

namespace fescue {

/** Maximum nesting depth of arrays and objects. */
constexpr int maxJsonDepth = 64;

/** Shorter texts and messages need no check to protect the stack: each level takes a byte. */
constexpr std::size_t uncheckedJsonBytes = 4096;

/** Parses the text; returns a discarded value (`is_discarded`) if it is not JSON or nested too deeply. Pure.
 */
nlohmann::json parseBoundedJson(const std::string& text);

} // namespace fescue
