#pragma once

/** \file
 * LogClient: HTTP client of the platform's append-only log.
 *
 *     POST /streams/<name>            body: one entry    -> {"offset": 12}
 *     GET  /streams/<name>?from=12&wait_ms=500           -> {"first": 3, "next": 13, "entries": [{"offset",
 * "data"}]}
 *
 * An append whose answer is lost may have taken effect; callers read the stream to find out.
 */

#include "HttpClient.h"
#include "Types.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace fescue {

/** The log gave no usable answer. `detail_` names the setting to check. */
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
    LogOffset first_; ///< The oldest entry that the log still has (`next_` if it has none).
    LogOffset next_; ///< The offset that the next append will get.
    std::vector<LogEntry> entries_;
};

using OnAppended = std::function<void(tl::expected<LogOffset, LogError>)>;
using OnRead = std::function<void(tl::expected<LogPage, LogError>)>;

/** URL and request timeout of the log service. */
struct LogAddress {
    std::string url_;
    Milliseconds timeout_ { 3000 };
};

/** Appends one entry. The callback runs on the client's thread. Thread-safe. */
void appendToLog(
    HttpClient& client, const LogAddress& log, const std::string& stream, std::string data, OnAppended done);

/** Reads entries from `from` on, waiting up to `wait` for the first one. The callback runs on the client's
 * thread. Thread-safe. */
void readLog(HttpClient& client, const LogAddress& log, const std::string& stream, LogOffset from,
    Milliseconds wait, OnRead done);

} // namespace fescue
