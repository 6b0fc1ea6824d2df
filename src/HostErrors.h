#pragma once

/** \file
 * HostErrors: which errors of the operating system pass by themselves.
 */

#include <system_error>

namespace fescue {

/** Whether a later try may succeed: the predecessor of this process still drains, for example, the address is
 * not assigned to the VM yet, or the host lacks descriptors or memory for a moment. Pure. */
bool mayPass(const std::error_code& error);

} // namespace fescue
