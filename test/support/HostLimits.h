#pragma once

/** \file
 * HostLimits: sets limits of the host on a running process, reads what it uses, and sends it requests.
 */

#include "EntryVmHarness.h"

#include <chrono>
#include <string>
#include <sys/resource.h>
#include <sys/types.h>

namespace fescue::test {

/** How long a process is watched while it lacks something. */
constexpr std::chrono::seconds wantTime { 2 };

/** Sets the soft limit, as far as the hard one allows. */
void limit(pid_t process, __rlimit_resource resource, rlim_t value);
/** Open descriptors. */
rlim_t descriptorsOf(pid_t process);
/** A size in the process's status, for example "VmSize", in bytes; 0 if it is not there. */
rlim_t statusBytes(pid_t process, const std::string& name);
/** Checks that a process that can do nothing uses less than half of a core for `wantTime`. */
void checkIsCalm(pid_t process);
/** A target that answers each request with so many bytes. */
ScriptedTarget::Script answering(std::size_t bytes);
/** The head of a request with a body of so many bytes. */
std::string post(std::size_t bytes, const std::string& id);
/** Whether the first VM serves an ordinary request. */
bool isServed(const EntryVmHarness& vms);

} // namespace fescue::test
