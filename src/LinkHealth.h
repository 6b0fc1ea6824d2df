#pragma once

/** \file
 * LinkHealth: whether this VM can still open connections to targets.
 *
 * A VM may lose its links to all targets while callers, the store and other VMs reach it. One target that
 * cannot be reached says nothing of the kind, so the belief needs several of the own zone, without any new
 * connection since. It is about new connections only: those that exist may live on, hang or be reset.
 */

#include "Types.h"

#include <map>

namespace fescue {

/** Failed and successful connections of a VM to targets. */
struct LinkHealth {
    ZoneId zone_; ///< Of the VM.
    std::map<TargetId, MonotonicTime> failures_; ///< Last failure of each target since the last connection.
    std::map<TargetId, ZoneId> targets_; ///< All known targets.
    bool isStranded_ = false;
    MonotonicTime changedAt_;
};

/** Records that a target could not be reached. Returns whether the VM now counts as stranded and did not
 * before. Not thread-safe. */
bool recordLinkFailure(LinkHealth& health, const TargetId& target, MonotonicTime now);

/** Records that a connection to a target was established. Returns whether this ends the belief that the VM is
 * stranded. Not thread-safe. */
bool recordLink(LinkHealth& health, MonotonicTime now);

} // namespace fescue
