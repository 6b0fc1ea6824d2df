// Engines release the cache of programs that have ended or are idle, and keep that of active programs.

#include "History.h"
#include "ProgramId.h"
#include "Suite.h"

#include <algorithm>
#include <csignal>

using namespace fescue::test;
using nlohmann::json;

class HeldMemory : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeldMemory);
    CPPUNIT_TEST(lostReleaseIsRetriedUntilConfirmed);
    CPPUNIT_TEST(releaseIsRetriedAtAnUnreachableEngine);
    CPPUNIT_TEST(idleProgramIsReleased);
    CPPUNIT_TEST(successorReleasesProgramsThatItsDeadOwnerEnded);
    CPPUNIT_TEST(idleProgramOfADeadOwnerIsReleased);
    CPPUNIT_TEST(previousOwnerDoesNotReleaseProgramsOfItsSuccessor);
    CPPUNIT_TEST_SUITE_END();

public:
    void lostReleaseIsRetriedUntilConfirmed();
    void releaseIsRetriedAtAnUnreachableEngine();
    void idleProgramIsReleased();
    void successorReleasesProgramsThatItsDeadOwnerEnded();
    void idleProgramOfADeadOwnerIsReleased();
    void previousOwnerDoesNotReleaseProgramsOfItsSuccessor();
};

REGISTER_SUITE(HeldMemory);

namespace {

constexpr const char* checkOften = "--cache_check_ms=100";
constexpr const char* checkNever = "--cache_check_ms=3600000";

ClusterOptions withFlags(std::size_t vms, std::vector<std::string> flags)
{
    ClusterOptions options;
    options.vmsPerZone_ = vms;
    options.schedulerFlags_ = std::move(flags);
    return options;
}

std::string createCachedProgram(Cluster& cluster, std::size_t vm)
{
    std::string program = cluster.createProgram(vm);
    CHECK_EQUAL(200, cluster.modelCall(vm, program, 1, conversation({ "Check the rent." })).status());
    return program;
}

void endProgram(Cluster& cluster, std::size_t vm, const std::string& program)
{
    waitUntil("the program is ended",
        [&] { return cluster.call(vm, "DELETE", "/v1/programs/" + program).status() == 200; });
}

bool isCached(Cluster& cluster, const std::string& program)
{
    auto keys = cluster.cachedKeys();
    return std::find(keys.begin(), keys.end(), program) != keys.end();
}

void waitUntilReleased(Cluster& cluster, const std::string& program)
{
    waitUntil("the program is evicted from the engines", [&] { return !isCached(cluster, program); });
}

void killScheduler(Cluster& cluster, std::size_t vm)
{
    cluster.entries_[vm].scheduler_->signalAndWait(SIGKILL);
    cluster.setVmState(cluster.entries_[vm], "");
}

} // namespace

void HeldMemory::lostReleaseIsRetriedUntilConfirmed()
{
    Cluster cluster(withFlags(1, { checkNever }));
    std::string program = createCachedProgram(cluster, 0);
    cluster.setFaults(*cluster.engines_[0], { { "lose_releases", 3 } });
    endProgram(cluster, 0, program);
    waitUntilReleased(cluster, program);
}

void HeldMemory::releaseIsRetriedAtAnUnreachableEngine()
{
    Cluster cluster(withFlags(1, { checkNever }));
    std::string program = createCachedProgram(cluster, 0);
    cluster.engines_[0]->pause();
    endProgram(cluster, 0, program);
    cluster.engines_[0]->signal(SIGCONT);
    waitUntilReleased(cluster, program);
}

void HeldMemory::idleProgramIsReleased()
{
    Cluster cluster(withFlags(1, { checkNever, "--idle_ms=300" }));
    waitUntilReleased(cluster, createCachedProgram(cluster, 0));
}

// All release requests of the owner are lost until it is killed; its successor finds the program in the
// engine's cache list.
void HeldMemory::successorReleasesProgramsThatItsDeadOwnerEnded()
{
    Cluster cluster(withFlags(2, { checkOften, "--flush_ms=0" }));
    waitUntilAllShardsOwned(cluster);
    std::string program = createCachedProgram(cluster, 0);
    std::string active = createCachedProgram(cluster, 1);
    cluster.setFaults(*cluster.engines_[0], { { "lose_releases", 1000000 } });
    endProgram(cluster, 0, program);
    std::size_t owner = 0;
    waitUntil("the end is recorded", [&] {
        owner = ownerOf(cluster, program);
        json rows = cluster.get(*cluster.entries_[owner].scheduler_, "/programs");
        return rows.dump().find(program) == std::string::npos;
    });
    killScheduler(cluster, owner);
    cluster.setFaults(*cluster.engines_[0], { { "lose_releases", 0 } });
    waitUntilReleased(cluster, program);
    CHECK(isCached(cluster, active));
}

void HeldMemory::idleProgramOfADeadOwnerIsReleased()
{
    Cluster cluster(withFlags(2, { checkOften, "--idle_ms=2000", "--flush_ms=0" }));
    waitUntilAllShardsOwned(cluster);
    std::string program = createCachedProgram(cluster, 0);
    killScheduler(cluster, ownerOf(cluster, program));
    waitUntilReleased(cluster, program);
}

// The previous owner sees a program in the engine's cache list that is in no record it has read.
void HeldMemory::previousOwnerDoesNotReleaseProgramsOfItsSuccessor()
{
    Cluster cluster(withFlags(2, { checkOften }));
    waitUntilAllShardsOwned(cluster);
    std::string program = createCachedProgram(cluster, 0);
    std::size_t owner = ownerOf(cluster, program);
    std::size_t other = 1 - owner;
    cluster.entries_[owner].scheduler_->pause();
    cluster.setVmState(cluster.entries_[owner], "");
    waitUntil("the successor serves the shard",
        [&] { return cluster.call(other, "GET", "/v1/programs/" + program).status() == 200; });
    std::string newer;
    waitUntil("a program is created in the same shard", [&] {
        newer = cluster.createProgram(other);
        return fescue::shardOf({ newer }) == fescue::shardOf({ program });
    });
    CHECK_EQUAL(200, cluster.modelCall(other, newer, 1, conversation({ "Ask the carrier." })).status());
    cluster.entries_[owner].scheduler_->signal(SIGCONT);
    waitUntil(
        "the previous owner knows that it was replaced", [&] { return ownerOf(cluster, program) == other; });
    CHECK(isCached(cluster, newer));
    CHECK(isCached(cluster, program));
    endProgram(cluster, other, newer);
    waitUntilReleased(cluster, newer);
    CHECK(isCached(cluster, program));
}
