// CapacityBench: resource usage of the two processes of a VM for several numbers of programs.
//
// For each number of programs it starts a fresh system of one VM, runs the same calls for every program
// (model turns and one at-most-once call), and prints CPU time, memory and log traffic. docs/CAPACITY.md
// extrapolates from the slopes between the sizes.

#include "History.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace fescue::test;
using nlohmann::json;

namespace {

constexpr int modelCallsPerProgram = 3;
constexpr int callsPerProgram = modelCallsPerProgram + 1;
constexpr int callerCount = 8;
constexpr std::chrono::seconds idleDuration { 3 };

struct Usage {
    double cpuSeconds_ = 0;
    double residentMb_ = 0;
};

Usage usageOf(const Process& process)
{
    std::string procDirectory = "/proc/" + std::to_string(process.id());
    std::ifstream stat(procDirectory + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int firstField = 3; // The field after the process name in parentheses; user time is field 14.
    constexpr int userTimeField = 14;
    for (int field = firstField; field < userTimeField; ++field)
        fields >> skipped;
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    std::ifstream statm(procDirectory + "/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return { (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK)),
        resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6 };
}

std::string answerText(const Answer& answer)
{
    return answer.json()["choices"][0]["message"]["content"].get<std::string>();
}

void runProgram(Cluster& cluster)
{
    std::string program = cluster.createProgram(0);
    std::vector<std::string> turns { "Reconcile the rent schedule of tower 1 with the register." };
    int number = 1;
    for (int turn = 0; turn < modelCallsPerProgram; ++turn) {
        Answer answer = cluster.modelCall(0, program, number++, conversation(turns));
        if (answer.status() != 200)
            throw std::runtime_error(answer.http_.body_);
        turns.push_back(answerText(answer));
        turns.emplace_back("And the next tower, with the access rights of last year.");
    }
    cluster.serviceCall(0, program, number, "/invoices", "{\"amount\": 120}");
}

void runPrograms(Cluster& cluster, int programs)
{
    std::atomic<int> next { 0 };
    std::vector<std::thread> threads;
    threads.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i)
        threads.emplace_back([&] {
            while (next++ < programs)
                runProgram(cluster);
        });
    for (std::thread& thread : threads)
        thread.join();
}

double idleCpuPercent(const Process& process, const Usage& before)
{
    double seconds = std::chrono::duration<double>(idleDuration).count();
    return (usageOf(process).cpuSeconds_ - before.cpuSeconds_) / seconds * 100;
}

// Waits until all shards are claimed and have their first snapshot, so that these are not counted as load.
void waitForStartup(Cluster& cluster)
{
    waitUntilAllShardsOwned(cluster);
    std::this_thread::sleep_for(idleDuration);
}

void measure(int programs)
{
    Cluster cluster;
    waitForStartup(cluster);
    const EntryVm& vm = cluster.entries_.front();
    Usage schedulerBefore = usageOf(*vm.scheduler_);
    Usage gatewayBefore = usageOf(*vm.gateway_);
    std::this_thread::sleep_for(idleDuration);
    double schedulerIdle = idleCpuPercent(*vm.scheduler_, schedulerBefore);
    double gatewayIdle = idleCpuPercent(*vm.gateway_, gatewayBefore);
    json logBefore = cluster.get(*cluster.log_, "/stats");
    schedulerBefore = usageOf(*vm.scheduler_);
    gatewayBefore = usageOf(*vm.gateway_);
    runPrograms(cluster, programs);
    Usage scheduler = usageOf(*vm.scheduler_);
    Usage gateway = usageOf(*vm.gateway_);
    json log = cluster.get(*cluster.log_, "/stats");
    double calls = programs * callsPerProgram;
    auto perCall
        = [&](const char* name) { return (log[name].get<double>() - logBefore[name].get<double>()) / calls; };
    constexpr double microseconds = 1e6;
    std::cout << programs << ' ' << calls << ' ' << schedulerIdle << ' ' << gatewayIdle << ' '
              << (scheduler.cpuSeconds_ - schedulerBefore.cpuSeconds_) / calls * microseconds << ' '
              << (gateway.cpuSeconds_ - gatewayBefore.cpuSeconds_) / calls * microseconds << ' '
              << scheduler.residentMb_ << ' ' << gateway.residentMb_ << ' ' << perCall("appends") << ' '
              << perCall("appended_bytes") << ' ' << perCall("read_bytes") << std::endl;
}

struct PacedRun {
    double secondsPerCall_ = 0;
    double appendsPerSecond_ = 0;
};

// Runs one VM's share of the target load sequentially; one call in seven runs at most once.
PacedRun runPaced(Cluster& cluster, int calls)
{
    constexpr std::chrono::milliseconds pace { 260 };
    constexpr int atMostOnceEvery = 7;
    std::string program = cluster.createProgram(0);
    json before = cluster.get(*cluster.log_, "/stats");
    std::vector<std::string> turns { "Check the diesel receipt of the twelfth." };
    PacedRun run;
    int atMostOnce = 0;
    auto start = std::chrono::steady_clock::now();
    for (int number = 1; number <= calls; ++number) {
        std::this_thread::sleep_until(start + number * pace);
        auto sent = std::chrono::steady_clock::now();
        if (number % atMostOnceEvery == 0) {
            cluster.serviceCall(0, program, number, "/payouts", "{}");
            run.secondsPerCall_
                += std::chrono::duration<double>(std::chrono::steady_clock::now() - sent).count();
            ++atMostOnce;
            continue;
        }
        turns.push_back(answerText(cluster.modelCall(0, program, number, conversation(turns))));
        turns.emplace_back("And the next.");
    }
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    json after = cluster.get(*cluster.log_, "/stats");
    run.secondsPerCall_ /= atMostOnce;
    run.appendsPerSecond_ = (after["appends"].get<double>() - before["appends"].get<double>()) / seconds;
    return run;
}

void measureIntervals()
{
    constexpr int calls = 70;
    constexpr double milliseconds = 1e3;
    std::cout << "flush_ms appends/s ms_per_at_most_once_call\n";
    for (int interval : { 500, 2000 }) {
        ClusterOptions options;
        options.schedulerFlags_ = { "--flush_ms=" + std::to_string(interval) };
        Cluster cluster(options);
        waitForStartup(cluster);
        PacedRun run = runPaced(cluster, calls);
        std::cout << interval << ' ' << run.appendsPerSecond_ << ' ' << run.secondsPerCall_ * milliseconds
                  << std::endl;
    }
}

} // namespace

int main()
{
    measureIntervals();
    std::cout << "programs calls scheduler_idle_cpu_% gateway_idle_cpu_% scheduler_us/call gateway_us/call "
                 "scheduler_MB gateway_MB appends/call appended_bytes/call read_bytes/call\n";
    for (int programs : { 50, 200, 800 })
        measure(programs);
    return 0;
}
