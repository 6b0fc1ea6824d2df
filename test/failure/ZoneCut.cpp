// One availability zone cut off from the platform's log and list while another is not.

#include "History.h"
#include "Suite.h"

using namespace fescue::test;
using nlohmann::json;

class ZoneCut : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZoneCut);
    CPPUNIT_TEST(cutZoneServesWhatItCanAndRefusesTheRest);
    CPPUNIT_TEST(bothSidesAgreeAfterHealing);
    CPPUNIT_TEST_SUITE_END();

public:
    void cutZoneServesWhatItCanAndRefusesTheRest();
    void bothSidesAgreeAfterHealing();
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

void ZoneCut::cutZoneServesWhatItCanAndRefusesTheRest()
{
    Cluster cluster(twoZones());
    waitUntilAllShardsOwned(cluster);
    std::string inB = cluster.createProgram(vmOfB);
    Answer first = cluster.modelCall(vmOfB, inB, 1, conversation({ "one" }));
    CHECK_EQUAL(200, first.status());
    std::string said = first.json()["choices"][0]["message"]["content"];
    CHECK_EQUAL(200, cluster.serviceCall(vmOfB, inB, 2, "/invoices", "{}").status());
    cluster.setZonePartitioned(1, true);

    auto messages = conversation({ "one", said, "two" });
    Answer turn = cluster.modelCall(vmOfB, inB, 3, messages);
    std::string detail = turn.http_.body_;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(detail, 200, turn.status());

    Answer permit = cluster.serviceCall(vmOfB, inB, 4, "/permits", "{}");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(permit.http_.body_, 503, permit.status());
    // The call was not sent from here, but without the log nobody here can know whether a successor sent it.
    CHECK_EQUAL(std::string("not-run"), permit.json()["run_state"].get<std::string>());
    CHECK_EQUAL(std::string("outcome-unknown"), permit.json()["earlier_attempts"].get<std::string>());
    CHECK(!permit.header("retry-after").empty());
    CHECK_EQUAL(0, cluster.executions(inB, 4));

    // The other zone is as before, also for callers that reach it through the cut zone's gateway.
    std::string inA = cluster.createProgram(vmOfA);
    CHECK_EQUAL(200, cluster.serviceCall(vmOfB, inA, 1, "/permits", "{}").status());
    CHECK_EQUAL(1, cluster.executions(inA, 1));

    cluster.setZonePartitioned(1, false);
    waitUntil("the refused call runs",
        [&] { return cluster.serviceCall(vmOfB, inB, 4, "/permits", "{}").status() == 200; });
    CHECK_EQUAL(1, cluster.executions(inB, 4));
    CHECK_EQUAL(1, cluster.executions(inB, 2));
}

void ZoneCut::bothSidesAgreeAfterHealing()
{
    Cluster cluster(twoZones());
    waitUntilAllShardsOwned(cluster);
    publishLimit(cluster, 100000);
    for (std::size_t vm = 0; vm < 4; ++vm)
        waitUntil("the first change is in force", [&] { return versionAt(cluster, vm) == 2; });
    cluster.setZonePartitioned(1, true);
    publishLimit(cluster, 200000);
    for (std::size_t vm : { 0U, 1U })
        waitUntil("the second change is in force", [&] { return versionAt(cluster, vm) == 3; });
    // Neither log nor list tell a VM that starts now of its peers: it takes no requests.
    cluster.startVm("zone-b-new", "zone-b");
    CHECK_EQUAL(std::uint64_t { 2 }, versionAt(cluster, vmOfB));
    CHECK_EQUAL(std::uint64_t { 0 }, versionAt(cluster, 4));
    CHECK_EQUAL(503, cluster.call(4, "POST", "/v1/programs", "{}").status());
    cluster.setZonePartitioned(1, false);
    for (std::size_t vm : { 2U, 3U, 4U })
        waitUntil("both sides agree", [&] { return versionAt(cluster, vm) == 3; });
    for (std::size_t vm = 1; vm < 5; ++vm)
        CHECK(configAt(cluster, vm) == configAt(cluster, vmOfA));
}
