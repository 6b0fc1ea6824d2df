#pragma once

/** \file
 * Release: the commit that this program was built from, for logs, metrics and other VMs.
 */

#include <string>

namespace fescue {

/** Abbreviated commit; "unknown" for a build outside a checkout that was told none. Pure, thread-safe. */
const std::string& releaseName();

} // namespace fescue
