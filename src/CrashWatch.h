#pragma once

/** \file
 * CrashWatch: decides whether a connection ended because the target's process did.
 *
 * Connections also end when the network resets them, or when a target breaks off an answer. A process that
 * has ended keeps no connection and sends no heartbeat:
 *
 *     connection ended --> an older one is still open: the process runs
 *                      --> none is: a possible crash, recorded at once
 *                             --> a later heartbeat of the same process: it runs, the crash is withdrawn
 *                             --> its entry is gone or belongs to a new process: confirmed
 */

#include "Quarantine.h"
#include "QueuedCall.h"
#include "TargetList.h"

namespace fescue {

/** A connection that ended while a target ran a request on it. */
struct EndedConnection {
    ContentDigest digest_;
    TargetId target_;
    Milliseconds targetStartedAt_ { 0 }; ///< Start of the process that ran the request, as it reported.
    MonotonicTime at_;
    bool isRecorded_ = false; ///< Recorded as a possible crash.
    /** The first heartbeat that was read so late that the target may have sent it before `at_`, but no later
     * one. */
    std::optional<std::uint64_t> heartbeat_;
};

/** What is known of the target's process. */
enum class ProcessState {
    Unknown,
    Running,
    PossiblyEnded, ///< No sign of life yet.
    Ended,
};

/** Whether the ends of all connections of the target's process may have arrived. Before, `judgeProcess` knows
 * nothing. Pure. */
bool isSettled(const EndedConnection& ended, MonotonicTime now);

/** Judges an ended connection; to be called until the result is `Running` or `Ended`. `hasOlderConnection`
 * tells whether a connection to the target from before `at_` is still open. Updates `heartbeat_`. */
ProcessState judgeProcess(
    EndedConnection& ended, bool hasOlderConnection, const TargetList& targets, MonotonicTime now);

/** The crash that an ended connection is evidence of. Pure. */
CrashId crashIdOf(const EndedConnection& ended);

} // namespace fescue
