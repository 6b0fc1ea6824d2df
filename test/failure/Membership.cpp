// VMs and targets start, leave and fail while the platform's list is stale. Runs separate processes.

#include "Cluster.h"
#include "Suite.h"

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <set>
#include <unistd.h>

using namespace fescue::test;
using nlohmann::json;

class Membership : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(Membership);
    CPPUNIT_TEST(survivorsTakeOverProgramsOfVmsThatFailTogether);
    CPPUNIT_TEST(leavingTargetGetsNoNewCalls);
    CPPUNIT_TEST(startingVmsLoseNoShardToEachOther);
    CPPUNIT_TEST_SUITE_END();

public:
    void survivorsTakeOverProgramsOfVmsThatFailTogether();
    void leavingTargetGetsNoNewCalls();
    void startingVmsLoseNoShardToEachOther();
};

REGISTER_SUITE(Membership);

namespace {

json statusOf(Cluster& cluster, const EntryVm& vm) { return cluster.get(*vm.scheduler_, "/status"); }

// Keeps the list in its current state until the end of the test.
void freezeList(Cluster& cluster) { cluster.setFaults(*cluster.vms_, { { "lag_ms", 3600000 } }); }

// Returns the names of the programs that a VM owns.
std::set<std::string> programsAt(Cluster& cluster, const EntryVm& vm)
{
    std::set<std::string> names;
    json document = cluster.get(*vm.scheduler_, "/programs");
    for (const json& row : document["programs"])
        names.insert(row["program"].get<std::string>());
    return names;
}

std::size_t shardsOwned(Cluster& cluster, const EntryVm& vm)
{
    std::size_t owned = 0;
    json status = statusOf(cluster, vm);
    for (const json& row : status["shards"])
        owned += row["owner"] == vm.name_ && row["epoch"] != 0 ? 1 : 0;
    return owned;
}

} // namespace

void Membership::survivorsTakeOverProgramsOfVmsThatFailTogether()
{
    ClusterOptions options;
    options.vmsPerZone_ = 4;
    Cluster cluster(options);
    waitUntil(
        "the list is known", [&] { return statusOf(cluster, cluster.entries_[0])["members"].size() == 4; });
    freezeList(cluster);
    std::set<std::string> programs;
    for (int i = 0; i < 24; ++i)
        programs.insert(cluster.createProgram(static_cast<std::size_t>(i) % 4));
    for (std::size_t vm : { 2U, 3U }) {
        cluster.entries_[vm].scheduler_->signalAndWait(SIGKILL);
        cluster.entries_[vm].gateway_->signalAndWait(SIGKILL);
    }
    // No request is sent: the survivors must take over every program on their own.
    waitUntil("each program is owned by a survivor", [&] {
        std::set<std::string> owned = programsAt(cluster, cluster.entries_[0]);
        owned.merge(programsAt(cluster, cluster.entries_[1]));
        return owned == programs;
    });
    waitUntil("the survivors own every shard once", [&] {
        return shardsOwned(cluster, cluster.entries_[0]) + shardsOwned(cluster, cluster.entries_[1]) == 32;
    });
    json status = statusOf(cluster, cluster.entries_[0]);
    for (const json& member : status["members"]) {
        bool isDead = member["vm"] == "zone-a-vm2" || member["vm"] == "zone-a-vm3";
        CHECK_EQUAL(!isDead, member["reachable"].get<bool>());
    }
    for (const std::string& program : programs)
        CHECK_EQUAL(200, cluster.serviceCall(0, program, 1, "/invoices", "{}").status());
}

void Membership::leavingTargetGetsNoNewCalls()
{
    ClusterOptions options;
    options.enginesPerZone_ = 2;
    Cluster cluster(options);
    auto callsAt = [&cluster](std::size_t engine) {
        return cluster.get(*cluster.engines_[engine], "/v1/cache")["entries"].size();
    };
    auto callOnce = [&cluster] {
        std::string program = cluster.createProgram(0);
        CHECK_EQUAL(200, cluster.modelCall(0, program, 1, conversation({ "hello" })).status());
    };
    waitUntil("both targets get calls", [&] {
        callOnce();
        return callsAt(0) > 0 && callsAt(1) > 0;
    });
    json target { { "id", "engine-0" }, { "url", cluster.url(*cluster.engines_[0]) }, { "leaving", true } };
    cluster.publish({ { "pools/engine-0",
        { { "zone", "zone-a" }, { "models", { "agent-llm" } }, { "targets", { target } } } } });
    waitUntil("the change is active",
        [&] { return statusOf(cluster, cluster.entries_[0])["config"]["version"] == 2; });
    std::size_t before = callsAt(0);
    for (int i = 0; i < 20; ++i)
        callOnce();
    CHECK_EQUAL(before, callsAt(0));
}

void Membership::startingVmsLoseNoShardToEachOther()
{
    ClusterOptions options;
    options.eventsFolder_ = std::filesystem::temp_directory_path() / ("fescue-" + std::to_string(getpid()));
    std::filesystem::create_directories(options.eventsFolder_);
    Cluster cluster(options);
    cluster.setFaults(*cluster.service_, { { "delay_ms", 50 } });
    std::atomic<bool> isStopped { false };
    auto load = [&](std::size_t vm) {
        for (int i = 0; i < 40 || !isStopped; ++i) {
            Answer created = cluster.call(vm, "POST", "/v1/programs", "{}");
            if (created.status() == 200)
                cluster.serviceCall(vm, created.json()["program"], 1, "/invoices", "{}");
        }
    };
    auto first = std::async(std::launch::async, load, 0U);
    cluster.entries_.reserve(3);
    cluster.startVm("zone-a-new0", "zone-a");
    cluster.startVm("zone-a-new1", "zone-a");
    std::vector<std::future<void>> others;
    for (std::size_t vm : { 1U, 2U, 1U, 2U })
        others.push_back(std::async(std::launch::async, load, vm));
    isStopped = true;
    first.get();
    for (auto& other : others)
        other.get();
    // A released shard is not logged as lost, because its owner released it before the claim.
    std::string lostShards;
    for (const EntryVm& vm : cluster.entries_) {
        std::ifstream events(options.eventsFolder_ + "/" + vm.name_ + "-scheduler.events");
        for (std::string line; std::getline(events, line);)
            lostShards += line.find("shard_lost") == std::string::npos ? "" : line + "\n";
    }
    std::filesystem::remove_all(options.eventsFolder_);
    CHECK_EQUAL(std::string(), lostShards);
}
