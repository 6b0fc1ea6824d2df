// VMs get the active configuration while the log is down or has truncated it. Runs separate processes.

#include "Cluster.h"
#include "Suite.h"

#include <csignal>

using namespace fescue::test;
using nlohmann::json;

class ConfigHandover : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigHandover);
    CPPUNIT_TEST(vmThatStartsWhileTheLogIsDownGetsTheConfigFromPeers);
    CPPUNIT_TEST(vmThatStartsAfterLogTruncationLoadsASnapshot);
    CPPUNIT_TEST(gapThatNoSnapshotCoversIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void vmThatStartsWhileTheLogIsDownGetsTheConfigFromPeers();
    void vmThatStartsAfterLogTruncationLoadsASnapshot();
    void gapThatNoSnapshotCoversIsReported();
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

std::uint64_t readPositionAt(Cluster& cluster, std::size_t vm)
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

// Appends invalid entries until the log has truncated the accepted ones. Waits until the first VM has read
// each entry before it appends the next: a VM that falls behind by more than the retention has a gap itself.
void truncateConfigLog(Cluster& cluster)
{
    for (int i = 0; i < 5; ++i) {
        std::uint64_t before = readPositionAt(cluster, 0);
        cluster.client_.perform({ "POST", cluster.url(*cluster.log_) + "/streams/config", {}, "{}" });
        waitUntil("the entry is read", [&] { return readPositionAt(cluster, 0) > before; });
    }
}

} // namespace

void ConfigHandover::vmThatStartsWhileTheLogIsDownGetsTheConfigFromPeers()
{
    ClusterOptions options;
    options.vmsPerZone_ = 2;
    Cluster cluster(options);
    publishModel(cluster, 100000);
    waitUntil(
        "the change is active", [&] { return versionAt(cluster, 0) == 2 && versionAt(cluster, 1) == 2; });
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
        waitUntil("the next change is active", [&] { return versionAt(cluster, vm) == 3; });
}

void ConfigHandover::vmThatStartsAfterLogTruncationLoadsASnapshot()
{
    ClusterOptions options;
    options.logFlags_ = { "--retention=3" };
    options.schedulerFlags_ = { "--config_snapshot_ms=200" };
    Cluster cluster(options);
    publishModel(cluster, 100000);
    waitUntil("the change is active", [&] { return versionAt(cluster, 0) == 2; });
    truncateConfigLog(cluster);
    std::string snapshots = cluster.url(*cluster.log_) + "/streams/config-snapshots?from=1";
    waitUntil("a snapshot covers the truncated entries", [&] {
        auto page = json::parse(cluster.client_.perform({ "GET", snapshots }).body_, nullptr, false);
        auto entries = page.value("entries", json::array());
        if (entries.empty())
            return false;
        return json::parse(entries.back()["data"].get<std::string>())["config_snapshot"]["read_to"] == 7;
    });
    // The VM is in another zone, so no peer can send it the configuration.
    cluster.startVm("zone-b-new", "zone-b");
    waitUntil("the new VM is ready", [&] { return isReady(cluster, 1); });
    CHECK(statusOf(cluster, 1)["config"] == statusOf(cluster, 0)["config"]);
}

void ConfigHandover::gapThatNoSnapshotCoversIsReported()
{
    ClusterOptions options;
    options.logFlags_ = { "--retention=3" };
    Cluster cluster(options);
    truncateConfigLog(cluster);
    cluster.startVm("zone-b-new", "zone-b");
    waitUntil("the gap is reported", [&] { return statusOf(cluster, 1)["config_standing"]["gap"] == true; });
    CHECK(!isReady(cluster, 1));
    CHECK(isReady(cluster, 0));
    // A peer that has the truncated configuration closes the gap.
    cluster.startVm("zone-a-new", "zone-a");
    waitUntil("the VM has the peer's configuration", [&] { return isReady(cluster, 2); });
    CHECK(statusOf(cluster, 2)["config"] == statusOf(cluster, 0)["config"]);
}
