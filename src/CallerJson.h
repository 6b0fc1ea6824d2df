#pragma once

/** \file
 * CallerJson: parses JSON from callers with a limit on its nesting depth.
 *
 * Copying and serializing a JSON value recurse to its nesting depth, so a few megabytes of brackets would
 * overflow the stack.
 */

#include <nlohmann/json.hpp>
#include <string>

namespace fescue {

/** Maximum nesting depth of arrays and objects. */
constexpr int maxCallerJsonDepth = 64;

/** Parses the text; returns a discarded value (`is_discarded`) if it is not JSON or nested too deeply. Pure.
 */
nlohmann::json parseCallerJson(const std::string& text);

} // namespace fescue
