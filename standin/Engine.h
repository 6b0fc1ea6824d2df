#pragma once

/** \file
 * Engine: a minimal fake of a model engine with continuous batching and a prefix cache.
 *
 *     POST   /v1/chat/completions      streamed answer; each step generates one token per request
 *     GET    /v1/cache                 {"entries": [{"key", "tokens"}], "tokens": total}
 *     DELETE /v1/cache/<key>           evict the cached prefix of a program
 *     GET    /v1/load                  {"running", "waiting", "queued_tokens"}, reported with a lag
 *     GET    /used                     {"<key>": prompt and answer tokens so far, ...}
 *     POST   /faults {"cut_after": 5, "refuse": false, "lose_releases": 1}
 *
 * A token is four bytes of a message, rounded up. A prompt reuses the longest prefix of messages that is
 * cached under its `prompt_cache_key`; when the cache is full, the least recently used keys are evicted. An
 * answer starts with the text that follows `echo=` in the last message, so that a caller can match it to its
 * request.
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** Speed and capacity of the engine. */
struct EngineOptions {
    HttpServerOptions http_;
    Milliseconds step_ { 2 }; ///< Duration of one step of the batch.
    std::int64_t prefillTokensPerStep_ = 4096;
    std::int64_t answerTokens_ = 16; ///< Length of an answer, unless `max_tokens` is lower.
    std::uint64_t stepsPerReport_ = 100; ///< Load reports lag by one to two of these intervals.
    std::int64_t cacheTokens_ = 2000000;
    bool ignoresMaxTokens_ = false; ///< Answers exceed the requested `max_tokens`.
};

/** A running engine; the destructor stops it. */
class Engine {
public:
    explicit Engine(const EngineOptions& options);
    ~Engine();
    std::uint16_t port() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue::standin
