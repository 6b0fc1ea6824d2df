// Prints what the VMs of a zone cost the log while nothing happens, and what requests add.
//
//     build/bench/IdleTrafficBench [VMs]

#include "Cluster.h"

#include <cstdio>
#include <thread>

using namespace fescue::test;
using nlohmann::json;

namespace {

constexpr double seconds = 20;
constexpr int requests = 200;

void printDelta(const char* what, const json& before, const json& after, double per)
{
    auto delta = [&](const char* member) {
        return (after[member].get<double>() - before[member].get<double>()) / per;
    };
    std::printf("%s: appends %.3f (%.0f B), reads %.3f (%.0f B)\n", what, delta("appends"),
        delta("appended_bytes"), delta("reads"), delta("read_bytes"));
}

} // namespace

int main(int argc, char** argv)
{
    ClusterOptions options;
    options.vmsPerZone_ = argc > 1 ? static_cast<std::size_t>(std::atoi(argv[1])) : 4;
    Cluster cluster(options);
    // Until each shard has its owner and has rested for a while.
    std::this_thread::sleep_for(std::chrono::seconds(10));
    json before = cluster.get(*cluster.log_, "/stats");
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    json after = cluster.get(*cluster.log_, "/stats");
    std::printf("%zu VMs in one zone\n", options.vmsPerZone_);
    printDelta("idle, each VM a second", before, after, seconds * static_cast<double>(options.vmsPerZone_));

    std::string program = cluster.createProgram(0);
    before = cluster.get(*cluster.log_, "/stats");
    for (int number = 1; number <= requests; ++number)
        cluster.serviceCall(0, program, number, "/invoices", "{}");
    after = cluster.get(*cluster.log_, "/stats");
    printDelta("each call that runs at most once, one caller", before, after, requests);
    return 0;
}
