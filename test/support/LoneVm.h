#pragma once

/** \file
 * LoneVm: an entry VM's process without a store or targets, for tests of its start and of its end.
 *
 * Nothing is arranged for it: the test decides what its settings file holds when it starts, who has its
 * ports, and which signals come when.
 */

#include "Process.h"

#include <optional>

namespace fescue::test {

/** Addresses of one VM. VMs of one host may have the same ports, each at an address of its own. */
struct VmAddresses {
    std::string host_ = "127.0.0.1";
    int callerPort_ = 0;
    int readyPort_ = 0;
    int peerPort_ = 0;
    int metricsPort_ = 0;
};

/** Addresses on 127.0.0.1 with free ports. */
VmAddresses findFreeAddresses();

/** The settings file of a VM, of several lines, whose last one is `  parts: 12`. */
std::string settingsText(const VmAddresses& addresses, int memoryMb = 260);

/** A VM, its settings file and its log. The destructor kills the process and removes the files. */
class LoneVm {
public:
    /** Writes the settings file, and starts nothing. */
    explicit LoneVm(const VmAddresses& addresses, int memoryMb = 260);
    ~LoneVm();
    LoneVm(const LoneVm&) = delete;
    LoneVm& operator=(const LoneVm&) = delete;

    /** Starts the process. `redirections` are those of a shell, for example ">&-"; its log is kept unless
     * they redirect standard output. `limits` is a command of the shell that sets limits of the process, for
     * example "ulimit -f 0". */
    void start(const std::string& redirections = {}, const std::string& limits = {});
    void writeSettings(const std::string& text) const;
    const std::string& settings() const { return settings_; }
    const std::string& settingsFile() const { return settingsFile_; }
    const VmAddresses& addresses() const { return addresses_; }
    Process& process() { return *process_; }
    /** Whether it has not ended. */
    bool isRunning() { return !process_->tryReap(); }
    /** Waits until the readiness port answers. Returns false if the process ends before, or after ten
     * seconds.
     */
    bool waitUntilServing();
    /** What it has logged. */
    std::string log() const;
    /** Waits until the log has this text. Returns false after ten seconds. */
    bool waitForLog(const std::string& text) const;
    /** Waits until it ends. Returns false after ten seconds. */
    bool waitForEnd();

private:
    VmAddresses addresses_;
    std::string settings_;
    std::string settingsFile_;
    std::string logFile_;
    std::optional<Process> process_;
};

} // namespace fescue::test
