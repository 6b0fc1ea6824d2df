#pragma once

/** \file
 * ProcessSoakHarness: runs entry VMs and targets, all as real processes, and ends them from outside.
 *
 *     callers --> entry VMs (processes) --> targets (processes)
 *                        |---> store <--------|
 *
 * Three availability zones, and routes and deadlines like those of a deployment for agents. The seed
 * determines a series of overlapping faults: targets are killed, stopped, suspended, end themselves in the
 * middle of an answer, and come back at the same address as another start; VMs are killed, stopped, suspended
 * and told to reload; the store is down; the configuration changes. Then all faults end, and the system must
 * serve again.
 */

#include "ProcessSoakHistory.h"

#include <cstdint>

namespace fescue::test {

/** Parameters of one run. */
struct ProcessSoakOptions {
    std::uint64_t seed_ = 1;
    std::string program_ = "fescue-entry"; ///< Of the entry VMs.
    /** Whether the routes of streams are split over two services. */
    bool hasSplitRoutes_ = false;
    /** Whether a target may start again with another software version under the same id. */
    bool changesVersionsUnderOneId_ = false;
    std::string folder_; ///< Directory for settings files and logs of the processes.
};

/** Result of one run. */
struct ProcessSoakReport {
    std::vector<std::string> violations_;
    std::vector<std::string> injectedFaults_; ///< In the order of injection, each with its time.
    std::size_t attempts_ = 0;
    std::size_t succeeded_ = 0;
    std::size_t calmAttempts_ = 0; ///< After the faults, at VMs that run undisturbed.
    std::size_t calmSuccesses_ = 0;
    std::size_t wholeStreams_ = 0;
    std::size_t brokenStreams_ = 0; ///< Attempts that ended early after an event.
    std::size_t goneOn_ = 0;
    std::size_t killedUnframed_ = 0;
};

/** Runs one seed, which takes 10 to 15 seconds. Precondition: no other run uses the directory. */
ProcessSoakReport runProcessSoak(const ProcessSoakOptions& options);

} // namespace fescue::test
