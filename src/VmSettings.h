#pragma once

/** \file
 * VmSettings: what an entry VM is told by its platform when it starts, in the product's words.
 */

#include "Types.h"

#include <string>

namespace fescue {

/** Rates and sizes that the platform's store grants. */
struct StoreSettings {
    std::string address_; ///< `ip:port`.
    std::uint32_t partitions_ = 1; ///< Of each topic.
};

/** Settings of one entry VM. */
struct VmSettings {
    VmId vm_;
    ZoneId zone_;
    std::string callerAddress_; ///< `ip:port` for callers.
    std::string readyAddress_; ///< `ip:port` for the platform's health checks.
    std::string peerAddress_; ///< `ip:port` for the other entry VMs.
    StoreSettings store_;
    double cpuQuota_ = 1; ///< Of one core.
    std::int64_t memoryMb_ = 0;
    Milliseconds drainGrace_ { 8000 }; ///< From SIGTERM until the process is killed.
    Milliseconds configApplyTimeout_ {
        2000
    }; ///< Time in which an acknowledged configuration must be in force.
    Milliseconds targetDrainTimeout_ { 2000 }; ///< Time in which a leaving target must stop to get work.
};

} // namespace fescue
