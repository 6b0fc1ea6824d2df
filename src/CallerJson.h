#pragma once

/** \file
 * CallerJson: JSON from callers, read with a bound on its nesting.
 *
 * Copying and writing a JSON value recurse as deep as it is nested, so a few megabytes of brackets would
 * overflow the stack of the process.
 */

#include <nlohmann/json.hpp>
#include <string>

namespace fescue {

/** Deepest nesting of arrays and objects that callers may send. */
constexpr int maxCallerJsonDepth = 64;

/** The value, or a discarded one (`is_discarded`) when the text is not JSON or is nested too deeply. Pure. */
nlohmann::json parseCallerJson(const std::string& text);

} // namespace fescue
