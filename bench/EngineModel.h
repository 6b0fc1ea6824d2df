#pragma once

/** \file
 * EngineModel: a model engine in simulated time, with continuous batching and a prefix cache.
 *
 * A step processes part of the pending prefill and generates a few tokens for each call in the batch, so its
 * duration grows with both. The calls in the batch and the cached prefixes share the memory; the least
 * recently used prefixes are evicted first. Calls that exceed the batch size or the memory wait in order of
 * arrival.
 */

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace fescue::bench {

/** Simulated time in seconds. */
using Seconds = double;

/** Capacity and speed of an engine. */
struct EngineShape {
    Seconds tokenTime_ = 0.015; ///< Duration of one decode step with an empty batch.
    Seconds tokenTimePerCall_ = 0.0005; ///< Added to `tokenTime_` for each call in the batch.
    Seconds prefillTime_ = 0.0001; ///< Duration of the prefill of one prompt token.
    int tokensPerStep_ = 12;
    int prefillPerStep_ = 3072;
    std::size_t maxBatchSize_ = 32;
    std::int64_t memoryTokens_ = 1000000;
};

/** A call at an engine. */
struct EngineCall {
    std::uint64_t id_ = 0;
    int program_ = 0;
    int promptTokens_ = 0;
    int outputTokens_ = 0;
    int cachedTokens_ = 0;
    int remainingPrefillTokens_ = 0;
    int generatedTokens_ = 0;
    bool crashes_ = false;
};

/** Result of a step. */
struct StepResult {
    std::vector<EngineCall> admitted_; ///< With `cachedTokens_` set.
    std::vector<std::uint64_t> firstOutput_;
    std::vector<std::uint64_t> moreOutput_;
    std::vector<EngineCall> done_;
    bool hasCrashed_ = false;
};

/** A prefix in the cache of an engine. */
struct CachedPrefix {
    std::int64_t tokens_ = 0;
    std::list<int>::iterator lruPosition_;
    Seconds endedAt_ = 0; ///< Time when its program ended; set by `markProgramEnded`.
    bool hasProgramEnded_ = false;
};

/** One engine. */
struct EngineModel {
    EngineShape shape_;
    double slowdown_ = 1;
    bool isDown_ = false;
    std::deque<EngineCall> waiting_;
    std::vector<EngineCall> batch_;
    std::unordered_map<int, CachedPrefix> cachedPrefixes_;
    std::list<int> lruOrder_; ///< Least recently used first.
    std::int64_t cachedPrefixTokens_ = 0;
    std::int64_t pinnedTokens_ = 0;
    bool isStepping_ = false;
    double endedProgramTokenSeconds_ = 0; ///< Cache tokens times seconds held for ended programs.
    std::vector<int> evicted_; ///< Programs whose prefix was evicted; the caller clears it.
};

/** Load report of an engine. */
struct EngineLoad {
    int running_ = 0;
    int waiting_ = 0;
    std::int64_t queuedTokens_ = 0;
};

/** Returns the current load. */
EngineLoad loadOf(const EngineModel& engine);
/** Returns the number of tokens cached for a program. */
std::int64_t cachedTokensFor(const EngineModel& engine, int program);
/** Admits waiting calls to the batch. Returns the duration of the next step, or 0 if the batch is empty. */
Seconds beginStep(EngineModel& engine, Seconds now, StepResult& result);
/** Completes the step. */
void endStep(EngineModel& engine, Seconds now, StepResult& result);
/** Removes a waiting or running call, if present. */
void cancelCall(EngineModel& engine, std::uint64_t id);
/** Removes the cached prefix of a program. */
void releasePrefix(EngineModel& engine, int program, Seconds now);
/** Records that a program has ended and will not use its prefix again. */
void markProgramEnded(EngineModel& engine, int program, Seconds now);
/** Clears the engine, including its cache, and returns the calls that were waiting or running. */
std::vector<EngineCall> crash(EngineModel& engine, Seconds now);

} // namespace fescue::bench
