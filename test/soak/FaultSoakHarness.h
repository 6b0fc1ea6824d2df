#pragma once

/** \file
 * FaultSoakHarness: ten entry VMs in three availability zones under the troubles that end processes.
 *
 *     callers --> entry VMs (processes) --> targets (processes)
 *                        |--proxy--> store <--|
 *
 * The seed determines troubles in series and overlapping: contents that crash each target that runs them; a
 * cut or a loss of power of the VM that last wrote to the store with a sequence number; a loss of all VMs; a
 * compaction of the store's history; a store that resets the connections of a third of the VMs; reloads of a
 * settings file in another form or cut; stops with a successor that starts while its predecessor drains. Then
 * all troubles end. Only what a process does is judged: how it ends, what it uses, whether it is ready and
 * serves again; not what callers receive.
 */

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescue::test {

/** Parameters of one run. */
struct FaultSoakOptions {
    std::uint64_t seed_ = 1;
    std::size_t vms_ = 10;
    std::string program_ = "fescue-entry"; ///< Of the entry VMs.
    /** Path of the entry VM's program of another release; if it is set, each start draws one of both. */
    std::string otherRelease_;
    std::string folder_; ///< Directory for settings files and logs of the processes.
};

/** Result of one run. */
struct FaultSoakReport {
    std::vector<std::string> violations_;
    std::vector<std::string> troubles_; ///< In the order of injection, each with its time.
    std::size_t attempts_ = 0;
    std::size_t succeeded_ = 0;
    std::size_t servedAfterwards_ = 0; ///< Once all troubles had ended.
    std::size_t starts_ = 0; ///< Of VMs.
    std::size_t crashes_ = 0; ///< Of targets, by contents.
    double mostCores_ = 0; ///< That any process of a VM used for a second.
    std::uint64_t mostBytes_ = 0; ///< Resident memory of any process of a VM.
};

/** Runs one seed, which takes about 19 seconds. Precondition: no other run uses the directory. */
FaultSoakReport runFaultSoak(const FaultSoakOptions& options);

} // namespace fescue::test
