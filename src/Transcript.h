#pragma once

/** \file
 * Transcript: checks that a model call continues its own program's history.
 *
 * Callers send the whole list of messages with each call. A program stores only a hash chain over them:
 * digest(n) = SHA-256(digest(n-1) + canonical(message n)). The stored history must be a prefix of the
 * messages sent, so that a history is neither truncated nor mixed with another program's. Only the role,
 * content, name and tool members are hashed, since client libraries add and drop other members.
 */

#include "Record.h"

#include <nlohmann/json_fwd.hpp>

namespace fescue {

/** The messages that a model call adds to its program's transcript. */
struct TranscriptDelta {
    TranscriptHead head_; ///< Head after the new messages.
    std::string newMessages_; ///< JSON array of the new messages.
    ByteCount newBytes_; ///< Size of the call's body without the stored messages.
};

/** Checks `messages` (a JSON array) against the stored head and returns the new messages.
 *
 * Pure. `bodySize` is the size of the whole request body. Errors: `BadRequest` when the array is empty or
 * holds something other than objects with a role; `TranscriptMismatch` when the stored history is not its
 * prefix; the detail gives the length of that history. */
tl::expected<TranscriptDelta, Problem> continueTranscript(
    const TranscriptHead& stored, const nlohmann::json& messages, ByteCount bodySize);

/** Head after one more message. Pure. */
TranscriptHead extendHead(const TranscriptHead& head, const nlohmann::json& message);

} // namespace fescue
