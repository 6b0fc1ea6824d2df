// RecoveryBench: time from the crash of a program's owner to the next answered call of the program. It has no
// pass criteria.
//
//     build/bench/RecoveryBench --runs=9

#include "History.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(runs, 9, "number of runs per case");
DEFINE_int32(outage_ms, 2000, "duration of the log outage after the kill, in milliseconds");

namespace {

using namespace fescue;
using namespace fescue::test;

struct RecoveryTimes {
    std::vector<std::int64_t> ms_;

    void add(MonotonicTime since) { ms_.push_back((monotonicNow() - since).count()); }

    void print(const std::string& what)
    {
        std::sort(ms_.begin(), ms_.end());
        std::cout << fmt::format(
            "{:<52} n={} median {} ms, worst {} ms\n", what, ms_.size(), ms_[ms_.size() / 2], ms_.back());
    }
};

// A program with one durable call, in a zone with two VMs that can own it.
struct RecoveryScenario {
    Cluster cluster_ { [] {
        ClusterOptions options;
        options.vmsPerZone_ = 2;
        return options;
    }() };
    std::string program_ = cluster_.createProgram(0);
    std::size_t owner_ = 0;
    nlohmann::json messages_ = conversation({ "Check the rent." });

    RecoveryScenario()
    {
        cluster_.modelCall(0, program_, 1, messages_);
        waitUntil("the call is durable", [&] {
            Answer shown = cluster_.call(0, "GET", "/v1/programs/" + program_);
            return shown.status() == 200 && shown.json()["durable_call"] == 1;
        });
        owner_ = ownerOf(cluster_, program_);
    }

    MonotonicTime killOwner()
    {
        cluster_.entries_[owner_].scheduler_->signalAndWait(SIGKILL);
        return monotonicNow();
    }

    bool tryNextCall()
    {
        auto body = nlohmann::json { { "token", program_ } }.dump();
        return cluster_.serviceCall(1 - owner_, program_, 2, "/permits", body).status() == 200;
    }

    void waitForNextAnswer()
    {
        waitUntil("the next call is answered", [&] { return tryNextCall(); });
    }
};

void measureLogUp(RecoveryTimes& times)
{
    RecoveryScenario scenario;
    auto killed = scenario.killOwner();
    scenario.waitForNextAnswer();
    times.add(killed);
}

void measureLogDown(RecoveryTimes& fromKill, RecoveryTimes& fromLogRestored)
{
    RecoveryScenario scenario;
    scenario.cluster_.setFaults(*scenario.cluster_.log_, { { "down", true } });
    auto killed = scenario.killOwner();
    while (monotonicNow() - killed < Milliseconds { FLAGS_outage_ms })
        scenario.tryNextCall();
    scenario.cluster_.setFaults(*scenario.cluster_.log_, { { "down", false } });
    auto restored = monotonicNow();
    scenario.waitForNextAnswer();
    fromKill.add(killed);
    fromLogRestored.add(restored);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    RecoveryTimes up;
    RecoveryTimes fromKill;
    RecoveryTimes fromLogRestored;
    for (int i = 0; i < FLAGS_runs; ++i) {
        measureLogUp(up);
        measureLogDown(fromKill, fromLogRestored);
    }
    up.print("log up: kill to next answer");
    fromKill.print(fmt::format("log down for {} ms or more: kill to next answer", FLAGS_outage_ms));
    fromLogRestored.print("log down: log restored to next answer");
    return 0;
}
