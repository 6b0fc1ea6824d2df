// No engine memory stays held for programs that are gone, and none is taken from programs that live.

#include "History.h"
#include "ProgramId.h"
#include "Suite.h"

#include <algorithm>
#include <csignal>

using namespace fescue::test;
using nlohmann::json;

class HeldMemory : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeldMemory);
    CPPUNIT_TEST(lostOrderIsRepeatedUntilConfirmed);
    CPPUNIT_TEST(unreachableEngineIsAskedAgain);
    CPPUNIT_TEST(abandonedProgramIsFreed);
    CPPUNIT_TEST(ownerKilledBeforeTheReleaseLeavesNothing);
    CPPUNIT_TEST(idleProgramOfADeadOwnerIsFreed);
    CPPUNIT_TEST(newProgramsOfASuccessorAreNotFreedByAnOldOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    void lostOrderIsRepeatedUntilConfirmed();
    void unreachableEngineIsAskedAgain();
    void abandonedProgramIsFreed();
    void ownerKilledBeforeTheReleaseLeavesNothing();
    void idleProgramOfADeadOwnerIsFreed();
    void newProgramsOfASuccessorAreNotFreedByAnOldOwner();
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

std::string warmProgram(Cluster& cluster, std::size_t vm)
{
    std::string program = cluster.createProgram(vm);
    CHECK_EQUAL(200, cluster.modelCall(vm, program, 1, conversation({ "Check the rent." })).status());
    return program;
}

void end(Cluster& cluster, std::size_t vm, const std::string& program)
{
    waitUntil("the program is ended",
        [&] { return cluster.call(vm, "DELETE", "/v1/programs/" + program).status() == 200; });
}

bool isHeld(Cluster& cluster, const std::string& program)
{
    auto held = cluster.cachedKeys();
    return std::find(held.begin(), held.end(), program) != held.end();
}

void waitUntilFree(Cluster& cluster, const std::string& program)
{
    waitUntil("the engines hold nothing", [&] { return !isHeld(cluster, program); });
}

void kill(Cluster& cluster, std::size_t vm)
{
    cluster.entries_[vm].scheduler_->signalAndWait(SIGKILL);
    cluster.setVmState(cluster.entries_[vm], "");
}

} // namespace

void HeldMemory::lostOrderIsRepeatedUntilConfirmed()
{
    Cluster cluster(withFlags(1, { checkNever }));
    std::string program = warmProgram(cluster, 0);
    cluster.setFaults(*cluster.engines_[0], { { "lose_releases", 3 } });
    end(cluster, 0, program);
    waitUntilFree(cluster, program);
}

void HeldMemory::unreachableEngineIsAskedAgain()
{
    Cluster cluster(withFlags(1, { checkNever }));
    std::string program = warmProgram(cluster, 0);
    cluster.engines_[0]->signal(SIGSTOP);
    end(cluster, 0, program);
    cluster.engines_[0]->signal(SIGCONT);
    waitUntilFree(cluster, program);
}

void HeldMemory::abandonedProgramIsFreed()
{
    Cluster cluster(withFlags(1, { checkNever, "--idle_ms=300" }));
    waitUntilFree(cluster, warmProgram(cluster, 0));
}

// Every order of the owner is lost until it dies; its successor finds the program in the engine's list.
void HeldMemory::ownerKilledBeforeTheReleaseLeavesNothing()
{
    Cluster cluster(withFlags(2, { checkOften, "--flush_ms=0" }));
    waitUntilAllShardsOwned(cluster);
    std::string program = warmProgram(cluster, 0);
    std::string living = warmProgram(cluster, 1);
    cluster.setFaults(*cluster.engines_[0], { { "lose_releases", 1000000 } });
    end(cluster, 0, program);
    std::size_t owner = 0;
    waitUntil("the end is recorded", [&] {
        owner = ownerOf(cluster, program);
        json rows = cluster.get(*cluster.entries_[owner].scheduler_, "/programs");
        return rows.dump().find(program) == std::string::npos;
    });
    kill(cluster, owner);
    cluster.setFaults(*cluster.engines_[0], { { "lose_releases", 0 } });
    waitUntilFree(cluster, program);
    CHECK(isHeld(cluster, living));
}

void HeldMemory::idleProgramOfADeadOwnerIsFreed()
{
    Cluster cluster(withFlags(2, { checkOften, "--idle_ms=2000", "--flush_ms=0" }));
    waitUntilAllShardsOwned(cluster);
    std::string program = warmProgram(cluster, 0);
    kill(cluster, ownerOf(cluster, program));
    waitUntilFree(cluster, program);
}

// The old owner sees a program at the engine that is in no record it has read.
void HeldMemory::newProgramsOfASuccessorAreNotFreedByAnOldOwner()
{
    Cluster cluster(withFlags(2, { checkOften }));
    waitUntilAllShardsOwned(cluster);
    std::string program = warmProgram(cluster, 0);
    std::size_t owner = ownerOf(cluster, program);
    std::size_t other = 1 - owner;
    cluster.entries_[owner].scheduler_->signal(SIGSTOP);
    cluster.setVmState(cluster.entries_[owner], "");
    waitUntil("the successor serves the shard",
        [&] { return cluster.call(other, "GET", "/v1/programs/" + program).status() == 200; });
    std::string young;
    waitUntil("a program is created in the same shard", [&] {
        young = cluster.createProgram(other);
        return fescue::shardOf({ young }) == fescue::shardOf({ program });
    });
    CHECK_EQUAL(200, cluster.modelCall(other, young, 1, conversation({ "Ask the carrier." })).status());
    cluster.entries_[owner].scheduler_->signal(SIGCONT);
    waitUntil("the old owner knows that it is one", [&] { return ownerOf(cluster, program) == other; });
    CHECK(isHeld(cluster, young));
    CHECK(isHeld(cluster, program));
    end(cluster, other, young);
    waitUntilFree(cluster, young);
    CHECK(isHeld(cluster, program));
}
