#pragma once

/** \file
 * StartSignals: what a process does with signals from its start, so that none of them ends it by its default
 * action.
 *
 * Signals with handlers are held back until these are registered; they wait in the kernel. Signals that tell
 * of a failed write are ignored; the write returns an error then.
 */

namespace fescue {

/** Holds SIGHUP, SIGTERM and SIGINT back from now on. Call before any thread starts; also safe before the
 * constructors of static objects. */
void holdSignals();

/** Ignores SIGPIPE, of a reader that has gone, SIGXFSZ, of a file that has the largest size that the host
 * allows, and SIGTTOU, of a terminal that stops what writes from the background. Call before anything is
 * written. */
void ignoreWriteSignals();

/** Delivers what was held, and what comes from now on. Precondition: the handlers are registered. */
void deliverSignals();

/** Whether a held signal asks the process to stop. */
bool isStopHeld();

} // namespace fescue
