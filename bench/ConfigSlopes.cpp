// ConfigSlopesBench: cost of configuration and membership for a VM at several cluster sizes. It has no pass
// criteria.
//
//     build/bench/ConfigSlopesBench

#include "ConfigSnapshot.h"
#include "Digest.h"
#include "Frame.h"

#include <cstdio>
#include <fstream>
#include <malloc.h>

using namespace fescue;
using nlohmann::json;

namespace {

struct Size {
    int workspaces_;
    int targets_;
    int vms_;
};

// Returns a publication with a section for each workspace and for each pool of ten targets.
json sectionsOf(const Size& size)
{
    json sections { { "models/agent-llm", json::object() } };
    for (int i = 0; i < size.workspaces_; ++i)
        sections["workspaces/team-" + std::to_string(i)]
            = { { "key_sha256", { sha256Hex("a" + std::to_string(i)), sha256Hex("b" + std::to_string(i)) } },
                  { "default_budget", 200000 }, { "weight", 1.5 } };
    for (int i = 0; i < size.targets_; ++i) {
        json& pool = sections["pools/pool-" + std::to_string(i / 10)];
        pool["zone"] = "gr-central-a";
        pool["models"] = { "agent-llm" };
        pool["targets"].push_back({ { "id", "agent-llm-runner-" + std::to_string(i) },
            { "url", "http://10.20.30." + std::to_string(i % 250) + ":8000" } });
    }
    return sections;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

template <typename Function> double microsecondsOf(int times, const Function& function)
{
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i)
        function(i);
    std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / times;
}

Members membersOf(int vms)
{
    Members members;
    for (int i = 0; i < vms; ++i)
        members.push_back({ { "entry-vm-" + std::to_string(i) }, { "gr-central-a" },
            "10.20.30." + std::to_string(i % 250) + ":7000" });
    return members;
}

void printSize(const Size& size)
{
    std::string entry = json { { "author", "bench" }, { "sections", sectionsOf(size) } }.dump();
    double before = heapBytes();
    Config config;
    applyPublication(config, { 1 }, entry);
    double configHeapBytes = heapBytes() - before;
    std::string text = toJson(config).dump();
    constexpr int changes = 50;
    std::size_t changeBytes = 0;
    double fold = microsecondsOf(changes, [&](int i) {
        std::uint64_t builtOn = config.sectionVersions_["workspaces/team-0"];
        json body { { "key_sha256", { sha256Hex(std::to_string(i)) } } };
        std::string change = json {
            { "author", "bench" }, { "built_on", { { "workspaces/team-0", builtOn } } },
            { "sections", { { "workspaces/team-0", body } } }
        }.dump();
        changeBytes = change.size();
        applyPublication(config, { static_cast<std::uint64_t>(i) + 2 }, change);
    });
    double dump = microsecondsOf(10, [&](int) { text = toJson(config).dump(); });
    double parse = microsecondsOf(10, [&](int) { parseConfig(json::parse(text)); });
    Config copied;
    double copy = microsecondsOf(10, [&](int) { copied = config; });
    std::string snapshot = snapshotEntry(config);
    std::size_t view = toCbor(ViewFrame { membersOf(size.vms_), {} }).size();
    std::printf(
        "%4d workspaces %5d targets %4d VMs: heap %8.0f B, as text %7zu B, snapshot %7zu B, "
        "one change %4zu B folded in %6.0f us, copy %6.0f us, dump %6.0f us, parse %6.0f us, view without "
        "configuration %6zu B\n",
        size.workspaces_, size.targets_, size.vms_, configHeapBytes, text.size(), snapshot.size(),
        changeBytes, fold, copy, dump, parse, view);
}

void printAnnouncement(int vmsPerZone)
{
    PeerFrame frame { { "entry-vm-100" }, { "gr-central-a" }, "10.20.30.40:7000", false, false, { 123456 } };
    for (int i = 0; i < 32 / vmsPerZone + 1; ++i)
        frame.ownedShards_.push_back(static_cast<std::uint32_t>(i));
    std::size_t bytes = toCbor(frame).size();
    std::printf(
        "%4d VMs per zone: announcement %4zu B, sent every second to %3d peers = %6zu B/s, links %3d\n",
        vmsPerZone, bytes, vmsPerZone - 1, bytes * static_cast<std::size_t>(vmsPerZone - 1), vmsPerZone - 1);
}

} // namespace

int main()
{
    for (const Size& size : { Size { 10, 32, 10 }, Size { 100, 300, 100 }, Size { 370, 1200, 370 } })
        printSize(size);
    for (int vms : { 4, 10, 21, 40 })
        printAnnouncement(vms);
}
