#pragma once

/** \file
 * Cluster: the whole system in separate processes on this machine, with stand-ins for the platform.
 */

#include "HttpClient.h"
#include "Process.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

namespace fescue::test {

/** Key of the test's workspace. */
extern const char* const callerKey;

/** One entry VM: its scheduler and its gateway. */
struct EntryVm {
    std::string name_;
    std::string zone_;
    std::unique_ptr<Process> scheduler_;
    std::unique_ptr<Process> gateway_;
};

/** What to start. */
struct ClusterOptions {
    std::vector<std::string> zones_ { "zone-a" };
    std::size_t vmsPerZone_ = 1;
    std::size_t enginesPerZone_ = 1;
    std::vector<std::string> schedulerFlags_;
    std::vector<std::string> gatewayFlags_;
    std::vector<std::string> engineFlags_;
    std::vector<std::string> logFlags_;
    bool isCuttable_ = false; ///< Each zone reaches the platform by ports of its own, see `cutZone`.
    std::string eventsFolder_; ///< Where the daemons write their event logs; empty for nowhere.
};

/** An answer as a caller sees it. */
struct Answer {
    HttpResult http_;
    int status() const { return http_.status_; }
    /** The body as JSON; null when it is not JSON. */
    nlohmann::json json() const { return nlohmann::json::parse(http_.body_, nullptr, false); }
    std::string header(const std::string& lowerCaseName) const;
};

/** Starts everything, publishes a manifest and waits until every gateway is ready. */
class Cluster {
public:
    explicit Cluster(const ClusterOptions& options = {});

    /** A caller's request to the gateway of a VM. */
    Answer call(std::size_t vm, const std::string& method, const std::string& path,
        const std::string& body = {}, const std::vector<std::string>& headers = {});
    std::string createProgram(std::size_t vm, const nlohmann::json& wish = nlohmann::json::object());
    Answer modelCall(std::size_t vm, const std::string& program, int number, const nlohmann::json& messages,
        bool isStream = false, int maxTokens = 16);
    Answer serviceCall(std::size_t vm, const std::string& program, int number, const std::string& path,
        const std::string& body);

    /** Starts a VM of a zone and enters it into the list. */
    void startVm(const std::string& name, const std::string& zone);
    /** Enters, changes or (with an empty state) removes a VM in the platform's list. */
    void listVm(const EntryVm& vm, const std::string& state);

    nlohmann::json get(const Process& process, const std::string& path);
    void faults(const Process& process, const nlohmann::json& faults);
    /** Cuts the VMs of a zone off from the log and the list of VMs, or heals that. */
    void cutZone(std::size_t zone, bool isCut);
    /** How often the service executed a call. */
    int executions(const std::string& program, int number);
    /** Keys that the engines hold memory for. */
    std::vector<std::string> heldKeys();
    std::string url(const Process& process, const std::string& port = "http") const;
    /** Publishes sections on the versions that the first VM has in force; returns what the log answers. */
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

/** Waits until a condition holds; throws `std::runtime_error` with `what` after a minute. */
void waitUntil(const std::string& what, const std::function<bool()>& condition);

/** The messages of a conversation: user and assistant turn by turn, beginning with the user. */
nlohmann::json conversation(const std::vector<std::string>& turns);

} // namespace fescue::test
