#pragma once

/** \file
 * Engine: a small stand-in for a model engine with continuous batching and a prefix cache.
 *
 *     POST   /v1/chat/completions      streamed answer; the batch makes one token a request and step
 *     GET    /v1/cache                 {"entries": [{"key", "tokens"}], "tokens": total}
 *     DELETE /v1/cache/<key>           free what is held for a program
 *     GET    /v1/load                  {"running", "waiting", "queued_tokens"}, which lags
 *     GET    /used                     {"<key>": tokens of prompts and answers so far, ...}
 *     POST   /faults {"cut_after": 5, "refuse": false, "lose_releases": 1}
 *
 * A token is four bytes of a message, rounded up. Prompts of one `prompt_cache_key` share their longest
 * common run of messages with the cache; the least recently used keys give way when the cache is full.
 * An answer begins with what the last message has behind `echo=`, so that a caller knows it for its own.
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** How fast and how large the engine is. */
struct EngineOptions {
    HttpServerOptions http_;
    Milliseconds step_ { 2 }; ///< Time of one step of the batch.
    std::int64_t prefillTokensPerStep_ = 4096;
    std::int64_t answerTokens_ = 16; ///< Length of an answer, unless `max_tokens` is less.
    std::uint64_t stepsPerReport_ = 100; ///< Load reports lag by one to two times as many steps.
    std::int64_t cacheTokens_ = 2000000;
    bool ignoresMaxTokens_ = false; ///< It goes on beyond what was asked for.
};

/** A running engine; ends when it is destroyed. */
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
