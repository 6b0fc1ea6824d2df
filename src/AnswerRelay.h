#pragma once

/** \file
 * AnswerRelay: passes a target's answer on to its caller.
 *
 * A stream is passed on as it arrives. Any other answer is buffered until it is complete, so that a truncated
 * one can be retried, unless it is too large for that.
 */

#include "EventCounter.h"
#include "FrontServer.h"

#include <memory>
#include <string>

namespace fescue {

/** An answer on its way to a caller. */
struct AnswerRelay {
    std::shared_ptr<FrontReply> reply_;
    bool isStream_ = false;
    HttpHead head_; ///< Of the target's last answer.
    std::string buffered_;
    EventCounter events_; ///< Passed on.
    bool hasStarted_ = false; ///< The head was sent to the caller.
};

/** Takes the head of an answer in place of that of an earlier send. Not thread-safe, like all functions here.
 */
void takeHead(AnswerRelay& relay, const HttpHead& head);

/** Sends the head to the caller. Precondition: `takeHead`, once per caller. */
void startRelay(AnswerRelay& relay);

/** Passes on or buffers a part of the body. Precondition: `takeHead`. */
void relayBody(AnswerRelay& relay, std::string part);

/** Ends the answer as complete. Precondition: `takeHead`. */
void finishRelay(AnswerRelay& relay);

/** Describes for logs how the end of the answer is marked and where it stopped. Pure. */
std::string describeEnd(const AnswerRelay& relay);

} // namespace fescue
