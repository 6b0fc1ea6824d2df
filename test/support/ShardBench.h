#pragma once

/** \file
 * ShardBench: owners of one shard with an in-memory log, for tests that script each step.
 */

#include "AdmitCall.h"
#include "FinishCall.h"
#include "LedgerSnapshot.h"
#include "ProgramLifecycle.h"
#include "ShardLog.h"

#include <stdexcept>

namespace fescue::test {

/** A process that can own the shard. */
struct BenchOwner {
    std::string name_;
    Shard shard_ {};
};

/** The log, the clock and shortcuts for the decisions. Not thread-safe. */
class ShardBench {
public:
    ShardLimits limits_;
    MonotonicTime now_;
    std::vector<Batch> log_;
    std::size_t expiredEntries_ = 0;

    ShardContext context() const { return { now_, limits_ }; }

    /** Appends the owner's next batch; the owner does not read it back yet. */
    bool append(BenchOwner& owner)
    {
        auto batch = takeBatch(owner.shard_, { owner.name_ }, limits_.batchSizeThreshold_);
        if (batch)
            log_.push_back(*batch);
        return batch.has_value();
    }

    /** Lets the owner read the log to its end. */
    Effects read(BenchOwner& owner)
    {
        Effects effects;
        if (owner.shard_.ledger_.lastReadOffset_.value_ < expiredEntries_)
            effects = startGapRecovery(owner.shard_, { expiredEntries_ + 1 });
        while (owner.shard_.ledger_.lastReadOffset_.value_ < log_.size()) {
            LogOffset offset { owner.shard_.ledger_.lastReadOffset_.value_ + 1 };
            for (Effect& effect : applyLogEntry(owner.shard_, offset, log_[offset.value_ - 1], context()))
                effects.push_back(std::move(effect));
        }
        return effects;
    }

    Effects flush(BenchOwner& owner)
    {
        Effects effects;
        while (append(owner)) {
            for (Effect& effect : read(owner))
                effects.push_back(std::move(effect));
        }
        return effects;
    }

    void claim(BenchOwner& owner)
    {
        owner.shard_.ledger_.shard_ = { { "zone" }, { 0 } };
        read(owner);
        startClaim(owner.shard_, { owner.name_ }, { owner.name_ });
        flush(owner);
    }

    Effects create(BenchOwner& owner, const std::string& program, std::int64_t budget = 1000000,
        const std::string& parent = {})
    {
        return createProgram(
            owner.shard_, { { ++request_ }, { program }, { "w" }, { parent }, { budget } }, context());
    }

    Effects end(BenchOwner& owner, const std::string& program)
    {
        return endProgram(owner.shard_, { { ++request_ }, { "w" }, { program }, "ended" }, context());
    }

    /** Submits a call of a service, or of a model with `maxTokens`. */
    Effects call(BenchOwner& owner, const std::string& program, std::uint32_t number,
        CallKind kind = CallKind::AtMostOnceService, std::int64_t maxTokens = 0)
    {
        Call call { { ++request_ }, { "w" }, { program }, { number }, kind, "f" + std::to_string(number),
            R"([{"role":"user","content":"hello"}])", {}, { maxTokens } };
        return admitCall(owner.shard_, call, context());
    }

    Effects finish(
        BenchOwner& owner, const Effects& effects, ExecutionResult::Kind kind, std::int64_t used = 0)
    {
        const auto& execute = require<ExecuteCall>(effects);
        ExecutionResult result;
        result.kind_ = kind;
        result.outcome_ = { 200, "text/plain", "done", RunState::Final };
        result.problem_ = { ProblemKind::TargetFailed, RunState::NotRun, "failed", std::nullopt };
        result.used_ = { used };
        return finishCall(owner.shard_, execute.call_.program_, execute.execution_, result, context());
    }

    /** Returns the first effect of a kind, or null. */
    template <typename Kind> static const Kind* find(const Effects& effects)
    {
        for (const Effect& effect : effects) {
            if (const auto* found = std::get_if<Kind>(&effect))
                return found;
        }
        return nullptr;
    }

    /** Returns the first effect of a kind; throws, failing the test, if there is none. */
    template <typename Kind> static const Kind& require(const Effects& effects)
    {
        const Kind* found = find<Kind>(effects);
        if (!found)
            throw std::runtime_error("expected effect is missing");
        return *found;
    }

private:
    std::uint64_t request_ = 0;
};

} // namespace fescue::test
