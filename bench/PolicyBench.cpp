/** \file
 * PolicyBench: program latency, recomputed cache tokens and goodput of the policy and the baselines.
 *
 *     PolicyBench [--mixes=AB] [--seeds=3] [--loads=0.4,0.7,1,1.5] [--faults=1] [--only=policy]
 *         [--variants]
 *
 * In one run, all schedulers get the same programs. Each cell is the median over the seeds; some cells add
 * the range over the seeds in brackets.
 */

#include "Baselines.h"
#include "PoolScheduler.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <future>
#include <gflags/gflags.h>
#include <map>
#include <sstream>

DEFINE_string(mixes, "AB", "mixes to run");
DEFINE_int32(seeds, 3, "number of seeds per cell");
DEFINE_string(loads, "0.4,0.7,1,1.5", "loads to run, as fractions of the capacity");
DEFINE_bool(faults, true, "also run the fault scenarios, at 70 percent load");
DEFINE_string(only, "", "run only schedulers whose name contains this text");
DEFINE_bool(variants, false, "also run variants of the policy with one stage disabled");

namespace {

using namespace fescue::bench;

struct Row {
    std::string name_;
    MakeScheduler make_;
};

std::vector<Row> allRows()
{
    std::vector<Row> rows { { "round-robin", makeRoundRobin }, { "least-load", makeLeastLoad },
        { "sticky", makeSticky }, { "plain-window", makePlainWindow } };
    for (const auto& [name, make] : poolSchedulers()) {
        if (FLAGS_variants || name == "policy")
            rows.push_back({ name, make });
    }
    if (FLAGS_only.empty())
        return rows;
    rows.erase(std::remove_if(rows.begin(), rows.end(),
                   [](const Row& row) { return row.name_.find(FLAGS_only) == std::string::npos; }),
        rows.end());
    return rows;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(last * share))];
}

std::vector<double> latencies(const SimulationResult& result, int minTurns, int maxTurns)
{
    std::vector<double> values;
    for (const ProgramResult& program : result.programs_) {
        if (program.turns_ >= minTurns && program.turns_ <= maxTurns)
            values.push_back(program.latency_);
    }
    return values;
}

double callQuantile(const SimulationResult& result, Seconds from, Seconds to)
{
    std::vector<double> values;
    for (const auto& [at, latency] : result.calls_) {
        if (at >= from && at < to)
            values.push_back(latency);
    }
    return quantile(values, 0.95);
}

// Returns the seconds after the fault until the p95 call latency is within 10% of its value before the fault.
double recoveryTime(const SimulationResult& result)
{
    constexpr Seconds window = 10;
    constexpr double margin = 1.1;
    double before = callQuantile(result, warmUpEnd, faultFrom);
    for (Seconds from = faultTo; from + window <= lastArrival; from += window / 2) {
        if (callQuantile(result, from, from + window) <= before * margin)
            return from - faultTo;
    }
    return std::numeric_limits<double>::infinity();
}

std::string cell(const std::vector<SimulationResult>& runs,
    const std::function<double(const SimulationResult&)>& value, int digits, bool hasSpread = false)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const SimulationResult& run : runs)
        values.push_back(value(run));
    char text[64];
    if (hasSpread)
        std::snprintf(text, sizeof text, "%.*f [%.*f-%.*f]", digits, quantile(values, 0.5), digits,
            quantile(values, 0), digits, quantile(values, 1));
    else
        std::snprintf(text, sizeof text, "%.*f", digits, quantile(values, 0.5));
    return text;
}

void printRow(const Row& row, const Mix& mix, const std::vector<SimulationResult>& runs, bool isFault)
{
    auto programs = [](double share, int min, int max) {
        return [=](const SimulationResult& run) { return quantile(latencies(run, min, max), share); };
    };
    auto lost = [](const SimulationResult& run) {
        double count = 0;
        for (const ProgramResult& program : run.programs_)
            count += std::isinf(program.latency_) ? 1 : 0;
        return 100 * count / std::max<double>(1, static_cast<double>(run.programs_.size()));
    };
    auto endedProgramShare = [&mix](const SimulationResult& run) {
        return 100 * run.endedProgramTokenSeconds_
            / (static_cast<double>(mix.engine_.memoryTokens_) * mix.engines_ * runEnd);
    };
    constexpr int all = 1000;
    int half = mix.name_ == "A" ? 10 : 3;
    std::printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |", row.name_.c_str(),
        cell(runs, programs(0.5, 0, all), 1).c_str(), cell(runs, programs(0.95, 0, all), 1, true).c_str(),
        cell(runs, programs(0.99, 0, all), 0).c_str(), cell(runs, programs(0.95, 0, half), 1).c_str(),
        cell(runs, programs(0.95, half + 1, all), 1).c_str(), cell(runs, lost, 1).c_str(),
        cell(
            runs, [](const SimulationResult& run) { return 100 * run.wastedTokens_ / run.promptTokens_; }, 2)
            .c_str(),
        cell(runs, endedProgramShare, 1).c_str(),
        cell(
            runs, [](const SimulationResult& run) { return run.goodputTokens_ / (lastArrival - warmUpEnd); },
            0)
            .c_str(),
        cell(
            runs,
            [](const SimulationResult& run) {
                return static_cast<double>(run.attempts_) / static_cast<double>(run.requests_);
            },
            3)
            .c_str());
    if (isFault)
        std::printf(" %s | %s |", cell(runs, recoveryTime, 0, true).c_str(),
            cell(
                runs, [](const SimulationResult& run) { return static_cast<double>(run.crashes_); }, 0)
                .c_str());
    std::printf("\n");
    std::fflush(stdout);
}

void runTable(const Mix& mix, double load, Fault fault, const std::string& title)
{
    bool isFault = fault != Fault::None;
    std::printf("\n### Mix %s, %s\n\n", mix.name_.c_str(), title.c_str());
    std::printf(
        "| scheduler | p50 s | p95 s | p99 s | p95 short | p95 long | lost %% | wasted %% | dead %% | "
        "goodput tok/s | attempts |%s\n",
        isFault ? " recovery s | crashes |" : "");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|%s\n", isFault ? "---|---|" : "");
    for (const Row& row : allRows()) {
        std::vector<std::future<SimulationResult>> running;
        for (int seed = 1; seed <= FLAGS_seeds; ++seed)
            running.push_back(std::async(std::launch::async, [&, seed] {
                return simulate({ mix, load, fault, static_cast<std::uint64_t>(seed) }, row.make_);
            }));
        std::vector<SimulationResult> runs;
        runs.reserve(running.size());
        for (auto& run : running)
            runs.push_back(run.get());
        printRow(row, mix, runs, isFault);
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::pair<Fault, std::string>> faults { { Fault::EnginesLost,
                                                                  "a third of the engines lost" },
        { Fault::SlowEngine, "an engine six times slower" }, { Fault::HungEngine, "an engine hangs" },
        { Fault::ZonePartitioned, "a zone cut off" },
        { Fault::CrashingRequest, "three requests that crash engines" } };
    constexpr double faultLoad = 0.7;
    for (const Mix& mix : { mixA(), mixB() }) {
        if (FLAGS_mixes.find(mix.name_) == std::string::npos)
            continue;
        std::stringstream loads(FLAGS_loads);
        for (std::string load; std::getline(loads, load, ',');)
            runTable(mix, std::stod(load), Fault::None, "load " + load);
        for (const auto& [fault, title] : faults) {
            if (FLAGS_faults)
                runTable(mix, faultLoad, fault, title + ", load 0.7");
        }
    }
    return 0;
}
