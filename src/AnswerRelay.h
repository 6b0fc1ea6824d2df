#pragma once

/** \file
 * AnswerRelay: passes a target's answer on to its caller, and decides whether it was broken off.
 *
 * A stream is passed on as it arrives. Any other answer is buffered until it is complete, so that a truncated
 * one can be retried, unless it is too large for that or the VM has no room for it.
 *
 * An answer without a length or chunks ends when the target closes its connection in order. Its caller still
 * gets a length or chunks: otherwise the loss of this VM would look like the end of the answer. A stream that
 * stops inside an event was broken off, whatever its framing says, and so was one that ends with its
 * connection before its first event.
 */

#include "EventCounter.h"
#include "EventData.h"
#include "FrontServer.h"

#include <memory>
#include <optional>
#include <string>

namespace fescue {

/** An answer on its way to a caller. */
struct AnswerRelay {
    std::shared_ptr<FrontReply> reply_;
    bool isStream_ = false;
    std::int64_t maxEvents_ = 0; ///< Events that the request may generate; 0 if unknown.
    HttpHead head_; ///< Of the target's last answer.
    std::string buffered_;
    std::size_t reserved_ = 0; ///< Bytes of room for `buffered_`.
    std::size_t reservedForData_ = 0; ///< Bytes of room for `data_`.
    EventCounter events_; ///< Passed on.
    std::optional<EventData> data_; ///< Of these events; nothing if it is not needed.
    std::size_t maxDataBytes_ = 0; ///< Of `data_`.
    bool hasStarted_ = false; ///< The head was sent to the caller.
};

/** The most events that a stream of so many tokens has; 0 if unknown. Pure. */
std::int64_t maxEventsOf(TokenCount maxTokens, TokenCount tokensPerEvent);

/** Whether an answer has a status of success. Pure. */
bool isSuccess(const HttpHead& answer);

/** Takes the head of an answer in place of that of an earlier send. Not thread-safe, like all functions here.
 */
void takeHead(AnswerRelay& relay, const HttpHead& head);

/** Sends the head to the caller. Precondition: `takeHead`, once per caller. */
void startRelay(AnswerRelay& relay);

/** Passes on or buffers a part of the body. Returns null; or why the stream cannot be what the request asked
 * for, so that it would not end either. The part is dropped then. Precondition: `takeHead`. */
const char* relayBody(AnswerRelay& relay, std::string part);

/** Events that were passed on at most, including an incomplete one. Pure. */
std::int64_t relayedEvents(const AnswerRelay& relay);

/** Why the answer is known to be incomplete although its message has ended; null if it is not. Pure.
 * Precondition: `takeHead`. */
const char* findBreak(const AnswerRelay& relay);

/** Ends the answer as complete. Precondition: `takeHead`, and `findBreak` returns null. */
void finishRelay(AnswerRelay& relay);

/** Describes for logs how the end of the answer is marked and where it stopped. Pure. */
std::string describeEnd(const AnswerRelay& relay);

} // namespace fescue
