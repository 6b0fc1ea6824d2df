#pragma once

/** \file
 * HttpClient: an HTTP client on libcurl. Only HttpClient.cpp includes libcurl.
 *
 * One thread drives all transfers. The result says whether any byte of the request may have been sent,
 * since only a request of which nothing was sent may be reported as "not run". libcurl silently retries a
 * request when a reused connection closes early. A request that may run at most once therefore sets
 * `isAtMostOnce_` and is sent on a new connection that is not reused.
 *
 * A server may send bytes without end, so the head and the body of a response are bounded.
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
    std::vector<std::string> headers_; ///< Header lines such as `Content-Type: application/json`.
    std::string body_;
    Milliseconds connectTimeout_ { 2000 };
    Milliseconds timeout_ { 10000 }; ///< For the whole transfer.
    ByteCount maxBody_ { 8 * 1024 * 1024 }; ///< Of the response; a larger one ends the transfer.
    bool isAtMostOnce_ = false;
    std::optional<MonotonicTime> sendDeadline_; ///< Latest time to start sending; checked once connected.
};

/** The result of a request. */
struct HttpResult {
    enum class Outcome {
        /** The whole response was received, its head up to the empty line. One that ends with its connection
         * counts only if its body is a JSON document, which shows its own end, or went to an `onData`
         * callback, which has to find the end.
         */
        Answered,
        NotSent, ///< No byte of the request left this process.
        /** The request may have been received, but no complete response was, or one that is invalid or too
         * large. */
        Unknown,
    };
    Outcome outcome_ = Outcome::Unknown;
    int status_ = 0;
    std::map<std::string, std::string> headers_; ///< Names in lower case.
    std::string body_; ///< Empty when the data went to an `onData` callback.
    std::string error_;
};

/** Identifies a transfer for `cancel`. */
using TransferId = Quantity<struct TransferIdTag, std::uint64_t>;

/** Sends requests. Callbacks are invoked on the client's own thread and must not block. */
class HttpClient {
public:
    using OnDone = std::function<void(HttpResult)>;
    using OnData = std::function<void(int status, std::string_view data)>;

    HttpClient();
    /** Cancels all transfers in flight. Every `OnDone` has been called when this returns. */
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /** Starts a transfer. `onDone` is called once, on the client's thread. With `onData`, the response body
     * is passed on as it arrives. Thread-safe. */
    TransferId start(HttpCall call, OnDone onDone, OnData onData = nullptr);

    /** Cancels a transfer; its `onDone` is still called. Has no effect on a finished transfer. Thread-safe.
     */
    void cancel(TransferId id);

    /** Sends a request and blocks until it is finished. Must not be called from a callback. */
    HttpResult perform(HttpCall call);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
