#pragma once

/** \file
 * LogClient: the platform's append-only log, over HTTP.
 *
 *     POST /streams/<name>            body: one entry    -> {"offset": 12}
 *     GET  /streams/<name>?from=12&wait_ms=500           -> {"first": 3, "next": 13, "entries": [{"offset",
 * "data"}]}
 *
 * An append whose answer is lost may have taken effect; callers find out by reading on.
 */

#include "HttpClient.h"
#include "Types.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace fescue {

/** The log gave no usable answer. The message names the setting to check. */
struct LogError {
    bool mayHaveTakenEffect_ = false;
    std::string detail_;
};

/** One entry of a stream. */
struct LogEntry {
    LogOffset offset_;
    std::string data_;
};

/** A part of a stream. */
struct LogPage {
    LogOffset first_; ///< The oldest entry that the log still has (its next offset when it has none).
    LogOffset next_; ///< The offset that the next append will get.
    std::vector<LogEntry> entries_;
};

using OnAppended = std::function<void(tl::expected<LogOffset, LogError>)>;
using OnRead = std::function<void(tl::expected<LogPage, LogError>)>;

/** Where the log is and how long to wait for it. */
struct LogAddress {
    std::string url_;
    Milliseconds timeout_ { 3000 };
};

/** Appends one entry. The callback comes on the client's thread. Safe from any thread. */
void appendToLog(
    HttpClient& client, const LogAddress& log, const std::string& stream, std::string data, OnAppended done);

/** Reads entries from `from` on, waiting up to `wait` for one to come. Callback as above. */
void readLog(HttpClient& client, const LogAddress& log, const std::string& stream, LogOffset from,
    Milliseconds wait, OnRead done);

} // namespace fescue
