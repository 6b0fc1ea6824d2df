#pragma once

/** \file
 * ProcessEnd: a line in the event log for each way in which a process can end by itself.
 *
 *     uncaught exception  -->  process-failed, reason "exception", its type and text
 *     fatal signal        -->  process-failed, reason "signal", its name and address; also one that another
 *                              process has sent, or that tells of a limit of the host
 *
 * If standard output takes no more lines, these go to standard error. The stack is logged as offsets into the
 * program, for `addr2line -f -e PROGRAM`; after a signal in a line of its own, `process-stack`. A start that
 * fails is reported by `exitWithInvalidSetting`. SIGKILL, also that of the kernel for want of memory, leaves
 * no line; `MemoryWatch` reports how near the process was to its limit.
 *
 * Signals that the process was started to ignore stay ignored, but for those of its own faults.
 */

namespace fescue {

/** Logs uncaught exceptions and fatal signals from now on; the process then ends by the signal's default
 * action, or by SIGABRT. Call once, after `openEventLog`, before any thread starts. */
void logFatalEnds();

} // namespace fescue
