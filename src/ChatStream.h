#pragma once

/** \file
 * ChatStream: assembles the answer of a model engine from its server-sent events.
 *
 * Engines stream OpenAI chat completions: about one event per token, a last event with the usage, then
 * `[DONE]`. The events are forwarded to the caller as they arrive; the assembled message is appended to the
 * program's history. A stream without `[DONE]` is truncated and must not be treated as complete.
 */

#include "Types.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

/** Token counts that the engine reports in its last event. */
struct ChatUsage {
    TokenCount prompt_;
    TokenCount completion_;
    TokenCount cached_; ///< Part of the prompt that was a cache hit.
};

/** Assembles one answer. Not thread-safe. */
class ChatStream {
public:
    ChatStream();
    ~ChatStream();
    ChatStream(ChatStream&&) noexcept;
    ChatStream& operator=(ChatStream&&) noexcept;

    /** Parses the next bytes of the stream and returns the events to forward, each with its terminating blank
     * line, without `[DONE]`. */
    std::vector<std::string> feed(std::string_view bytes);

    /** Whether `[DONE]` has been received. */
    bool isDone() const;
    /** Number of events with content so far; one token never spans several events. */
    TokenCount contentEvents() const;
    /** Usage that the engine reported; zero before that. */
    ChatUsage usage() const;
    /** The assistant's message so far, as JSON. */
    std::string message() const;
    /** The complete answer as one `chat.completion` object. */
    std::string completion() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Converts a complete `chat.completion` object to server-sent events, without `[DONE]`. Pure. */
std::string toEventStream(const std::string& completion);

} // namespace fescue
