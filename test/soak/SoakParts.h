#pragma once

/** \file
 * SoakParts: the entry VMs and the targets of a soak.
 */

#include "FrontServer.h"
#include "OutboundPool.h"
#include "PlatformStore.h"
#include "Process.h"
#include "SoakLedger.h"
#include "SoakProxy.h"

#include <optional>
#include <random>

namespace fescue::test {

/** Longest time of a route. */
constexpr Milliseconds soakRouteTime { 2500 };

/** A version of the configuration. With `isOther`, times and rank differ. */
std::string soakConfig(std::uint64_t version, bool isOther);

/** A request to an entry VM; `headers` are lines of `Name: value`. */
OutboundRequest soakRequest(int port, SoakKind kind, const std::string& headers);

/** A target behind a proxy. It runs what it is sent, and tells the ledger. */
class SoakTarget {
public:
    SoakTarget(asio::io_context& io, std::string id, SoakLedger& ledger, std::uint64_t seed);

    /** Its entry in the store. */
    std::string entry(const std::string& state) const;
    const std::string& id() const { return id_; }
    SoakProxy& proxy() { return *proxy_; }
    void tick(MonotonicTime now);

    bool isFaulty_ = false; ///< It refuses, breaks off and fails now and then.
    std::optional<MonotonicTime> leavesAt_;
    MonotonicTime lastRun_;

private:
    void take(const FrontRequest& request, const std::shared_ptr<FrontReply>& reply);
    void run(const std::string& request, SoakKind kind, const std::shared_ptr<FrontReply>& reply);

    asio::io_context& io_;
    std::string id_;
    SoakLedger& ledger_;
    std::mt19937_64 random_;
    std::unique_ptr<FrontServer> server_;
    std::unique_ptr<SoakProxy> proxy_;
};

/** An entry VM: a process that is killed, paused, stopped and started again, behind a proxy to the store. */
class SoakVm {
public:
    enum class Event { None, StoppedLate, EndedByItself };

    SoakVm(asio::io_context& io, std::uint16_t storePort, std::string name, const std::string& zone,
        const std::string& folder);
    ~SoakVm();

    void start();
    void kill(Milliseconds downFor);
    void pause(Milliseconds time);
    /** Tells it to stop; it is started again after its end. */
    void stop();
    void reload();
    /** Ends what a fault began. */
    void heal();
    Event tick(MonotonicTime now);
    const std::string& name() const { return name_; }
    int callerPort() const { return callerPort_; }
    SoakProxy& storeProxy() { return *storeProxy_; }
    /** When it was last killed, paused or stopped, or was in that state. */
    MonotonicTime disturbedAt() const { return disturbedAt_; }

private:
    std::string name_;
    int callerPort_ = 0;
    std::unique_ptr<SoakProxy> storeProxy_;
    std::string settingsFile_;
    std::string logFile_;
    std::unique_ptr<Process> process_;
    std::optional<MonotonicTime> startAt_;
    std::optional<MonotonicTime> wakeAt_;
    std::optional<MonotonicTime> stoppedAt_;
    MonotonicTime disturbedAt_;
};

} // namespace fescue::test
