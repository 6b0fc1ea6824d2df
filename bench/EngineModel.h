#pragma once

/** \file
 * EngineModel: a model engine in model time, with continuous batching and a prefix cache.
 *
 * A step computes a share of the waiting prompts and makes a few tokens for each call in the batch, so its
 * time grows with both. Memory is shared by the calls in the batch and the prefixes kept for later; the
 * least recently used prefixes give way. Calls beyond the batch or the memory wait in order of arrival.
 */

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace fescue::bench {

/** Seconds of model time. */
using Seconds = double;

/** Size and speed of an engine. */
struct EngineShape {
    Seconds tokenTime_ = 0.015; ///< Of one token step with an empty batch.
    Seconds tokenTimePerCall_ = 0.0005; ///< Added for each call in the batch.
    Seconds prefillTime_ = 0.0001; ///< Of one token of prompt.
    int tokensPerStep_ = 12;
    int prefillPerStep_ = 3072;
    std::size_t mostInBatch_ = 32;
    std::int64_t memoryTokens_ = 1000000;
};

/** A call at an engine. */
struct EngineCall {
    std::uint64_t id_ = 0;
    int program_ = 0;
    int prompt_ = 0;
    int output_ = 0;
    int cached_ = 0;
    int prefillLeft_ = 0;
    int made_ = 0;
    bool crashes_ = false;
};

/** What a step brought about. */
struct StepResult {
    std::vector<EngineCall> admitted_; ///< With `cached_` set.
    std::vector<std::uint64_t> firstOutput_;
    std::vector<std::uint64_t> moreOutput_;
    std::vector<EngineCall> done_;
    bool hasCrashed_ = false;
};

/** A prefix that an engine holds. */
struct HeldPrefix {
    std::int64_t tokens_ = 0;
    std::list<int>::iterator place_;
    Seconds since_ = 0; ///< Start of the time that nobody can use it any more; set by `programGone`.
    bool isGone_ = false;
};

/** One engine. */
struct EngineModel {
    EngineShape shape_;
    double slowdown_ = 1;
    bool isDead_ = false;
    std::deque<EngineCall> waiting_;
    std::vector<EngineCall> batch_;
    std::unordered_map<int, HeldPrefix> held_;
    std::list<int> leastRecent_; ///< Oldest first.
    std::int64_t heldTokens_ = 0;
    std::int64_t pinnedTokens_ = 0;
    bool isStepping_ = false;
    double deadTokenSeconds_ = 0; ///< Memory times time that was held for programs that are gone.
    std::vector<int> evicted_; ///< Programs whose prefix gave way since this was last emptied.
};

/** Load as an engine reports it. */
struct EngineLoad {
    int running_ = 0;
    int waiting_ = 0;
    std::int64_t queuedTokens_ = 0;
};

/** The load at this moment. */
EngineLoad loadOf(const EngineModel& engine);
/** Tokens held for a program. */
std::int64_t heldFor(const EngineModel& engine, int program);
/** Lets waiting calls into the batch and returns the time of the next step; 0 when there is nothing to do. */
Seconds beginStep(EngineModel& engine, Seconds now, StepResult& result);
/** Carries out the step. */
void endStep(EngineModel& engine, Seconds now, StepResult& result);
/** Takes a call out, if it is there. */
void cancelCall(EngineModel& engine, std::uint64_t id);
/** Frees what is held for a program. */
void releasePrefix(EngineModel& engine, int program, Seconds now);
/** Notes that a program will not come back. */
void programGone(EngineModel& engine, int program, Seconds now);
/** Loses everything; returns the calls that were in it. */
std::vector<EngineCall> crash(EngineModel& engine, Seconds now);

} // namespace fescue::bench
