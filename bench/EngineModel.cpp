#include "EngineModel.h"

#include <algorithm>

namespace fescue::bench {

namespace {

    void drop(EngineModel& engine, int program, Seconds now)
    {
        auto found = engine.held_.find(program);
        if (found == engine.held_.end())
            return;
        const HeldPrefix& prefix = found->second;
        if (prefix.isGone_)
            engine.deadTokenSeconds_ += static_cast<double>(prefix.tokens_) * (now - prefix.since_);
        engine.heldTokens_ -= prefix.tokens_;
        engine.leastRecent_.erase(prefix.place_);
        engine.held_.erase(found);
    }

    bool makeRoom(EngineModel& engine, std::int64_t tokens, Seconds now)
    {
        std::int64_t memory = engine.shape_.memoryTokens_;
        if (engine.pinnedTokens_ + tokens > memory && !engine.batch_.empty())
            return false;
        while (engine.pinnedTokens_ + engine.heldTokens_ + tokens > memory && !engine.leastRecent_.empty()) {
            engine.evicted_.push_back(engine.leastRecent_.front());
            drop(engine, engine.leastRecent_.front(), now);
        }
        return true;
    }

    void keep(EngineModel& engine, const EngineCall& call)
    {
        std::int64_t tokens = call.prompt_ + call.made_;
        engine.leastRecent_.push_back(call.program_);
        engine.held_[call.program_] = { tokens, std::prev(engine.leastRecent_.end()) };
        engine.heldTokens_ += tokens;
    }

    bool admitNext(EngineModel& engine, Seconds now, StepResult& result)
    {
        EngineCall call = engine.waiting_.front();
        call.cached_ = static_cast<int>(std::min<std::int64_t>(heldFor(engine, call.program_), call.prompt_));
        std::int64_t pinned = call.prompt_ + call.output_;
        if (!makeRoom(engine, pinned - call.cached_, now))
            return false;
        call.cached_ = static_cast<int>(std::min<std::int64_t>(heldFor(engine, call.program_), call.prompt_));
        drop(engine, call.program_, now);
        engine.pinnedTokens_ += pinned;
        call.prefillLeft_ = std::max(1, call.prompt_ - call.cached_);
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
        load.queuedTokens_ += call.prefillLeft_;
    for (const EngineCall& call : engine.waiting_)
        load.queuedTokens_ += call.prompt_;
    return load;
}

std::int64_t heldFor(const EngineModel& engine, int program)
{
    auto found = engine.held_.find(program);
    return found == engine.held_.end() ? 0 : found->second.tokens_;
}

Seconds beginStep(EngineModel& engine, Seconds now, StepResult& result)
{
    const EngineShape& shape = engine.shape_;
    while (!engine.waiting_.empty() && engine.batch_.size() < shape.mostInBatch_) {
        if (!admitNext(engine, now, result))
            break;
    }
    if (engine.batch_.empty())
        return 0;
    int waiting = 0;
    for (const EngineCall& call : engine.batch_)
        waiting += call.prefillLeft_;
    auto size = static_cast<double>(engine.batch_.size());
    Seconds decode = shape.tokensPerStep_ * (shape.tokenTime_ + shape.tokenTimePerCall_ * size);
    Seconds prefill = std::min(waiting, shape.prefillPerStep_) * shape.prefillTime_;
    return (decode + prefill) * engine.slowdown_;
}

void endStep(EngineModel& engine, Seconds, StepResult& result)
{
    int prefill = engine.shape_.prefillPerStep_;
    for (auto call = engine.batch_.begin(); call != engine.batch_.end();) {
        if (call->prefillLeft_ > 0) {
            int share = std::min(prefill, call->prefillLeft_);
            prefill -= share;
            call->prefillLeft_ -= share;
            if (call->prefillLeft_ == 0 && call->crashes_)
                result.hasCrashed_ = true;
            ++call;
            continue;
        }
        if (call->made_ == 0)
            result.firstOutput_.push_back(call->id_);
        else if (call->made_ % (4 * engine.shape_.tokensPerStep_) == 0)
            result.moreOutput_.push_back(call->id_);
        call->made_ = std::min(call->output_, call->made_ + engine.shape_.tokensPerStep_);
        if (call->made_ < call->output_) {
            ++call;
            continue;
        }
        engine.pinnedTokens_ -= call->prompt_ + call->output_;
        keep(engine, *call);
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
    engine.pinnedTokens_ -= running->prompt_ + running->output_;
    engine.batch_.erase(running);
}

void releasePrefix(EngineModel& engine, int program, Seconds now) { drop(engine, program, now); }

void programGone(EngineModel& engine, int program, Seconds now)
{
    auto found = engine.held_.find(program);
    if (found == engine.held_.end() || found->second.isGone_)
        return;
    found->second.isGone_ = true;
    found->second.since_ = now;
}

std::vector<EngineCall> crash(EngineModel& engine, Seconds now)
{
    std::vector<EngineCall> lost(engine.waiting_.begin(), engine.waiting_.end());
    lost.insert(lost.end(), engine.batch_.begin(), engine.batch_.end());
    engine.waiting_.clear();
    engine.batch_.clear();
    engine.pinnedTokens_ = 0;
    while (!engine.leastRecent_.empty())
        drop(engine, engine.leastRecent_.front(), now);
    return lost;
}

} // namespace fescue::bench
