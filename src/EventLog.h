#pragma once

/** \file
 * EventLog: structured log of the events of a process, as JSON lines; `fescuectl timeline` merges these logs.
 *
 * Each line has a time, the process, VM and zone, the name of the event and its fields. Field names are the
 * same everywhere: `program`, `call`, `shard`, `epoch`, `offset`, `target`.
 */

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescue {

/** Destination of the lines, and the fields that all of them share. */
struct EventLogOptions {
    std::string file_; ///< Empty for standard error.
    std::string process_;
    std::string vm_;
    std::string zone_;
    /** Buffer lines until `flushEventLog` writes them to standard output; `file_` is ignored. */
    bool isBuffered_ = false;
};

/** Fields of an event: names and values. */
using LogFields = std::vector<std::pair<const char*, std::string>>;

/** Opens `/dev/null` for each standard stream that is closed. Otherwise a socket would get the number of one,
 * and log lines would be written into it. Call first in `main`, before anything opens a descriptor. */
void openStandardStreams();

/** Opens the log of this process. Call once, before any thread logs. Throws when the file cannot be opened.
 */
void openEventLog(const EventLogOptions& options);

/** Names the VM and the zone of all later lines, for a process that opens its log before it knows them. Not
 * thread-safe. */
void setEventLogOrigin(const std::string& vm, const std::string& zone);

/** Writes one line. Thread-safe; does nothing before `openEventLog`. */
void logEvent(const char* event, const LogFields& fields);

/** Writes buffered lines to standard output as far as it accepts them; never blocks. Lines that exceed the
 * capacity of the buffer are dropped and counted in `log_lines_dropped_total`. Does nothing for other logs.
 */
void flushEventLog();

/** Like `logEvent`, for conditions that an operator must act on; the message names the remedy. */
void logWarning(const char* event, const std::string& message, const LogFields& fields = {});

/** Writes one line from the handler of a fatal signal, and then the buffered lines. Only for buffered logs,
 * for others it does nothing. Names and values must need no escaping. Async-signal-safe but for the buffered
 * lines, which may be in the middle of a change. */
void logFatalSignal(std::initializer_list<std::pair<std::string_view, std::string_view>> fields);

} // namespace fescue
