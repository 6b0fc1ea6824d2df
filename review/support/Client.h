#pragma once

/** \file
 * Client: one client attempt on a channel of its own.
 */

#include <functional>
#include <string>

namespace fescue::review {

/** What a client has got for one attempt. */
struct ClientAnswer {
    int status_ = 0; ///< 0 if there was no answer.
    bool isComplete_ = false; ///< The answer has reached its end.
    std::string head_;
    std::string body_; ///< Without the chunked encoding.
};

/** Sends a request and reads its answer; `headers` are lines that each end in CRLF. Reads at most for ten
 * seconds between two pieces. Thread-safe. */
ClientAnswer sendRequest(int port, const std::string& method, const std::string& path,
    const std::string& headers, const std::string& body);

/** Sends a request, and closes its channel after a time without reading the answer. Thread-safe. */
void sendAndLeave(int port, const std::string& method, const std::string& path, const std::string& headers,
    const std::string& body, int leaveAfterMs);

/** How often `text` has `part`. Pure. */
int countOf(const std::string& text, const std::string& part);

} // namespace fescue::review
