#pragma once

/** \file
 * ChatStream: the answer of a model engine, gathered from its server-sent events.
 *
 * Engines answer in the form of OpenAI's chat completions, one event a token or so, the last one with the
 * usage, then `[DONE]`. The events go on to the caller as they come; gathered, they make the message that
 * enters the program's history. A stream without `[DONE]` is truncated, and never passed off as whole.
 */

#include "Types.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

/** Token counts as the engine reports them with its last event. */
struct ChatUsage {
    TokenCount prompt_;
    TokenCount completion_;
    TokenCount cached_; ///< Part of the prompt that the engine had in its cache.
};

/** Gathers one answer. Not safe from several threads. */
class ChatStream {
public:
    ChatStream();
    ~ChatStream();
    ChatStream(ChatStream&&) noexcept;
    ChatStream& operator=(ChatStream&&) noexcept;

    /** Takes bytes as they come and returns the events to pass on, each with its closing blank line.
     * `[DONE]` is not among them. */
    std::vector<std::string> feed(std::string_view bytes);

    /** Whether `[DONE]` has come. */
    bool isDone() const;
    /** Events with content so far; an engine's token never spans several events. */
    TokenCount contentEvents() const;
    /** Usage as reported; zeros until then. */
    ChatUsage usage() const;
    /** The assistant's message so far, as JSON. */
    std::string message() const;
    /** The whole answer as one `chat.completion` object. */
    std::string completion() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** A finished `chat.completion` object as server-sent events, without `[DONE]`. Pure. */
std::string toEventStream(const std::string& completion);

} // namespace fescue
