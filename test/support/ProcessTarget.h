#pragma once

/** \file
 * ProcessTarget: a target that runs as a process of its own, so that a test can end it by a signal.
 *
 * Its connections then end as the operating system ends them; see standin/StreamTarget.h.
 */

#include "EntryVmHarness.h"

#include <memory>

namespace fescue::test {

/** A `standin-target` that the harness's store lists, for model calls and for other calls. Must be used on
 * the test's thread. */
class ProcessTarget {
public:
    /** Starts the target with these flags, announces it, and waits until all VMs have read of it.
     * Precondition: `vms` outlives it, and no target of `vms` has its name. */
    ProcessTarget(EntryVmHarness& vms, std::string name, std::vector<std::string> flags = {});

    Process& process() { return *process_; }
    int port() const { return port_; }
    /** Starts an ended target again at its address and under its id. */
    void restart();
    /** Reports itself to the store; also to be called after `EntryVmHarness::setLinks`. */
    void announce(const Announcement& announcement = {});
    /** Its runs, one a line; see standin/StreamTarget.h. */
    std::string runs() const;

private:
    void start();

    EntryVmHarness& vms_;
    std::string name_;
    std::vector<std::string> flags_;
    int port_ = 0;
    std::uint64_t reports_ = 0; ///< Announcements so far.
    std::uint64_t starts_ = 0; ///< Of its process so far.
    std::unique_ptr<Process> process_;
};

} // namespace fescue::test
