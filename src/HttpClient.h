#pragma once

/** \file
 * HttpClient: the one place that includes libcurl.
 *
 * One thread drives all transfers. The result says whether a byte of the request may have left, since a
 * refusal may say "not run" only when none has. libcurl repeats a request by itself when a connection
 * that was used before closes early, so a request that may run only once sets `isAtMostOnce_`, and is
 * then sent on a connection of its own.
 */

#include "Types.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescue {

/** A request to send. */
struct HttpCall {
    std::string method_ = "GET";
    std::string url_;
    std::vector<std::string> headers_; ///< Lines such as `Content-Type: application/json`.
    std::string body_;
    Milliseconds connectTimeout_ { 2000 };
    Milliseconds timeout_ { 10000 }; ///< For the whole exchange.
    bool isAtMostOnce_ = false;
    std::optional<MonotonicTime> sendBefore_; ///< Checked when the connection stands, just before sending.
};

/** What came of a request. */
struct HttpResult {
    enum class Outcome {
        Answered, ///< The whole response was received.
        NotSent, ///< No byte of the request left this process.
        Unknown, ///< The request may have arrived; the response did not, or not whole.
    };
    Outcome outcome_ = Outcome::Unknown;
    int status_ = 0;
    std::map<std::string, std::string> headers_; ///< Names in lower case.
    std::string body_; ///< Empty when the data went to an `onData` callback.
    std::string error_;
};

/** Number of a transfer, for `cancel`. */
using TransferId = Quantity<struct TransferIdTag, std::uint64_t>;

/** Sends requests and reports on its own thread; callbacks must not block. */
class HttpClient {
public:
    using OnDone = std::function<void(HttpResult)>;
    using OnData = std::function<void(int status, std::string_view data)>;

    HttpClient();
    /** Cancels what is under way; each `OnDone` has been called when this returns. */
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /** Starts a transfer. `onDone` is called once, on the client's thread. With `onData`, the response body
     * is handed over as it comes. Safe from any thread. */
    TransferId start(HttpCall call, OnDone onDone, OnData onData = nullptr);

    /** Ends a transfer early; its `onDone` still comes. Safe from any thread, also for finished ones. */
    void cancel(TransferId id);

    /** Sends and waits. Not to be called from a callback. */
    HttpResult perform(HttpCall call);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
