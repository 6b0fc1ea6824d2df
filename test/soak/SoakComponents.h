#pragma once

/** \file
 * SoakComponents: the entry VMs and targets of a soak run.
 */

#include "OutboundPool.h"
#include "PlatformStore.h"
#include "Process.h"
#include "SoakHistory.h"
#include "SoakProxy.h"
#include "SoakServer.h"

#include <functional>
#include <optional>
#include <random>

namespace fescue::test {

/** Longest timeout of any route. */
constexpr Milliseconds soakRouteTimeout { 2500 };

/** Returns a version of the configuration. `isOther` selects different timeouts and priorities. */
std::string makeSoakConfig(std::uint64_t version, bool isOther);

/** Headers of an attempt, lines of the form `Name: value`; `budget` is that of its program, in tokens. */
std::string soakHeaders(const std::string& id, const SoakRequest& request, std::int64_t budget);

/** Builds a request to an entry VM; `headers` holds lines of the form `Name: value`. */
OutboundRequest makeSoakRequest(
    int port, SoakRequestKind kind, const std::string& id, const std::string& headers);

/** A target behind a proxy. Runs the requests it receives and records them in the history. */
class SoakTarget {
public:
    SoakTarget(asio::io_context& io, std::string id, SoakHistory& history, std::uint64_t seed);

    /** Returns its store entry with the given state. */
    std::string entry(const std::string& state) const;
    const std::string& id() const { return id_; }
    SoakProxy& proxy() { return *proxy_; }

    bool isFaulty_ = false; ///< Randomly refuses requests, and aborts answers or ends them without framing.
    bool saysItLeaves_ = false; ///< In each answer.
    std::optional<MonotonicTime> drainingSince_;
    MonotonicTime lastRun_;

private:
    void handleRequest(const FrontRequest& request, const std::shared_ptr<FrontReply>& reply);
    std::string version() const;
    HttpHead answerHead(int status, const std::string& request);
    void run(const std::string& request, SoakRequestKind kind, const std::shared_ptr<FrontReply>& reply);

    asio::io_context& io_;
    std::string id_;
    SoakHistory& history_;
    std::mt19937_64 random_;
    std::unique_ptr<SoakServer> server_;
    std::unique_ptr<SoakProxy> proxy_;
};

/** An entry VM: a process that can be killed, paused, stopped and restarted. Its store is behind a proxy. */
class SoakVm {
public:
    /** Names the program to start; called before each start. */
    using ChooseProgram = std::function<std::string()>;

    SoakVm(asio::io_context& io, std::uint16_t storePort, std::string name, const std::string& zone,
        const std::string& folder, ChooseProgram chooseProgram);
    ~SoakVm();

    void start();
    /** Kills the process and restarts it after `downFor`. */
    void kill(Milliseconds downFor);
    /** Suspends the process by SIGSTOP for a while. */
    void pause(Milliseconds time);
    /** Requests a graceful stop; the process is restarted after it has exited. */
    void stop();
    /** Sends SIGHUP, which reloads the settings. */
    void reload();
    /** Ends a pause and restarts a killed process at once. */
    void heal();
    /** Continues what was begun, and restarts a process that has ended. Returns a violation, with the last
     * log lines: the process ended by itself, did not stop within its grace period, or stopped with another
     * status than 0. Otherwise nothing. */
    std::string tick(MonotonicTime now);
    /** Begins to ask whether the VM is ready, until it says so. */
    void checkReadiness();
    /** Returns a violation, with the last log lines, if the VM ran undisturbed and has not said so yet. */
    std::string silence() const;
    const std::string& name() const { return name_; }
    int callerPort() const { return callerPort_; }
    SoakProxy& storeProxy() { return *storeProxy_; }
    /** Last time at which the process was down, paused or stopping. */
    MonotonicTime disturbedAt() const { return disturbedAt_; }

private:
    std::string violation(const std::string& what) const;
    void sendReadinessCheck(MonotonicTime now);
    bool hasStopped(int status) const; ///< Whether the process ended with this status since it was told to.

    std::string name_;
    int callerPort_ = 0;
    int readyPort_ = 0;
    std::unique_ptr<SoakProxy> storeProxy_;
    std::string settingsFile_;
    std::string logFile_;
    ChooseProgram chooseProgram_;
    std::unique_ptr<Process> process_;
    OutboundPool readinessChecks_;
    int readiness_ = 0; ///< Status that the VM last answered a readiness check with.
    std::optional<MonotonicTime> checkedSince_;
    MonotonicTime nextCheckAt_;
    std::string ownEnd_; ///< Violation to be returned by the next `tick`.
    MonotonicTime startedAt_;
    std::optional<MonotonicTime> startAt_;
    std::optional<MonotonicTime> resumeAt_;
    std::optional<MonotonicTime> stoppedAt_;
    MonotonicTime disturbedAt_;
};

} // namespace fescue::test
