#pragma once

/** \file
 * Authentication: decides which workspace a request belongs to.
 *
 * Keys come and go with versions of the configuration, so each request is checked against the newest version
 * that this VM has read, also on connections that are already open. A request that has been accepted is
 * served to its end, even if its key is removed meanwhile. A key that this VM does not know may belong to a
 * version that it has not read yet: the key is rejected for good only while the configuration is current.
 */

#include "QueuedCall.h"
#include "ServingConfig.h"

namespace fescue {

/** How far this VM can rely on its configuration. */
struct ConfigCertainty {
    std::optional<Milliseconds> age_; ///< Since it was last confirmed; nothing if it never was.
    Milliseconds maxAgeToReject_ { 0 }; ///< At a greater age, an unknown key may be a new one.
    /** At a greater age, a known key may have been removed; nothing to accept it all the same. */
    std::optional<Milliseconds> maxAgeToAccept_;
};

/** The decision on the key of a request. */
enum class KeyStatus {
    Accepted,
    Unknown, ///< No workspace has the key.
    Uncertain, ///< The configuration may be outdated.
};

/** The workspace of a request, and its rank there. */
struct Authentication {
    KeyStatus status_ = KeyStatus::Unknown;
    WorkspaceId workspace_; ///< Empty if the request belongs to none.
    CallRank rank_;
    double weight_ = 1; ///< Of its share within its rank: its rate if it has a cap.
};

/** Checks the key of a request, empty if it has none. Pure. */
Authentication authenticate(const ServingConfig& config, const Route& route, const std::string& key,
    const ConfigCertainty& certainty);

/** Rank of the calls of a workspace on a route. A workspace that is not in the configuration, or none, adds
 * nothing to the rank of the route. Pure. */
CallRank rankOf(const ServingConfig& config, const WorkspaceId& workspace, std::uint32_t routePriority);

/** Returns an id that a caller has chosen, made distinct from the same id in other workspaces. Ids of callers
 * without a workspace stay as they are. Pure. */
template <typename Id> Id idWithin(const WorkspaceId& workspace, const Id& id)
{
    return workspace.empty() || id.empty() ? id : Id { workspace.value_ + '/' + id.value_ };
}

} // namespace fescue
