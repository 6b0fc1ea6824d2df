#pragma once

/** \file
 * RelayedCall: the message in which a VM asks another one to send a request to a target, and the headers in
 * which that one says what became of it.
 *
 *     VM without links --> POST /relay, the request and its limits --> VM with links --> target
 *                     <-- the target's answer, with the target, its version and what it says of itself
 *                     <-- or a refusal, with the number of runs that cannot be excluded
 */

#include "ForwardedCall.h"

#include <optional>
#include <string>

namespace fescue {

/** Encodes a call; `possibleRuns` were used up of its attempts. Pure. */
std::string encode(const ForwardedCall& call, std::uint32_t possibleRuns, MonotonicTime now);

/** Parses a call; nothing if the bytes are malformed. The call has no reply, and of its service only the id.
 * Pure. */
std::optional<ForwardedCall> parseRelayedCall(const std::string& bytes, MonotonicTime now);

/** Adds an outcome to the head of a reply. */
void addOutcome(HttpHead& head, const RelayOutcome& outcome);

/** Removes the outcome from the head of a reply and returns it. A head without one is not a reply to a
 * relayed call. */
std::optional<RelayOutcome> takeOutcome(HttpHead& head);

} // namespace fescue
