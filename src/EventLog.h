#pragma once

/** \file
 * EventLog: what a process did, as JSON lines; the time line is made of these.
 *
 * Each line has a time, the process, VM and zone, the event's name and the fields of the event. The names
 * of fields are the same everywhere: `program`, `call`, `shard`, `epoch`, `offset`, `target`.
 */

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescue {

/** Where lines go and what each of them says about its process. */
struct EventLogOptions {
    std::string file_; ///< Empty for standard error.
    std::string process_;
    std::string vm_;
    std::string zone_;
    bool isBuffered_
        = false; ///< To standard output by `flushEventLog`, which never waits; `file_` is unused.
};

/** A fact of an event: its name and value. */
using LogFields = std::vector<std::pair<const char*, std::string>>;

/** Opens the log of this process. Call once, before any thread logs. Throws when the file cannot be opened.
 */
void openEventLog(const EventLogOptions& options);

/** Writes one line. Safe from any thread; does nothing before `openEventLog`. */
void logEvent(const char* event, const LogFields& fields);

/** Writes what a buffered log holds, as far as standard output takes it now. Lines beyond the bound of the
 * buffer are dropped and counted in `log_lines_dropped_total`. Does nothing for other logs. */
void flushEventLog();

/** Like `logEvent`, for what an operator has to act on; the message names the remedy. */
void logWarning(const char* event, const std::string& message, const LogFields& fields = {});

} // namespace fescue
