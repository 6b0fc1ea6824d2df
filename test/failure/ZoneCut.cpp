// One availability zone is partitioned from the platform's log and list of VMs; the other is not.

#include "History.h"
#include "Suite.h"

using namespace fescue::test;
using nlohmann::json;

class ZoneCut : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZoneCut);
    CPPUNIT_TEST(partitionedZoneServesModelCallsAndRefusesServiceCalls);
    CPPUNIT_TEST(zonesHaveTheSameConfigAfterThePartitionEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void partitionedZoneServesModelCallsAndRefusesServiceCalls();
    void zonesHaveTheSameConfigAfterThePartitionEnds();
};

REGISTER_SUITE(ZoneCut);

namespace {

ClusterOptions twoZones()
{
    ClusterOptions options;
    options.zones_ = { "zone-a", "zone-b" };
    options.vmsPerZone_ = 2;
    options.canPartitionZones_ = true;
    return options;
}

constexpr std::size_t vmOfA = 0;
constexpr std::size_t vmOfB = 2;

json configAt(Cluster& cluster, std::size_t vm)
{
    return cluster.get(*cluster.entries_[vm].scheduler_, "/status")["config"];
}

std::uint64_t versionAt(Cluster& cluster, std::size_t vm)
{
    return configAt(cluster, vm).value("version", std::uint64_t { 0 });
}

void publishLimit(Cluster& cluster, int limit)
{
    cluster.publish({ { "models/agent-llm", { { "context_limit", limit } } } });
}

} // namespace

void ZoneCut::partitionedZoneServesModelCallsAndRefusesServiceCalls()
{
    Cluster cluster(twoZones());
    waitUntilAllShardsOwned(cluster);
    std::string programOfB = cluster.createProgram(vmOfB);
    Answer first = cluster.modelCall(vmOfB, programOfB, 1, conversation({ "one" }));
    CHECK_EQUAL(200, first.status());
    std::string content = first.json()["choices"][0]["message"]["content"];
    CHECK_EQUAL(200, cluster.serviceCall(vmOfB, programOfB, 2, "/invoices", "{}").status());
    cluster.setZonePartitioned(1, true);

    auto messages = conversation({ "one", content, "two" });
    Answer turn = cluster.modelCall(vmOfB, programOfB, 3, messages);
    std::string detail = turn.http_.body_;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(detail, 200, turn.status());

    Answer permit = cluster.serviceCall(vmOfB, programOfB, 4, "/permits", "{}");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(permit.http_.body_, 503, permit.status());
    // This zone did not send the call, but without the log it cannot know whether a successor sent it.
    CHECK_EQUAL(std::string("not-run"), permit.json()["run_state"].get<std::string>());
    CHECK_EQUAL(std::string("outcome-unknown"), permit.json()["earlier_attempts"].get<std::string>());
    CHECK(!permit.header("retry-after").empty());
    CHECK_EQUAL(0, cluster.executions(programOfB, 4));

    // The other zone is unaffected, also for callers that reach it through a gateway of the partitioned zone.
    std::string programOfA = cluster.createProgram(vmOfA);
    CHECK_EQUAL(200, cluster.serviceCall(vmOfB, programOfA, 1, "/permits", "{}").status());
    CHECK_EQUAL(1, cluster.executions(programOfA, 1));

    cluster.setZonePartitioned(1, false);
    waitUntil("the refused call runs",
        [&] { return cluster.serviceCall(vmOfB, programOfB, 4, "/permits", "{}").status() == 200; });
    CHECK_EQUAL(1, cluster.executions(programOfB, 4));
    CHECK_EQUAL(1, cluster.executions(programOfB, 2));
}

void ZoneCut::zonesHaveTheSameConfigAfterThePartitionEnds()
{
    Cluster cluster(twoZones());
    waitUntilAllShardsOwned(cluster);
    publishLimit(cluster, 100000);
    for (std::size_t vm = 0; vm < 4; ++vm)
        waitUntil("the first change is active", [&] { return versionAt(cluster, vm) == 2; });
    cluster.setZonePartitioned(1, true);
    publishLimit(cluster, 200000);
    for (std::size_t vm : { 0U, 1U })
        waitUntil("the second change is active", [&] { return versionAt(cluster, vm) == 3; });
    // A VM that starts now has neither the configuration nor the list of peers, so it refuses requests.
    cluster.startVm("zone-b-new", "zone-b");
    CHECK_EQUAL(std::uint64_t { 2 }, versionAt(cluster, vmOfB));
    CHECK_EQUAL(std::uint64_t { 0 }, versionAt(cluster, 4));
    CHECK_EQUAL(503, cluster.call(4, "POST", "/v1/programs", "{}").status());
    cluster.setZonePartitioned(1, false);
    for (std::size_t vm : { 2U, 3U, 4U })
        waitUntil("both zones have the same configuration", [&] { return versionAt(cluster, vm) == 3; });
    for (std::size_t vm = 1; vm < 5; ++vm)
        CHECK(configAt(cluster, vm) == configAt(cluster, vmOfA));
}
