#pragma once

/** \file
 * QueuedCall: a call that waits for a target, as seen by the stages of the target pool.
 */

#include "ProgramId.h"
#include "Shard.h"

#include <optional>
#include <set>
#include <tuple>

namespace fescue {

/** Id of a call in the pool, unique in this process. */
using DispatchId = Quantity<struct DispatchIdTag, std::uint64_t>;

/** Digest of a call's content, independent of its idempotency key and program; 0 if there is none. */
using ContentDigest = Quantity<struct ContentDigestTag, std::uint64_t>;

/** Importance of a call; smaller ranks are more important. */
struct CallRank {
    std::uint32_t workspace_ = 0;
    std::uint32_t route_ = 0;
    friend bool operator==(CallRank a, CallRank b)
    {
        return a.workspace_ == b.workspace_ && a.route_ == b.route_;
    }
    friend bool operator<(CallRank a, CallRank b)
    {
        return std::tie(a.workspace_, a.route_) < std::tie(b.workspace_, b.route_);
    }
};

/** A call that waits for a target. */
struct QueuedCall {
    DispatchId id_;
    WorkspaceId workspace_;
    CallRank rank_;
    ProgramId program_; ///< Empty for a call that belongs to no program.
    ModelId model_; ///< Empty for a service call.
    ServiceId service_; ///< Empty for a model call.
    TokenCount promptTokens_; ///< Of the whole prompt, cached or not.
    TokenCount maxTokens_;
    ByteCount bytes_; ///< Memory used while the call is queued.
    ContentDigest digest_;
    Epoch epoch_; ///< Epoch of the shard's owner; 0 without a program.
    MonotonicTime arrived_;
    std::optional<MonotonicTime> deadline_; ///< The caller stops waiting then.
    std::optional<MonotonicTime> programDue_; ///< When its whole program should be finished.
    Milliseconds minDuration_ { 0 }; ///< Expected at a free target; 0 if unknown.
    bool startsProgram_ = false; ///< The first turn of its program.
    TargetId cachingTarget_; ///< Target that probably has the prompt cached; empty if unknown.
    std::string affinityKey_; ///< Calls with the same key run faster at the same target; empty for none.
    std::optional<SoftwareVersion> version_; ///< The only version that may run it; nothing if any may.
    bool isOnTrial_ = false; ///< Enters although its content is quarantined.
    std::set<TargetId> avoid_; ///< Targets that have already failed this call.
};

} // namespace fescue
