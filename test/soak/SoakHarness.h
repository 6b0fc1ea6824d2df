#pragma once

/** \file
 * SoakHarness: runs entry VMs as real processes against a stand-in store and targets and injects faults.
 *
 *     callers --> entry VMs --proxy--> targets
 *                     |-------proxy--> store
 *
 * The seed determines a series of overlapping faults: processes are killed, paused, stopped and told to
 * reload; proxies delay and block traffic and reset connections; the store is down, does not answer or drops
 * answers; targets leave, abort answers and refuse requests; the configuration changes. Then all faults end,
 * and the system must serve requests again.
 */

#include "SoakHistory.h"

namespace fescue::test {

/** Parameters of one run. */
struct SoakOptions {
    std::uint64_t seed_ = 1;
    /** Injects only stops, reloads, configuration changes and target replacements. */
    bool hasOnlyPlannedOperations_ = false;
    bool losesAllVms_ = false; ///< Kills all VMs at the same moment, once, as a loss of power would.
    std::size_t vms_ = 3; ///< Processes of entry VMs.
    /** Path of the entry VM's program of another release. If it is set, all VMs begin with it and are
     * replaced one after the other by this release; some go back. */
    std::string otherRelease_;
    bool hasConversations_ = true; ///< Whether some callers send turns whose text the system keeps.
    std::string folder_; ///< Directory for settings files and logs of the processes.
};

/** Result of one run. */
struct SoakReport {
    std::vector<std::string> violations_;
    std::vector<std::string> injectedFaults_; ///< In the order of injection.
    std::size_t startsOfThisRelease_ = 0; ///< Of VMs.
    std::size_t startsOfOtherRelease_ = 0;
    std::size_t requests_ = 0;
    std::size_t succeeded_ = 0; ///< Requests answered with 200, or with 402 (budget exceeded).
};

/** Runs one seed, which takes about 15 seconds. Precondition: no other run uses the directory. */
SoakReport runSoak(const SoakOptions& options);

} // namespace fescue::test
