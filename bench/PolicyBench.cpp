/** \file
 * PolicyBench: program latency, wasted cache and goodput of the policy and of the baselines.
 *
 *     PolicyBench [--mixes=AB] [--seeds=3] [--loads=0.4,0.7,1,1.5] [--faults=1] [--only=policy]
 *         [--variants]
 *
 * All schedulers get the same programs in one run. A cell is the median over the seeds, with least and most
 * in brackets where it says so.
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
DEFINE_int32(seeds, 3, "seeds of each cell");
DEFINE_string(loads, "0.4,0.7,1,1.5", "shares of the capacity");
DEFINE_bool(faults, true, "run the faults too, at 70 percent");
DEFINE_string(only, "", "only schedulers whose name has this");
DEFINE_bool(variants, false, "also the policy without each of its stages");

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

std::vector<double> latencies(const Measures& measures, int fewestTurns, int mostTurns)
{
    std::vector<double> values;
    for (const ProgramTime& program : measures.programs_) {
        if (program.turns_ >= fewestTurns && program.turns_ <= mostTurns)
            values.push_back(program.latency_);
    }
    return values;
}

double callQuantile(const Measures& measures, Seconds from, Seconds to)
{
    std::vector<double> values;
    for (const auto& [at, latency] : measures.calls_) {
        if (at >= from && at < to)
            values.push_back(latency);
    }
    return quantile(values, 0.95);
}

// Seconds after the fault until the p95 of calls is within a tenth of what it was before.
double recoveryTime(const Measures& measures)
{
    constexpr Seconds window = 10;
    constexpr double margin = 1.1;
    double before = callQuantile(measures, warmUp, faultFrom);
    for (Seconds from = faultTo; from + window <= lastArrival; from += window / 2) {
        if (callQuantile(measures, from, from + window) <= before * margin)
            return from - faultTo;
    }
    return std::numeric_limits<double>::infinity();
}

std::string cell(const std::vector<Measures>& runs, const std::function<double(const Measures&)>& value,
    int digits, bool hasSpread = false)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const Measures& run : runs)
        values.push_back(value(run));
    char text[64];
    if (hasSpread)
        std::snprintf(text, sizeof text, "%.*f [%.*f-%.*f]", digits, quantile(values, 0.5), digits,
            quantile(values, 0), digits, quantile(values, 1));
    else
        std::snprintf(text, sizeof text, "%.*f", digits, quantile(values, 0.5));
    return text;
}

void printRow(const Row& row, const Mix& mix, const std::vector<Measures>& runs, bool isFault)
{
    auto programs = [](double share, int fewest, int most) {
        return [=](const Measures& run) { return quantile(latencies(run, fewest, most), share); };
    };
    auto lost = [](const Measures& run) {
        double count = 0;
        for (const ProgramTime& program : run.programs_)
            count += std::isinf(program.latency_) ? 1 : 0;
        return 100 * count / std::max<double>(1, static_cast<double>(run.programs_.size()));
    };
    auto dead = [&mix](const Measures& run) {
        return 100 * run.deadTokenSeconds_
            / (static_cast<double>(mix.engine_.memoryTokens_) * mix.engines_ * runEnd);
    };
    constexpr int all = 1000;
    int half = mix.name_ == "A" ? 10 : 3;
    std::printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |", row.name_.c_str(),
        cell(runs, programs(0.5, 0, all), 1).c_str(), cell(runs, programs(0.95, 0, all), 1, true).c_str(),
        cell(runs, programs(0.99, 0, all), 0).c_str(), cell(runs, programs(0.95, 0, half), 1).c_str(),
        cell(runs, programs(0.95, half + 1, all), 1).c_str(), cell(runs, lost, 1).c_str(),
        cell(
            runs, [](const Measures& run) { return 100 * run.wastedTokens_ / run.promptTokens_; }, 2)
            .c_str(),
        cell(runs, dead, 1).c_str(),
        cell(
            runs, [](const Measures& run) { return run.goodTokens_ / (lastArrival - warmUp); }, 0)
            .c_str(),
        cell(
            runs,
            [](const Measures& run) {
                return static_cast<double>(run.attempts_) / static_cast<double>(run.requests_);
            },
            3)
            .c_str());
    if (isFault)
        std::printf(" %s | %s |", cell(runs, recoveryTime, 0, true).c_str(),
            cell(
                runs, [](const Measures& run) { return static_cast<double>(run.crashes_); }, 0)
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
        std::vector<std::future<Measures>> running;
        for (int seed = 1; seed <= FLAGS_seeds; ++seed)
            running.push_back(std::async(std::launch::async, [&, seed] {
                return simulate({ mix, load, fault, static_cast<std::uint64_t>(seed) }, row.make_);
            }));
        std::vector<Measures> runs;
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
    const std::vector<std::pair<Fault, std::string>> faults {
        { Fault::ThirdLost, "a third of the engines lost" },
        { Fault::SlowEngine, "an engine six times slower" }, { Fault::HungEngine, "an engine hangs" },
        { Fault::ZoneCut, "a zone cut off" }, { Fault::CrashingRequest, "three requests that crash engines" }
    };
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
