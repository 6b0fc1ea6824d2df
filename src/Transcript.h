#pragma once

/** \file
 * Transcript: checks that a model call continues its own program's history.
 *
 * Callers send the whole list of messages with each call. Instead of the messages a program keeps a hash
 * chain over them: digest(n) = SHA-256(digest(n-1) + canonical(message n)). The stored part must be the
 * prefix of what is sent, so a history is never lost and never mixed with another's. Only role, content,
 * name and tool members take part, since client libraries add and drop others at will.
 */

#include "Record.h"

#include <nlohmann/json_fwd.hpp>

namespace fescue {

/** What a model call adds to the transcript of its program. */
struct TranscriptDelta {
    TranscriptHead head_; ///< Head after the new messages.
    std::string newMessages_; ///< JSON array of the new messages.
    ByteCount newBytes_; ///< Size of the call's body without the stored messages.
};

/** Checks `messages` (a JSON array) against the stored head and returns what follows it.
 *
 * Pure. `bodySize` is the size of the whole request body. Errors: `BadRequest` when the array is empty or
 * holds something other than objects with a role; `TranscriptMismatch` when the stored part is not its
 * prefix, with the number of messages that the program holds. */
tl::expected<TranscriptDelta, Problem> continueTranscript(
    const TranscriptHead& stored, const nlohmann::json& messages, ByteCount bodySize);

/** Head after one more message. Pure. */
TranscriptHead extendHead(const TranscriptHead& head, const nlohmann::json& message);

} // namespace fescue
