#include "Cluster.h"

#include "ConfigFold.h"
#include "Digest.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <stdexcept>
#include <thread>

namespace fescue::test {

using nlohmann::json;

const char* const callerKey = "key-of-the-lease-team";

namespace {

    constexpr std::chrono::milliseconds pollInterval { 5 };
    constexpr std::chrono::seconds maxWait { 60 };

    std::size_t portCountOf(const ClusterOptions& options)
    {
        return options.canPartitionZones_ ? options.zones_.size() + 1 : 1;
    }

    // Both platform services listen on one more port for each zone, so that a zone can be partitioned.
    std::vector<std::string> withPorts(std::vector<std::string> flags, const ClusterOptions& options)
    {
        flags.push_back("--ports=" + std::to_string(portCountOf(options)));
        return flags;
    }

    std::string localUrl(int port) { return "http://127.0.0.1:" + std::to_string(port); }

} // namespace

std::string Answer::header(const std::string& lowerCaseName) const
{
    auto found = http_.headers_.find(lowerCaseName);
    return found == http_.headers_.end() ? std::string() : found->second;
}

void waitUntil(const std::string& what, const std::function<bool()>& condition)
{
    auto deadline = std::chrono::steady_clock::now() + maxWait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("timed out waiting until " + what);
        std::this_thread::sleep_for(pollInterval);
    }
}

GatewayStop stopGatewayDuringCall(int drainMs, int callMs)
{
    ClusterOptions options;
    options.gatewayFlags_ = { "--drain_ms=" + std::to_string(drainMs) };
    Cluster cluster(options);
    std::string program = cluster.createProgram(0);
    cluster.setFaults(*cluster.service_, { { "delay_ms", callMs } });
    auto answer = std::async(
        std::launch::async, [&] { return cluster.serviceCall(0, program, 1, "/payouts", "{}"); });
    waitUntil("the call runs", [&] { return cluster.executions(program, 1) == 1; });
    GatewayStop stop;
    stop.status_ = cluster.entries_[0].gateway_->signalAndWait(SIGTERM);
    stop.answer_ = answer.get();
    return stop;
}

json conversation(const std::vector<std::string>& turns)
{
    json messages = json::array();
    for (const std::string& turn : turns)
        messages.push_back(
            { { "role", messages.size() % 2 == 0 ? "user" : "assistant" }, { "content", turn } });
    return messages;
}

Cluster::Cluster(const ClusterOptions& options)
    : options_(options)
    , log_(std::make_unique<Process>(
          "standin-log", withPorts(options.logFlags_, options), portCountOf(options)))
    , vms_(std::make_unique<Process>("standin-vms", withPorts({}, options), portCountOf(options)))
    , service_(std::make_unique<Process>("standin-service", std::vector<std::string> {}, 1))
{
    if (options_.eventsFolder_.empty())
        options_.eventsFolder_ = makeEventsFolder();
    for (std::size_t i = 0; i < options.zones_.size() * options.enginesPerZone_; ++i)
        engines_.push_back(std::make_unique<Process>("standin-engine", options.engineFlags_, 1));
    json published { { "author", "test" }, { "sections", manifest() } };
    client_.perform({ "POST", url(*log_) + "/streams/" + configStream, {}, published.dump() });
    for (const std::string& zone : options.zones_) {
        for (std::size_t i = 0; i < options.vmsPerZone_; ++i)
            startVm(zone + "-vm" + std::to_string(i), zone);
    }
    for (const EntryVm& vm : entries_) {
        waitUntil(vm.name_ + " is ready", [&] {
            HttpResult result = client_.perform({ "GET", url(*vm.gateway_) + "/readyz" });
            return result.status_ == 200;
        });
    }
}

json Cluster::manifest() const
{
    json sections { { "workspaces/lease", { { "key_sha256", { sha256Hex(callerKey) } } } },
        { "workspaces/other", { { "key_sha256", { sha256Hex("key-of-another-team") } } } },
        { "models/agent-llm", json::object() }, { "services/lease-app", { { "calls", json::array() } } },
        { "pools/lease-app",
            { { "zone", options_.zones_.front() }, { "service", "lease-app" },
                { "targets", { { { "id", "lease-app-0" }, { "url", url(*service_) } } } } } } };
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        std::string zone = options_.zones_[i / options_.enginesPerZone_];
        std::string id = "engine-" + std::to_string(i);
        sections["pools/" + id] = { { "zone", zone }, { "models", { "agent-llm" } },
            { "targets", { { { "id", id }, { "url", url(*engines_[i]) } } } } };
    }
    return sections;
}

std::string Cluster::eventsFile(const std::string& vm, const std::string& process) const
{
    if (options_.eventsFolder_.empty())
        return "/dev/null";
    return options_.eventsFolder_ + "/" + vm + "-" + process + ".events";
}

void Cluster::startVm(const std::string& name, const std::string& zone)
{
    EntryVm vm;
    vm.name_ = name;
    vm.zone_ = zone;
    std::vector<std::string> flags { "--vm=" + name, "--zone=" + zone,
        "--log_url=" + url(*log_, portOf(zone)), "--vms_url=" + url(*vms_, portOf(zone)),
        "--events_file=" + eventsFile(name, "scheduler") };
    flags.insert(flags.end(), options_.schedulerFlags_.begin(), options_.schedulerFlags_.end());
    vm.scheduler_ = std::make_unique<Process>("fescue-scheduler", flags, 2);
    std::vector<std::string> gatewayFlags { "--vm=" + name, "--zone=" + zone,
        "--events_file=" + eventsFile(name, "gateway"),
        "--scheduler=127.0.0.1:" + std::to_string(vm.scheduler_->port("frames")) };
    gatewayFlags.insert(gatewayFlags.end(), options_.gatewayFlags_.begin(), options_.gatewayFlags_.end());
    vm.gateway_ = std::make_unique<Process>("fescue-gateway", gatewayFlags, 1);
    entries_.push_back(std::move(vm));
    setVmState(entries_.back(), "live");
}

void Cluster::setVmState(const EntryVm& vm, const std::string& state)
{
    std::string path = url(*vms_) + "/vms/" + vm.name_;
    if (state.empty()) {
        client_.perform({ "DELETE", path });
        return;
    }
    json entry { { "zone", vm.zone_ }, { "state", state },
        { "address", "127.0.0.1:" + std::to_string(vm.scheduler_->port("frames")) } };
    client_.perform({ "PUT", path, {}, entry.dump() });
}

std::string Cluster::url(const Process& process, const std::string& port) const
{
    return localUrl(process.port(port));
}

std::string Cluster::portOf(const std::string& zone) const
{
    auto found = std::find(options_.zones_.begin(), options_.zones_.end(), zone);
    bool hasOwnPort = options_.canPartitionZones_ && found != options_.zones_.end();
    return hasOwnPort ? "http" + std::to_string(found - options_.zones_.begin() + 1) : "http";
}

void Cluster::setZonePartitioned(std::size_t zone, bool isPartitioned)
{
    for (const Process* process : { log_.get(), vms_.get() })
        client_.perform({ "POST", url(*process, portOf(options_.zones_.at(zone))) + "/faults", {},
            json { { "down", isPartitioned } }.dump() });
}

HttpResult Cluster::publish(const json& sections)
{
    json config = get(*entries_.front().scheduler_, "/status")["config"];
    json published { { "author", "test" }, { "built_on", config["section_versions"] },
        { "sections", sections } };
    return client_.perform({ "POST", url(*log_) + "/streams/" + configStream, {}, published.dump() });
}

Answer Cluster::call(std::size_t vm, const std::string& method, const std::string& path,
    const std::string& body, const std::vector<std::string>& headers)
{
    HttpCall call { method, url(*entries_[vm].gateway_) + path, headers, body };
    call.headers_.push_back(std::string("Authorization: Bearer ") + callerKey);
    call.timeout_ = Milliseconds { 60000 };
    return { client_.perform(std::move(call)) };
}

std::string Cluster::createProgram(std::size_t vm, const json& request)
{
    Answer answer = call(vm, "POST", "/v1/programs", request.dump());
    if (answer.status() != 200)
        throw std::runtime_error("could not create a program: " + answer.http_.body_);
    return answer.json()["program"].get<std::string>();
}

Answer Cluster::modelCall(std::size_t vm, const std::string& program, int number, const json& messages,
    bool isStream, int maxTokens)
{
    json body { { "model", "agent-llm" }, { "messages", messages }, { "stream", isStream },
        { "max_tokens", maxTokens } };
    return call(vm, "POST", "/v1/chat/completions", body.dump(),
        { "Fescue-Program: " + program, "Fescue-Call: " + std::to_string(number) });
}

Answer Cluster::serviceCall(
    std::size_t vm, const std::string& program, int number, const std::string& path, const std::string& body)
{
    return call(vm, "POST", "/v1/services/lease-app" + path, body,
        { "Fescue-Program: " + program, "Fescue-Call: " + std::to_string(number) });
}

json Cluster::get(const Process& process, const std::string& path)
{
    return json::parse(client_.perform({ "GET", url(process) + path }).body_, nullptr, false);
}

void Cluster::setFaults(const Process& process, const json& faults)
{
    client_.perform({ "POST", url(process) + "/faults", {}, faults.dump() });
}

int Cluster::executions(const std::string& program, int number)
{
    json counts = get(*service_, "/executions");
    return counts.value("\"" + program + "/" + std::to_string(number) + "\"", 0);
}

std::vector<std::string> Cluster::cachedKeys()
{
    std::vector<std::string> keys;
    for (const auto& engine : engines_) {
        json cache = get(*engine, "/v1/cache");
        for (const json& entry : cache["entries"])
            keys.push_back(entry["key"].get<std::string>());
    }
    return keys;
}

} // namespace fescue::test
