#pragma once

/** \file
 * ProcessEnd: a line in the event log for each way in which a process can end by itself.
 *
 *     uncaught exception  -->  process-failed, reason "exception", its type and text
 *     fatal signal        -->  process-failed, reason "signal", its name and address
 *
 * The stack is logged as offsets into the program, for `addr2line -f -e PROGRAM`; after a signal in a line of
 * its own, `process-stack`. A start that fails is reported by `exitWithInvalidSetting`. SIGKILL, also that of
 * the kernel for want of memory, leaves no line; `MemoryWatch` reports how near the process was to its limit.
 */

namespace fescue {

/** Logs uncaught exceptions and fatal signals from now on; the process then ends by the signal's default
 * action, or by SIGABRT. Call once, after `openEventLog`, before any thread starts. */
void logFatalEnds();

} // namespace fescue
