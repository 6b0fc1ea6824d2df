// IdleTrafficBench: log traffic of the VMs of a zone while they are idle, and the traffic that requests add.
//
//     build/bench/IdleTrafficBench [VMs]

#include "Cluster.h"

#include <cstdio>
#include <thread>

using namespace fescue::test;
using nlohmann::json;

namespace {

constexpr double measuredSeconds = 20;
constexpr int requests = 200;

void printDelta(const char* what, const json& before, const json& after, double divisor)
{
    auto delta = [&](const char* member) {
        return (after[member].get<double>() - before[member].get<double>()) / divisor;
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
    // Gives every shard time to get an owner and become idle.
    std::this_thread::sleep_for(std::chrono::seconds(10));
    json before = cluster.get(*cluster.log_, "/stats");
    std::this_thread::sleep_for(std::chrono::duration<double>(measuredSeconds));
    json after = cluster.get(*cluster.log_, "/stats");
    std::printf("%zu VMs in one zone\n", options.vmsPerZone_);
    printDelta(
        "idle, per VM and second", before, after, measuredSeconds * static_cast<double>(options.vmsPerZone_));

    std::string program = cluster.createProgram(0);
    before = cluster.get(*cluster.log_, "/stats");
    for (int number = 1; number <= requests; ++number)
        cluster.serviceCall(0, program, number, "/invoices", "{}");
    after = cluster.get(*cluster.log_, "/stats");
    printDelta("per at-most-once call, one caller", before, after, requests);
    return 0;
}
