#pragma once

/** \file
 * RefuseCall: the answer to a request that ends at the entry VM.
 */

#include "EventLog.h"
#include "ForwardedCall.h"

#include <optional>
#include <string>

namespace fescue {

/** Answers a request that ends here with a problem document, and a `Retry-After` header if `retryAfter` is
 * set. All statuses but 502 and 504, such as 503, state that the request has not run. */
void refuseCall(FrontReply& reply, const AttemptId& attempt, int status, const std::string& reason,
    std::optional<Milliseconds> retryAfter);

/** The same for a call that is refused before it is forwarded, with the log line of its final answer;
 * `fields` are added to that line. */
void rejectCall(ForwardedCall& call, int status, const std::string& reason,
    std::optional<Milliseconds> retryAfter, const LogFields& fields = {});

/** Logs that the caller of a request has disconnected before it was forwarded; `fields` are added to the
 * line. */
void logCallerGone(const ForwardedCall& call, const char* reason, const LogFields& fields = {});

} // namespace fescue
