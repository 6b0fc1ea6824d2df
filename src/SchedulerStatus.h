#pragma once

/** \file
 * SchedulerStatus: what a scheduler shows of itself, as gauges and as the document of `/status`, made from
 * the state of its parts when it is asked for.
 */

#include "CallRunner.h"
#include "Members.h"
#include "Metrics.h"
#include "PlatformView.h"
#include "ShardManager.h"

namespace fescue {

/** The state of the parts at one moment, each taken by itself. */
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

/** The gauges; those by target are bounded by the manifest. Pure. */
std::vector<Gauge> gaugesOf(const SchedulerState& state);

/** The document of `/status`, one line of JSON. Pure. */
std::string statusText(const SchedulerState& state);

/** The programs of a workspace, or of all when it is empty, that this VM has dealt with, as JSON. Safe from
 * any thread. */
std::string programsText(const ShardManager& homes, const WorkspaceId& workspace);

} // namespace fescue
