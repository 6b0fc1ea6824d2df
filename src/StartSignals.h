#pragma once

/** \file
 * StartSignals: holds signals back that come before their handlers are registered.
 *
 * The default action of SIGHUP and SIGTERM ends a process. Signals that are held wait in the kernel.
 */

namespace fescue {

/** Holds SIGHUP, SIGTERM and SIGINT back from now on. Call before any thread starts; also safe before the
 * constructors of static objects. */
void holdSignals();

/** Delivers what was held, and what comes from now on. Precondition: the handlers are registered. */
void deliverSignals();

/** Whether a held signal asks the process to stop. */
bool isStopHeld();

} // namespace fescue
