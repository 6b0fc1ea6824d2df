#pragma once

/** \file
 * WorkspaceCaps: holds the requests of workspaces to their caps over all VMs.
 *
 * Sends and answers the messages of `CapStock` and `CapGiver`; without workspaces with caps it sends none.
 */

#include "CapGiver.h"
#include "CapStock.h"
#include "Metrics.h"
#include "PeerExchange.h"

#include <functional>
#include <memory>

namespace fescue {

/** What a request of a workspace gets. */
enum class CapOutcome {
    Admitted,
    OverCap, ///< The workspace is at its cap.
    Unknown, ///< No VM that gives out permits can be reached.
};

/** Confined to the thread of the event loop. */
class WorkspaceCaps {
public:
    using OnDecision = std::function<void(CapOutcome, Milliseconds retryAfter)>;

    /** Precondition: `exchange` outlives this object, and serves no call after it. */
    WorkspaceCaps(PeerExchange& exchange, const VmSettings& settings, const WriterId& writer);
    ~WorkspaceCaps();

    /** Takes over the caps of a version of the configuration. */
    void setConfig(const ServingConfig& config);
    bool isCapped(const WorkspaceId& workspace) const;
    /** Decides on a request. `done` is called once, maybe before this returns. */
    void admit(const WorkspaceId& workspace, OnDecision done);
    /** Sends the reports that are due. To be called periodically. */
    void tick(MonotonicTime now);
    /** Per workspace with a cap, the requests admitted and refused. */
    std::vector<Gauge> gauges() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
