#pragma once

/** \file
 * VmSettings: the settings that the platform passes to an entry VM, independent of the platform's file
 * format.
 */

#include "Types.h"

#include <string>

namespace fescue {

/** Address and layout of the platform's store. */
struct StoreSettings {
    std::string address_; ///< `ip:port`.
    std::uint32_t partitions_ = 1; ///< Partitions of each topic.
    std::size_t maxRecordBytes_ = 256 * 1024;
};

/** How far the requests of a workspace may exceed its cap: in any window, at most
 * (rate x window + burst) x (1 + overrun) + slack run, over all VMs. */
struct CapTolerance {
    Milliseconds window_ { 5000 };
    double overrun_ = 0.1;
    double slack_ = 20; ///< Requests.
};

/** Settings of one entry VM. */
struct VmSettings {
    VmId vm_;
    ZoneId zone_;
    std::string callerAddress_; ///< `ip:port` that serves callers.
    std::string readyAddress_; ///< `ip:port` for the platform's health checks.
    std::string peerAddress_; ///< `ip:port` for the other entry VMs.
    StoreSettings store_;
    double cpuQuota_ = 1; ///< Processor quota in cores.
    std::int64_t memoryMb_ = 64; ///< 0 if not known; then nothing that callers hold is bounded.
    std::int64_t maxSockets_ = 0; ///< Sockets and pipes that the process may have open; 0 if not known.
    Milliseconds drainGrace_ { 8000 }; ///< Time from SIGTERM until the process is killed.
    /** Maximum time until an acknowledged configuration is in force. */
    Milliseconds configApplyTimeout_ { 2000 };
    /** Maximum time until a draining target receives no new calls. */
    Milliseconds targetDrainTimeout_ { 2000 };
    Milliseconds targetHeartbeat_ { 1200 }; ///< Time between two reports of a target.
    CapTolerance capTolerance_;
    /** Whether a VM that cannot confirm its configuration refuses keys. */
    bool isRevocationStrict_ = false;
    Milliseconds revocationTimeout_ { 5000 }; ///< Maximum time until a removed key is refused.
};

} // namespace fescue
