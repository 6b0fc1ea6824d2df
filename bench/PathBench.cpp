// What gateway and scheduler add to a call: time to the first token while idle, short calls a second, memory.
// The same calls go to the stand-ins directly, in the same run, so that the stand-ins' own limit shows.

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

constexpr int idleCalls = 400;
constexpr int workers = 32;
constexpr std::chrono::seconds loadTime { 5 };
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

// Milliseconds until the first event with content.
double firstToken(HttpClient& client, const std::string& url)
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
    std::vector<double> direct;
    std::vector<double> through;
    std::string engine = cluster.url(*cluster.engines_[0]);
    std::string gateway = cluster.url(*cluster.entries_[0].gateway_);
    for (int i = 0; i < idleCalls; ++i) {
        direct.push_back(firstToken(cluster.client_, engine));
        through.push_back(firstToken(cluster.client_, gateway));
    }
    for (double share : { 0.5, 0.99 })
        std::cout << "first token, idle, p" << share * 100 << ": direct " << quantile(direct, share)
                  << " ms, through " << quantile(through, share) << " ms, added "
                  << quantile(through, share) - quantile(direct, share) << " ms\n";
}

struct Usage {
    double cpuSeconds_ = 0;
    double megabytes_ = 0;
    double peakMegabytes_ = 0;
};

double megabytesOf(const std::string& line) { return std::stod(line.substr(line.find(':') + 1)) / 1024; }

Usage usageOf(const Process& process)
{
    std::string folder = "/proc/" + std::to_string(process.id());
    Usage usage;
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS", 0) == 0)
            usage.megabytes_ = megabytesOf(line);
        if (line.rfind("VmHWM", 0) == 0)
            usage.peakMegabytes_ = megabytesOf(line);
    }
    std::ifstream stat(folder + "/stat");
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

// One worker's next call; returns whether it was answered with 200.
using WorkerCall = std::function<bool(HttpClient&)>;

void measureLoad(Cluster& cluster, const std::string& what, const std::function<WorkerCall()>& newWorker)
{
    EntryVm& vm = cluster.entries_[0];
    Usage gatewayBefore = usageOf(*vm.gateway_);
    Usage schedulerBefore = usageOf(*vm.scheduler_);
    std::atomic<int> good { 0 };
    std::atomic<int> bad { 0 };
    std::vector<std::thread> threads;
    threads.reserve(workers);
    auto start = Clock::now();
    for (int i = 0; i < workers; ++i) {
        threads.emplace_back([&, call = newWorker()] {
            HttpClient client;
            while (Clock::now() - start < loadTime)
                ++(call(client) ? good : bad);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    double seconds = millisecondsSince(start) / 1000;
    double calls = good + bad;
    std::cout << what << ": " << good / seconds << " calls/s, not answered with 200: " << bad
              << ", processor time a call: gateway "
              << (usageOf(*vm.gateway_).cpuSeconds_ - gatewayBefore.cpuSeconds_) / calls * 1e6
              << " us, scheduler "
              << (usageOf(*vm.scheduler_).cpuSeconds_ - schedulerBefore.cpuSeconds_) / calls * 1e6 << " us\n";
}

WorkerCall looseModelCalls(const std::string& url)
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
    measureLoad(cluster, "one engine alone", [&] { return looseModelCalls(engine); });
    measureLoad(cluster, "loose model calls", [&] { return looseModelCalls(gateway); });
    measureLoad(cluster, "program model calls", [&] { return programCalls(cluster); });
    std::string status = "/status/mast-17";
    measureLoad(
        cluster, "service alone", [&] { return serviceCalls(cluster.url(*cluster.service_) + status); });
    measureLoad(cluster, "repeatable service calls",
        [&] { return serviceCalls(gateway + "/v1/services/lease-app" + status); });
    printMemory("gateway", *cluster.entries_[0].gateway_);
    printMemory("scheduler", *cluster.entries_[0].scheduler_);
    return 0;
}
