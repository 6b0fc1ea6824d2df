#include "EngineModel.h"

#include <algorithm>

namespace fescue::bench {

namespace {

    void removePrefix(EngineModel& engine, int program, Seconds now)
    {
        auto found = engine.cachedPrefixes_.find(program);
        if (found == engine.cachedPrefixes_.end())
            return;
        const CachedPrefix& prefix = found->second;
        if (prefix.hasProgramEnded_)
            engine.endedProgramTokenSeconds_ += static_cast<double>(prefix.tokens_) * (now - prefix.endedAt_);
        engine.cachedPrefixTokens_ -= prefix.tokens_;
        engine.lruOrder_.erase(prefix.lruPosition_);
        engine.cachedPrefixes_.erase(found);
    }

    bool makeRoom(EngineModel& engine, std::int64_t tokens, Seconds now)
    {
        std::int64_t memory = engine.shape_.memoryTokens_;
        if (engine.pinnedTokens_ + tokens > memory && !engine.batch_.empty())
            return false;
        while (engine.pinnedTokens_ + engine.cachedPrefixTokens_ + tokens > memory
            && !engine.lruOrder_.empty()) {
            engine.evicted_.push_back(engine.lruOrder_.front());
            removePrefix(engine, engine.lruOrder_.front(), now);
        }
        return true;
    }

    void cachePrefix(EngineModel& engine, const EngineCall& call)
    {
        std::int64_t tokens = call.promptTokens_ + call.generatedTokens_;
        engine.lruOrder_.push_back(call.program_);
        engine.cachedPrefixes_[call.program_] = { tokens, std::prev(engine.lruOrder_.end()) };
        engine.cachedPrefixTokens_ += tokens;
    }

    bool admitNext(EngineModel& engine, Seconds now, StepResult& result)
    {
        EngineCall call = engine.waiting_.front();
        call.cachedTokens_ = static_cast<int>(
            std::min<std::int64_t>(cachedTokensFor(engine, call.program_), call.promptTokens_));
        std::int64_t pinned = call.promptTokens_ + call.outputTokens_;
        if (!makeRoom(engine, pinned - call.cachedTokens_, now))
            return false;
        call.cachedTokens_ = static_cast<int>(
            std::min<std::int64_t>(cachedTokensFor(engine, call.program_), call.promptTokens_));
        removePrefix(engine, call.program_, now);
        engine.pinnedTokens_ += pinned;
        call.remainingPrefillTokens_ = std::max(1, call.promptTokens_ - call.cachedTokens_);
        result.admitted_.push_back(call);
        engine.batch_.push_back(call);
        engine.waiting_.pop_front();
        return true;
    }

} // namespace

EngineLoad loadOf(const EngineModel& engine)
{
    EngineLoad load;
    load.running_ = static_cast<int>(engine.batch_.size());
    load.waiting_ = static_cast<int>(engine.waiting_.size());
    for (const EngineCall& call : engine.batch_)
        load.queuedTokens_ += call.remainingPrefillTokens_;
    for (const EngineCall& call : engine.waiting_)
        load.queuedTokens_ += call.promptTokens_;
    return load;
}

std::int64_t cachedTokensFor(const EngineModel& engine, int program)
{
    auto found = engine.cachedPrefixes_.find(program);
    return found == engine.cachedPrefixes_.end() ? 0 : found->second.tokens_;
}

Seconds beginStep(EngineModel& engine, Seconds now, StepResult& result)
{
    const EngineShape& shape = engine.shape_;
    while (!engine.waiting_.empty() && engine.batch_.size() < shape.maxBatchSize_) {
        if (!admitNext(engine, now, result))
            break;
    }
    if (engine.batch_.empty())
        return 0;
    int waiting = 0;
    for (const EngineCall& call : engine.batch_)
        waiting += call.remainingPrefillTokens_;
    auto size = static_cast<double>(engine.batch_.size());
    Seconds decode = shape.tokensPerStep_ * (shape.tokenTime_ + shape.tokenTimePerCall_ * size);
    Seconds prefill = std::min(waiting, shape.prefillPerStep_) * shape.prefillTime_;
    return (decode + prefill) * engine.slowdown_;
}

void endStep(EngineModel& engine, Seconds, StepResult& result)
{
    int prefill = engine.shape_.prefillPerStep_;
    for (auto call = engine.batch_.begin(); call != engine.batch_.end();) {
        if (call->remainingPrefillTokens_ > 0) {
            int share = std::min(prefill, call->remainingPrefillTokens_);
            prefill -= share;
            call->remainingPrefillTokens_ -= share;
            if (call->remainingPrefillTokens_ == 0 && call->crashes_)
                result.hasCrashed_ = true;
            ++call;
            continue;
        }
        if (call->generatedTokens_ == 0)
            result.firstOutput_.push_back(call->id_);
        else if (call->generatedTokens_ % (4 * engine.shape_.tokensPerStep_) == 0)
            result.moreOutput_.push_back(call->id_);
        call->generatedTokens_
            = std::min(call->outputTokens_, call->generatedTokens_ + engine.shape_.tokensPerStep_);
        if (call->generatedTokens_ < call->outputTokens_) {
            ++call;
            continue;
        }
        engine.pinnedTokens_ -= call->promptTokens_ + call->outputTokens_;
        cachePrefix(engine, *call);
        result.done_.push_back(*call);
        call = engine.batch_.erase(call);
    }
}

void cancelCall(EngineModel& engine, std::uint64_t id)
{
    auto isIt = [id](const EngineCall& call) { return call.id_ == id; };
    auto waiting = std::find_if(engine.waiting_.begin(), engine.waiting_.end(), isIt);
    if (waiting != engine.waiting_.end())
        engine.waiting_.erase(waiting);
    auto running = std::find_if(engine.batch_.begin(), engine.batch_.end(), isIt);
    if (running == engine.batch_.end())
        return;
    engine.pinnedTokens_ -= running->promptTokens_ + running->outputTokens_;
    engine.batch_.erase(running);
}

void releasePrefix(EngineModel& engine, int program, Seconds now) { removePrefix(engine, program, now); }

void markProgramEnded(EngineModel& engine, int program, Seconds now)
{
    auto found = engine.cachedPrefixes_.find(program);
    if (found == engine.cachedPrefixes_.end() || found->second.hasProgramEnded_)
        return;
    found->second.hasProgramEnded_ = true;
    found->second.endedAt_ = now;
}

std::vector<EngineCall> crash(EngineModel& engine, Seconds now)
{
    std::vector<EngineCall> lost(engine.waiting_.begin(), engine.waiting_.end());
    lost.insert(lost.end(), engine.batch_.begin(), engine.batch_.end());
    engine.waiting_.clear();
    engine.batch_.clear();
    engine.pinnedTokens_ = 0;
    while (!engine.lruOrder_.empty())
        removePrefix(engine, engine.lruOrder_.front(), now);
    return lost;
}

} // namespace fescue::bench
