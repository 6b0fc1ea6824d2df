#pragma once

/** \file
 * QueuedCall: a call that wants a target, as the stages of the target pool see it.
 */

#include "ProgramId.h"
#include "Shard.h"

#include <optional>
#include <set>

namespace fescue {

/** Number of one call in the pool, unique in this process. */
using DispatchId = Quantity<struct DispatchIdTag, std::uint64_t>;

/** Digest of what a call asks for, the same whatever key or program it comes under; 0 for none. */
using ContentDigest = Quantity<struct ContentDigestTag, std::uint64_t>;

/** A call that wants a target. */
struct QueuedCall {
    DispatchId id_;
    WorkspaceId workspace_;
    ProgramId program_; ///< Empty for a call outside of any program.
    ModelId model_; ///< Empty for a service call.
    ServiceId service_; ///< Empty for a model call.
    TokenCount promptTokens_; ///< Of the whole prompt; the part that a target holds is known to the pool.
    TokenCount maxTokens_;
    ByteCount bytes_; ///< Memory that the call takes up while it waits.
    ContentDigest digest_;
    Epoch epoch_; ///< Under which the call runs; 0 outside of any program.
    MonotonicTime arrived_;
    std::optional<MonotonicTime> deadline_; ///< The caller does not wait any longer.
    TargetId cachingTarget_; ///< Target that has the call's own prompt cached, as far as known; else empty.
    std::set<TargetId> avoid_; ///< Targets that failed this call already.
};

} // namespace fescue
