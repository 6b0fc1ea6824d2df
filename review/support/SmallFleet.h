#pragma once

/** \file
 * SmallFleet: a small deployment on loopback addresses: entry VMs as processes, the project's stand-in of the
 * platform's store, and runners that register there.
 *
 * The programs are started with the command of the deploy file; only the metrics port differs, since all VMs
 * share one host.
 */

#include "PlatformStore.h"
#include "Process.h"
#include "Runner.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fescue::review {

/** What a runner says of itself in the store. */
struct RunnerEntry {
    std::string instance_;
    std::string service_;
    std::string zone_;
    std::string version_ = "v1";
    int port_ = 0;
    int slots_ = 12;
    std::string state_ = "ready";
    long long born_ = 0;
    int seq_ = 0;
};

/** The deployment. To be used on the thread that made it. */
class SmallFleet {
public:
    /** Starts the platform and the VMs, and waits until they are ready. `zones` names the zone of each VM. */
    SmallFleet(const std::string& config, const std::vector<std::string>& zones);
    ~SmallFleet();
    SmallFleet(const SmallFleet&) = delete;
    SmallFleet& operator=(const SmallFleet&) = delete;

    /** Runs `action` on the thread of the stand-ins and waits for it. */
    void run(const std::function<void()>& action);
    /** Adds a runner that reports to the store every heartbeat. Returns it. */
    Runner& addRunner(RunnerEntry entry, Runner::Handler handler);
    /** Changes an entry, and writes it at once. To be called within `run`. */
    void announce(const std::string& instance, const std::function<void(RunnerEntry&)>& change);
    /** Ends the reports of an instance; its entry stays. To be called within `run`. */
    void silence(const std::string& instance);
    /** Ends the reports of an instance and removes its entry. To be called within `run`. */
    void withdraw(const std::string& instance);
    /** Starts all VMs and waits until they are ready. Precondition: the runners have been added. */
    void start();
    /** Kills a VM; it starts again after `downMs`. Waits until it accepts channels. */
    void killAndRestart(std::size_t vm, int downMs);
    int port(std::size_t vm) const { return vms_[vm].port_; }
    test::Process& process(std::size_t vm) { return *vms_[vm].process_; }
    /** The faults of the store that only one VM sees. To be called within `run`. */
    standin::StoreFaults& storeFaults(std::size_t vm);
    standin::PlatformStore& store() { return *store_; }
    bool isReady(std::size_t vm) const;

private:
    struct Vm {
        std::string name_;
        std::string settingsFile_;
        int port_ = 0;
        int readyPort_ = 0;
        int metricsPort_ = 0;
        std::uint16_t storePort_ = 0;
        std::unique_ptr<test::Process> process_;
    };

    void addVm(const std::string& zone, const std::vector<std::string>& zones);
    void startProcess(Vm& vm);
    void put(RunnerEntry& entry);
    void beat();
    void waitUntilReady(std::size_t vm) const;

    asio::io_context io_ { 1 };
    std::unique_ptr<standin::PlatformStore> store_;
    std::string folder_; ///< Of settings and logs.
    std::vector<std::unique_ptr<Runner>> runners_;
    std::map<std::string, RunnerEntry> entries_;
    std::atomic<bool> isStopped_ { false };
    std::thread thread_;
    std::vector<Vm> vms_;
};

/** Whether the disruption is to be left out. */
bool isCalm();

/** Milliseconds since the Unix epoch. */
long long unixMs();

void sleepMs(int ms);

} // namespace fescue::review
