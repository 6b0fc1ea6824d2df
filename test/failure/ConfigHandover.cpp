// Configuration in force while the log is down or has forgotten it, through separate processes.

#include "Cluster.h"
#include "Suite.h"

#include <csignal>

using namespace fescue::test;
using nlohmann::json;

class ConfigHandover : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigHandover);
    CPPUNIT_TEST(vmThatStartsWhileTheLogIsDownTakesItFromPeers);
    CPPUNIT_TEST(vmThatStartsBeyondTheRetentionTakesASnapshot);
    CPPUNIT_TEST(gapThatNothingCoversIsTold);
    CPPUNIT_TEST_SUITE_END();

public:
    void vmThatStartsWhileTheLogIsDownTakesItFromPeers();
    void vmThatStartsBeyondTheRetentionTakesASnapshot();
    void gapThatNothingCoversIsTold();
};

REGISTER_SUITE(ConfigHandover);

namespace {

json statusOf(Cluster& cluster, std::size_t vm)
{
    return cluster.get(*cluster.entries_[vm].scheduler_, "/status");
}

std::uint64_t versionAt(Cluster& cluster, std::size_t vm)
{
    return statusOf(cluster, vm)["config"].value("version", std::uint64_t { 0 });
}

std::uint64_t readTo(Cluster& cluster, std::size_t vm)
{
    return statusOf(cluster, vm)["config"].value("read_to", std::uint64_t { 0 });
}

bool isReady(Cluster& cluster, std::size_t vm)
{
    return cluster.client_.perform({ "GET", cluster.url(*cluster.entries_[vm].gateway_) + "/readyz" }).status_
        == 200;
}

void publishModel(Cluster& cluster, int limit)
{
    cluster.publish({ { "models/agent-llm", { { "context_limit", limit } } } });
}

// Entries that nobody accepts, so that what was accepted ages out. The first VM reads each of them before the
// next one comes: a VM that falls behind by more than the log retains has a gap of its own.
void ageOut(Cluster& cluster)
{
    for (int i = 0; i < 5; ++i) {
        std::uint64_t before = readTo(cluster, 0);
        cluster.client_.perform({ "POST", cluster.url(*cluster.log_) + "/streams/config", {}, "{}" });
        waitUntil("the entry is read", [&] { return readTo(cluster, 0) > before; });
    }
}

} // namespace

void ConfigHandover::vmThatStartsWhileTheLogIsDownTakesItFromPeers()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    Cluster cluster(options);
    publishModel(cluster, 100000);
    waitUntil(
        "the change is in force", [&] { return versionAt(cluster, 0) == 2 && versionAt(cluster, 1) == 2; });
    cluster.setFaults(*cluster.log_, { { "down", true } });
    cluster.startVm("zone-a-new", "zone-a");
    waitUntil("the new VM is ready", [&] { return isReady(cluster, 2); });
    CHECK_EQUAL(std::uint64_t { 2 }, versionAt(cluster, 2));
    CHECK(statusOf(cluster, 2)["config"] == statusOf(cluster, 0)["config"]);

    cluster.entries_[1].scheduler_->signalAndWait(SIGKILL);
    cluster.entries_[1].gateway_->signalAndWait(SIGKILL);
    cluster.startVm("zone-a-vm1", "zone-a");
    waitUntil("the restarted VM is ready", [&] { return isReady(cluster, 3); });
    CHECK_EQUAL(std::uint64_t { 2 }, versionAt(cluster, 3));

    cluster.setFaults(*cluster.log_, { { "down", false } });
    publishModel(cluster, 200000);
    for (std::size_t vm : { 0U, 2U, 3U })
        waitUntil("the next change is in force", [&] { return versionAt(cluster, vm) == 3; });
}

void ConfigHandover::vmThatStartsBeyondTheRetentionTakesASnapshot()
{
    ClusterOptions options;
    options.logFlags_ = { "--retention=3" };
    options.schedulerFlags_ = { "--config_snapshot_ms=200" };
    Cluster cluster(options);
    publishModel(cluster, 100000);
    waitUntil("the change is in force", [&] { return versionAt(cluster, 0) == 2; });
    ageOut(cluster);
    std::string snapshots = cluster.url(*cluster.log_) + "/streams/config-snapshots?from=1";
    waitUntil("a snapshot is newer", [&] {
        auto page = json::parse(cluster.client_.perform({ "GET", snapshots }).body_, nullptr, false);
        auto entries = page.value("entries", json::array());
        if (entries.empty())
            return false;
        return json::parse(entries.back()["data"].get<std::string>())["config_snapshot"]["read_to"] == 7;
    });
    // In a zone of its own, so that no peer can hand the configuration over.
    cluster.startVm("zone-b-new", "zone-b");
    waitUntil("the new VM is ready", [&] { return isReady(cluster, 1); });
    CHECK(statusOf(cluster, 1)["config"] == statusOf(cluster, 0)["config"]);
}

void ConfigHandover::gapThatNothingCoversIsTold()
{
    ClusterOptions options;
    options.logFlags_ = { "--retention=3" };
    Cluster cluster(options);
    ageOut(cluster);
    cluster.startVm("zone-b-new", "zone-b");
    waitUntil("the gap is told", [&] { return statusOf(cluster, 1)["config_standing"]["gap"] == true; });
    CHECK(!isReady(cluster, 1));
    CHECK(isReady(cluster, 0));
    // A peer that holds what aged out closes the gap.
    cluster.startVm("zone-a-new", "zone-a");
    waitUntil("the peer's configuration is taken", [&] { return isReady(cluster, 2); });
    CHECK(statusOf(cluster, 2)["config"] == statusOf(cluster, 0)["config"]);
}
