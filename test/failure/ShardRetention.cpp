// A new owner restores a shard from its snapshot when the log has truncated older records. Runs separate
// processes.

#include "Cluster.h"
#include "Suite.h"

#include <csignal>

using namespace fescue::test;
using nlohmann::json;

class ShardRetention : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardRetention);
    CPPUNIT_TEST(nextOwnerContinuesFromTheSnapshotAfterLogTruncation);
    CPPUNIT_TEST_SUITE_END();

public:
    void nextOwnerContinuesFromTheSnapshotAfterLogTruncation();
};

REGISTER_SUITE(ShardRetention);

namespace {

std::string streamUrl(Cluster& cluster, const std::string& program)
{
    auto zoneEnd = program.find('.');
    auto shardEnd = program.find('.', zoneEnd + 1);
    return cluster.url(*cluster.log_) + "/streams/shard/" + program.substr(0, zoneEnd) + "/"
        + program.substr(zoneEnd + 1, shardEnd - zoneEnd - 1);
}

json newestRecords(Cluster& cluster, const std::string& program)
{
    std::string url = streamUrl(cluster, program) + "?from=1";
    json page = json::parse(cluster.client_.perform({ "GET", url }).body_, nullptr, false);
    return json::parse(page["entries"].back()["data"].get<std::string>())["records"];
}

bool hasRecordOfKind(Cluster& cluster, const std::string& program, const std::string& kind)
{
    for (const json& record : newestRecords(cluster, program)) {
        if (record["kind"] == kind)
            return true;
    }
    return false;
}

// Returns whether the newest entry has a snapshot that includes the program's first call.
bool hasSnapshotOfFirstCall(Cluster& cluster, const std::string& program)
{
    for (const json& record : newestRecords(cluster, program)) {
        if (record["kind"] != "snapshot")
            continue;
        json state = json::parse(record["state"].get<std::string>());
        return state["programs"][program].value("last_call", 0) == 1;
    }
    return false;
}

void replaceVm(Cluster& cluster, const std::string& name)
{
    cluster.entries_.back().scheduler_->signalAndWait(SIGKILL);
    cluster.entries_.back().gateway_->signalAndWait(SIGKILL);
    cluster.setVmState(cluster.entries_.back(), "");
    cluster.startVm(name, cluster.options_.zones_.front());
    std::string ready = cluster.url(*cluster.entries_.back().gateway_) + "/readyz";
    waitUntil(name + " is ready", [&] { return cluster.client_.perform({ "GET", ready }).status_ == 200; });
}

} // namespace

void ShardRetention::nextOwnerContinuesFromTheSnapshotAfterLogTruncation()
{
    ClusterOptions options;
    options.logFlags_ = { "--retention=3" };
    options.schedulerFlags_ = { "--config_snapshot_ms=200" };
    Cluster cluster(options);
    std::string program = cluster.createProgram(0);
    waitUntil("the first snapshot is written", [&] { return hasRecordOfKind(cluster, program, "snapshot"); });
    Answer paid = cluster.serviceCall(0, program, 1, "/payouts", "{}");
    CHECK_EQUAL(200, paid.status());
    waitUntil("the outcome is durable", [&] { return hasRecordOfKind(cluster, program, "finished"); });
    // The log retains the first snapshot, the intent and the outcome. The successor writes a snapshot that
    // includes them.
    replaceVm(cluster, "zone-a-second");
    CHECK_EQUAL(paid.http_.body_, cluster.serviceCall(1, program, 1, "/payouts", "{}").http_.body_);
    waitUntil("the snapshot is written", [&] { return hasSnapshotOfFirstCall(cluster, program); });
    replaceVm(cluster, "zone-a-third");
    CHECK_EQUAL(paid.http_.body_, cluster.serviceCall(2, program, 1, "/payouts", "{}").http_.body_);
    CHECK_EQUAL(200, cluster.serviceCall(2, program, 2, "/payouts", "{}").status());
    CHECK_EQUAL(1, cluster.executions(program, 1));
}
