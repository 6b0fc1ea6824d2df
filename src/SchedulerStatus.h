#pragma once

/** \file
 * SchedulerStatus: a scheduler's state as gauges and as the document of `/status`, computed on request.
 */

#include "CallRunner.h"
#include "Members.h"
#include "Metrics.h"
#include "PlatformView.h"
#include "ShardManager.h"

namespace fescue {

/** The state of the components. Each is sampled separately, so the whole is not an atomic snapshot. */
struct SchedulerState {
    VmId vm_;
    ZoneId zone_;
    std::vector<ShardStatus> shards_;
    PoolLoad load_;
    std::size_t openRequests_ = 0;
    bool isReady_ = false;
    bool isDraining_ = false;
    Config config_;
    ConfigStatus configStatus_;
    Members members_;
};

/** The gauges. The number of per-target gauges is bounded by the manifest. Pure. */
std::vector<Gauge> gaugesOf(const SchedulerState& state);

/** The document of `/status` as one line of JSON. Pure. */
std::string statusText(const SchedulerState& state);

/** Programs of a workspace, or of all workspaces when it is empty, in the shards that this VM knows, as JSON.
 * Thread-safe. */
std::string programsText(const ShardManager& shards, const WorkspaceId& workspace);

} // namespace fescue
