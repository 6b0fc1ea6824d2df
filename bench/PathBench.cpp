// PathBench: time to first token while idle, throughput of short calls, CPU time and memory of gateway and
// scheduler. The same run sends the same calls directly to the stand-ins, to show their own limit.

#include "Cluster.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace fescue;
using namespace fescue::test;
using nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int idleSampleCount = 400;
constexpr int workerCount = 32;
constexpr std::chrono::seconds loadDuration { 5 };
constexpr int callsPerProgram = 8;
constexpr const char* chat = "/v1/chat/completions";

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::string authorization() { return std::string("Authorization: Bearer ") + callerKey; }

json modelBody(const json& messages, bool isStream)
{
    return { { "model", "agent-llm" }, { "messages", messages }, { "stream", isStream },
        { "max_tokens", 1 } };
}

HttpCall modelCallTo(const std::string& url, const json& messages, bool isStream)
{
    HttpCall call { "POST", url + chat, { authorization() }, modelBody(messages, isStream).dump() };
    call.timeout_ = Milliseconds { 60000 };
    return call;
}

// Returns the milliseconds until the first event with content.
double timeToFirstTokenMs(HttpClient& client, const std::string& url)
{
    auto start = Clock::now();
    std::mutex mutex;
    std::condition_variable changed;
    bool isDone = false;
    double first = 0;
    std::string seen;
    client.start(
        modelCallTo(url, conversation({ "hello" }), true),
        [&](const HttpResult&) {
            std::lock_guard<std::mutex> lock(mutex);
            isDone = true;
            changed.notify_all();
        },
        [&](int, std::string_view data) {
            seen += data;
            if (first == 0 && seen.find("\"content\"") != std::string::npos)
                first = millisecondsSince(start);
        });
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait(lock, [&] { return isDone; });
    return first;
}

void measureIdle(Cluster& cluster)
{
    std::vector<double> directMs;
    std::vector<double> gatewayMs;
    std::string engine = cluster.url(*cluster.engines_[0]);
    std::string gateway = cluster.url(*cluster.entries_[0].gateway_);
    for (int i = 0; i < idleSampleCount; ++i) {
        directMs.push_back(timeToFirstTokenMs(cluster.client_, engine));
        gatewayMs.push_back(timeToFirstTokenMs(cluster.client_, gateway));
    }
    for (double share : { 0.5, 0.99 })
        std::cout << "first token, idle, p" << share * 100 << ": direct " << quantile(directMs, share)
                  << " ms, through the gateway " << quantile(gatewayMs, share) << " ms, added "
                  << quantile(gatewayMs, share) - quantile(directMs, share) << " ms\n";
}

struct Usage {
    double cpuSeconds_ = 0;
    double megabytes_ = 0;
    double peakMegabytes_ = 0;
};

double megabytesOf(const std::string& line) { return std::stod(line.substr(line.find(':') + 1)) / 1024; }

Usage usageOf(const Process& process)
{
    std::string procDirectory = "/proc/" + std::to_string(process.id());
    Usage usage;
    std::ifstream status(procDirectory + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS", 0) == 0)
            usage.megabytes_ = megabytesOf(line);
        if (line.rfind("VmHWM", 0) == 0)
            usage.peakMegabytes_ = megabytesOf(line);
    }
    std::ifstream stat(procDirectory + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int fieldsBeforeTimes = 11;
    for (int i = 0; i < fieldsBeforeTimes; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpuSeconds_ = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    return usage;
}

// Performs the next call of one worker; returns whether the status was 200.
using WorkerCall = std::function<bool(HttpClient&)>;

void measureLoad(Cluster& cluster, const std::string& what, const std::function<WorkerCall()>& newWorker)
{
    EntryVm& vm = cluster.entries_[0];
    Usage gatewayBefore = usageOf(*vm.gateway_);
    Usage schedulerBefore = usageOf(*vm.scheduler_);
    std::atomic<int> succeeded { 0 };
    std::atomic<int> failed { 0 };
    std::vector<std::thread> threads;
    threads.reserve(workerCount);
    auto start = Clock::now();
    for (int i = 0; i < workerCount; ++i) {
        threads.emplace_back([&, call = newWorker()] {
            HttpClient client;
            while (Clock::now() - start < loadDuration)
                ++(call(client) ? succeeded : failed);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    double seconds = millisecondsSince(start) / 1000;
    double calls = succeeded + failed;
    std::cout << what << ": " << succeeded / seconds << " calls/s, status other than 200: " << failed
              << ", CPU time per call: gateway "
              << (usageOf(*vm.gateway_).cpuSeconds_ - gatewayBefore.cpuSeconds_) / calls * 1e6
              << " us, scheduler "
              << (usageOf(*vm.scheduler_).cpuSeconds_ - schedulerBefore.cpuSeconds_) / calls * 1e6 << " us\n";
}

WorkerCall modelCallsWithoutProgram(const std::string& url)
{
    return [url](HttpClient& client) {
        return client.perform(modelCallTo(url, conversation({ "hello" }), false)).status_ == 200;
    };
}

WorkerCall serviceCalls(const std::string& url)
{
    return [url](HttpClient& client) {
        return client.perform({ "GET", url, { authorization() } }).status_ == 200;
    };
}

WorkerCall programCalls(Cluster& cluster)
{
    struct State {
        std::string program_;
        int call_ = 0;
        json messages_;
    };
    auto state = std::make_shared<State>();
    std::string url = cluster.url(*cluster.entries_[0].gateway_);
    return [&cluster, state, url](HttpClient& client) {
        if (state->call_ % callsPerProgram == 0)
            *state = { cluster.createProgram(0), 0, json::array() };
        state->messages_.push_back({ { "role", "user" }, { "content", "next" } });
        HttpCall call = modelCallTo(url, state->messages_, false);
        call.headers_.push_back("Fescue-Program: " + state->program_);
        call.headers_.push_back("Fescue-Call: " + std::to_string(++state->call_));
        HttpResult result = client.perform(std::move(call));
        if (result.status_ != 200) {
            state->call_ = 0;
            return false;
        }
        state->messages_.push_back(json::parse(result.body_)["choices"][0]["message"]);
        return true;
    };
}

void printMemory(const char* name, const Process& process)
{
    Usage usage = usageOf(process);
    std::cout << name << ": resident " << usage.megabytes_ << " MB, peak " << usage.peakMegabytes_ << " MB\n";
}

} // namespace

int main()
{
    ClusterOptions options;
    options.engineFlags_ = { "--step_ms=1" };
    options.enginesPerZone_ = 4;
    Cluster cluster(options);
    std::string gateway = cluster.url(*cluster.entries_[0].gateway_);
    std::string engine = cluster.url(*cluster.engines_[0]);
    measureIdle(cluster);
    printMemory("gateway", *cluster.entries_[0].gateway_);
    printMemory("scheduler", *cluster.entries_[0].scheduler_);
    measureLoad(
        cluster, "model calls directly to one engine", [&] { return modelCallsWithoutProgram(engine); });
    measureLoad(cluster, "model calls without a program", [&] { return modelCallsWithoutProgram(gateway); });
    measureLoad(cluster, "program model calls", [&] { return programCalls(cluster); });
    std::string status = "/status/mast-17";
    measureLoad(cluster, "service calls directly to the service",
        [&] { return serviceCalls(cluster.url(*cluster.service_) + status); });
    measureLoad(cluster, "repeatable service calls",
        [&] { return serviceCalls(gateway + "/v1/services/lease-app" + status); });
    printMemory("gateway", *cluster.entries_[0].gateway_);
    printMemory("scheduler", *cluster.entries_[0].scheduler_);
    return 0;
}
