#pragma once

/** \file
 * SoakWorld: entry VMs as real processes before a stand-in store and targets, with faults from outside.
 *
 *     callers --> entry VMs --proxy--> targets
 *                     |-------proxy--> store
 *
 * The seed draws a series of faults that overlap: processes are killed, paused, stopped and told to reload;
 * the proxies delay, cut, silence and reset; the store is down, silent or loses answers; targets leave, break
 * off and refuse; the configuration changes. Then all is healed, and the system has to serve again.
 */

#include "SoakLedger.h"

namespace fescue::test {

/** One play. */
struct SoakOptions {
    std::uint64_t seed_ = 1;
    bool hasOnlyPlannedWork_ = false; ///< Stops, reloads, changes and leaving targets, nothing unplanned.
    std::string folder_; ///< For settings files and the processes' logs.
};

/** What came out of it. */
struct SoakReport {
    std::vector<std::string> broken_;
    std::vector<std::string> faults_; ///< As they were injected.
    std::size_t requests_ = 0;
    std::size_t answered_ = 0; ///< With success.
};

/** Plays one seed, which takes some fifteen seconds. Precondition: no other play uses the folder. */
SoakReport playSoak(const SoakOptions& options);

} // namespace fescue::test
