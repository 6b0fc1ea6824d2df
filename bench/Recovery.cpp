// Time from the death of a program's owner to the program's next answered call. Prints, judges nothing.
//
//     build/bench/RecoveryBench --runs=9

#include "History.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(runs, 9, "how often each case is measured");
DEFINE_int32(outage_ms, 2000, "how long the log stays down after the kill");

namespace {

using namespace fescue;
using namespace fescue::test;

struct Times {
    std::vector<std::int64_t> ms_;

    void add(MonotonicTime since) { ms_.push_back((monotonicNow() - since).count()); }

    void print(const std::string& what)
    {
        std::sort(ms_.begin(), ms_.end());
        std::cout << fmt::format(
            "{:<52} n={} median {} ms, worst {} ms\n", what, ms_.size(), ms_[ms_.size() / 2], ms_.back());
    }
};

// A program with one answered call and two VMs that could own it.
struct Scene {
    Cluster cluster_ { [] {
        ClusterOptions options;
        options.vmsPerZone_ = 2;
        return options;
    }() };
    std::string program_ = cluster_.createProgram(0);
    std::size_t owner_ = 0;
    nlohmann::json messages_ = conversation({ "Check the rent." });

    Scene()
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
        cluster_.entries_[owner_].scheduler_->end(SIGKILL);
        return monotonicNow();
    }

    bool isNextAnswered()
    {
        auto wish = nlohmann::json { { "token", program_ } }.dump();
        return cluster_.serviceCall(1 - owner_, program_, 2, "/permits", wish).status() == 200;
    }

    void awaitNext()
    {
        waitUntil("the next call is answered", [&] { return isNextAnswered(); });
    }
};

void measureLogUp(Times& times)
{
    Scene scene;
    auto killed = scene.killOwner();
    scene.awaitNext();
    times.add(killed);
}

void measureLogDown(Times& fromKill, Times& fromReturn)
{
    Scene scene;
    scene.cluster_.faults(*scene.cluster_.log_, { { "down", true } });
    auto killed = scene.killOwner();
    while (monotonicNow() - killed < Milliseconds { FLAGS_outage_ms })
        scene.isNextAnswered();
    scene.cluster_.faults(*scene.cluster_.log_, { { "down", false } });
    auto back = monotonicNow();
    scene.awaitNext();
    fromKill.add(killed);
    fromReturn.add(back);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Times up;
    Times fromKill;
    Times fromReturn;
    for (int i = 0; i < FLAGS_runs; ++i) {
        measureLogUp(up);
        measureLogDown(fromKill, fromReturn);
    }
    up.print("log up: kill to next answer");
    fromKill.print(fmt::format("log down for {} ms or more: kill to next answer", FLAGS_outage_ms));
    fromReturn.print("log down: its return to next answer");
    return 0;
}
