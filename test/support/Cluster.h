#pragma once

/** \file
 * Cluster: runs the whole system as separate local processes, with stand-ins for the platform.
 */

#include "HttpClient.h"
#include "Process.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

namespace fescue::test {

/** API key of the workspace that the tests call from. */
extern const char* const callerKey;

/** One entry VM: its scheduler and its gateway. */
struct EntryVm {
    std::string name_;
    std::string zone_;
    std::unique_ptr<Process> scheduler_;
    std::unique_ptr<Process> gateway_;
};

/** Number, placement and flags of the processes. */
struct ClusterOptions {
    std::vector<std::string> zones_ { "zone-a" };
    std::size_t vmsPerZone_ = 1;
    std::size_t enginesPerZone_ = 1;
    std::vector<std::string> schedulerFlags_;
    std::vector<std::string> gatewayFlags_;
    std::vector<std::string> engineFlags_;
    std::vector<std::string> logFlags_;
    bool canPartitionZones_ = false; ///< Gives each zone its own platform ports, see `setZonePartitioned`.
    /** Directory for the daemons' event logs; if empty, a new one below that of the environment variable
     * FESCUE_TEST_EVENTS, or none. */
    std::string eventsFolder_;
};

/** A response as the caller sees it. */
struct Answer {
    HttpResult http_;
    int status() const { return http_.status_; }
    /** The body as JSON; null when it is not JSON. */
    nlohmann::json json() const { return nlohmann::json::parse(http_.body_, nullptr, false); }
    std::string header(const std::string& lowerCaseName) const;
};

/** Owns all processes. The constructor starts them, publishes a manifest and waits until every gateway is
 * ready. */
class Cluster {
public:
    explicit Cluster(const ClusterOptions& options = {});

    /** Sends a caller's request to the gateway of a VM. */
    Answer call(std::size_t vm, const std::string& method, const std::string& path,
        const std::string& body = {}, const std::vector<std::string>& headers = {});
    std::string createProgram(std::size_t vm, const nlohmann::json& request = nlohmann::json::object());
    Answer modelCall(std::size_t vm, const std::string& program, int number, const nlohmann::json& messages,
        bool isStream = false, int maxTokens = 16);
    Answer serviceCall(std::size_t vm, const std::string& program, int number, const std::string& path,
        const std::string& body);

    /** Starts a VM in a zone and adds it to the platform's list. */
    void startVm(const std::string& name, const std::string& zone);
    /** Adds or updates a VM in the platform's list; an empty state removes it. */
    void setVmState(const EntryVm& vm, const std::string& state);

    nlohmann::json get(const Process& process, const std::string& path);
    void setFaults(const Process& process, const nlohmann::json& faults);
    /** Disconnects the VMs of a zone from the log and the list of VMs, or reconnects them. */
    void setZonePartitioned(std::size_t zone, bool isPartitioned);
    /** Returns how many times the service executed a call. */
    int executions(const std::string& program, int number);
    /** Returns the keys of all cache entries of the engines. */
    std::vector<std::string> cachedKeys();
    std::string url(const Process& process, const std::string& port = "http") const;
    /** Publishes sections on the section versions of the first VM. Returns the log's response. */
    HttpResult publish(const nlohmann::json& sections);

    ClusterOptions options_;
    std::unique_ptr<Process> log_;
    std::unique_ptr<Process> vms_;
    std::unique_ptr<Process> service_;
    std::vector<std::unique_ptr<Process>> engines_;
    std::vector<EntryVm> entries_;
    HttpClient client_;

private:
    nlohmann::json manifest() const;
    std::string portOf(const std::string& zone) const;
    std::string eventsFile(const std::string& vm, const std::string& process) const;
};

/** Polls until a condition holds. Throws `std::runtime_error` naming `what` after a minute. */
void waitUntil(const std::string& what, const std::function<bool()>& condition);

/** How a gateway that was asked to stop during a call ended, and what the caller got. */
struct GatewayStop {
    int status_ = 0;
    Answer answer_;
};

/** Stops a gateway that may drain for `drainMs` while a call runs that takes `callMs`. */
GatewayStop stopGatewayDuringCall(int drainMs, int callMs);

/** Builds the messages of a conversation; user and assistant alternate, starting with the user. */
nlohmann::json conversation(const std::vector<std::string>& turns);

} // namespace fescue::test
