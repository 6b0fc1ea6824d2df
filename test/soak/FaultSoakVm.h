#pragma once

/** \file
 * FaultSoakVm: an entry VM of the fault soak, with a store port of its own. Its processes are ended and
 * started as a platform does, and are judged by how they end and by what they use.
 */

#include "OutboundPool.h"
#include "PlatformStore.h"
#include "Process.h"
#include "SoakProxy.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescue::test {

/** An entry VM. Must be used on the thread of the store's event loop. */
class FaultSoakVm {
public:
    /** Names the program to start; called before each start. */
    using ChooseProgram = std::function<std::string()>;

    FaultSoakVm(asio::io_context& io, standin::PlatformStore& store, std::string name, std::string zone,
        const std::string& folder, ChooseProgram chooseProgram);

    void start();
    /** Kills all its processes, and starts one after `downFor`. */
    void kill(Milliseconds downFor);
    /** Suspends the process by SIGSTOP for a while. */
    void pause(Milliseconds time);
    /** Sends SIGTERM. With `startsAtOnce` the next process starts while this one drains. */
    void stop(bool startsAtOnce);
    /** Writes the settings file in another form, whole or cut, and sends SIGHUP. */
    void reload(std::size_t form, bool isCut);
    /** Ends a pause, starts an ended process at once, and makes the settings file whole. */
    void heal();
    /** Carries out what is due. Returns violations, each with the last log lines: a process ended by itself,
     * stopped with another status than 0, did not stop within its grace period, used over half of a core for
     * a second, or over its memory. */
    std::vector<std::string> tick(MonotonicTime now);
    /** Begins to ask whether the VM is ready, until it says so. */
    void checkReadiness();
    /** Returns a violation if it has not said so yet. */
    std::string silence() const;
    const std::string& name() const { return name_; }
    int callerPort() const { return callerPort_; }
    std::uint16_t storePort() const { return storePort_; }
    SoakProxy& storeProxy() { return *storeProxy_; }
    std::size_t starts() const { return starts_; }
    double mostCores() const { return mostCores_; } ///< That a process used for a second.
    std::uint64_t mostBytes() const { return mostBytes_; } ///< Of resident memory.

private:
    struct Run {
        std::unique_ptr<Process> process_;
        MonotonicTime startedAt_;
        std::optional<MonotonicTime> stoppedAt_; ///< When it was sent SIGTERM.
        std::optional<MonotonicTime> reloadedAt_; ///< When it was first sent SIGHUP.
        MonotonicTime sampledAt_;
        double processorSeconds_ = 0;
    };

    void writeSettings(std::size_t form, bool isCut);
    void resume(MonotonicTime now);
    void judge(Run& run, MonotonicTime now, std::vector<std::string>& violations);
    std::string judgeEnd(const Run& run) const;
    std::string sample(Run& run, MonotonicTime now);
    void sendReadinessCheck(MonotonicTime now);
    std::string violation(const std::string& what) const;

    std::string name_;
    std::string zone_;
    int callerPort_ = 0;
    int readyPort_ = 0;
    int peerPort_ = 0;
    std::uint16_t storePort_ = 0;
    std::unique_ptr<SoakProxy> storeProxy_;
    std::string settingsFile_;
    std::string logFile_;
    ChooseProgram chooseProgram_;
    OutboundPool readinessChecks_;
    std::vector<Run> runs_; ///< The newest one last; the others drain.
    std::vector<std::string> ownEnds_; ///< Violations to be returned by the next `tick`.
    std::optional<MonotonicTime> startAt_;
    std::optional<MonotonicTime> resumeAt_;
    std::size_t form_ = 0;
    bool isCut_ = false;
    int readiness_ = 0;
    bool isChecked_ = false;
    MonotonicTime nextCheckAt_;
    std::size_t starts_ = 0;
    double mostCores_ = 0;
    std::uint64_t mostBytes_ = 0;
};

} // namespace fescue::test
