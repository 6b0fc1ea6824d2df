// How a VM routes a request for a shard that another VM holds or is expected to own.

#include "PeerState.h"
#include "ShardMoves.h"
#include "ShardReconcile.h"
#include "Suite.h"

using namespace fescue;

class ShardMoving : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardMoving);
    CPPUNIT_TEST(liveHolderGetsTheRequest);
    CPPUNIT_TEST(nothingIsClaimedBeforePeersHaveReported);
    CPPUNIT_TEST(ownerReleasesOnlyToTheExpectedOwner);
    CPPUNIT_TEST(onlyAForcedRequestTakesAShardFromItsHolder);
    CPPUNIT_TEST(lastVmOfAZoneRefusesWhileDraining);
    CPPUNIT_TEST(zoneIsKnownOnceEachPeerHasReportedOrIsUnreachable);
    CPPUNIT_TEST(shardWithoutHolderIsTakenOverAfterTheGracePeriod);
    CPPUNIT_TEST_SUITE_END();

public:
    void liveHolderGetsTheRequest();
    void nothingIsClaimedBeforePeersHaveReported();
    void ownerReleasesOnlyToTheExpectedOwner();
    void onlyAForcedRequestTakesAShardFromItsHolder();
    void lastVmOfAZoneRefusesWhileDraining();
    void zoneIsKnownOnceEachPeerHasReportedOrIsUnreachable();
    void shardWithoutHolderIsTakenOverAfterTheGracePeriod();
};

REGISTER_SUITE(ShardMoving);

namespace {

const VmId self { "vm0" };
const VmId other { "vm1" };
const MonotonicTime start { Milliseconds { 1000000 } };

MoveContext contextFor(const VmId& expected)
{
    MoveContext context { self };
    context.hasPeerReports_ = true;
    context.expectedOwner_ = expected;
    return context;
}

} // namespace

void ShardMoving::liveHolderGetsTheRequest()
{
    MoveContext context = contextFor(self);
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
    context.holder_ = other;
    CHECK(chooseMoveAction(context) == MoveAction::ForwardToHolder);
    context.isOwned_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
}

void ShardMoving::nothingIsClaimedBeforePeersHaveReported()
{
    MoveContext context = contextFor(self);
    context.hasPeerReports_ = false;
    CHECK(chooseMoveAction(context) == MoveAction::Wait);
    context.isOwned_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
}

void ShardMoving::ownerReleasesOnlyToTheExpectedOwner()
{
    MoveContext context = contextFor(other);
    context.isOwned_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Release);
    context.expectedOwner_ = self;
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
}

void ShardMoving::onlyAForcedRequestTakesAShardFromItsHolder()
{
    MoveContext context = contextFor(other);
    context.holder_ = other;
    context.isForced_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
    context.isDraining_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Release);
}

void ShardMoving::lastVmOfAZoneRefusesWhileDraining()
{
    MoveContext context = contextFor(self);
    context.expectedOwner_ = std::nullopt;
    context.isOwned_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
    context.isDraining_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Refuse);
}

void ShardMoving::zoneIsKnownOnceEachPeerHasReportedOrIsUnreachable()
{
    PeerTable table;
    CHECK(hasZoneReported(table, start));
    applyListedPeers(table, { { other, { "z" } }, { { "vm2" }, { "z" } } }, start);
    CHECK(!hasZoneReported(table, start));
    recordAnnouncement(table, { other, { "z" } }, start);
    CHECK(!hasZoneReported(table, start));
    recordDisconnect(table, { "vm2" }, start);
    CHECK(hasZoneReported(table, start));
}

void ShardMoving::shardWithoutHolderIsTakenOverAfterTheGracePeriod()
{
    ZoneOwnership ownership { self, { "z" }, { { self, { "z" } } }, { { 0 }, { 1 } }, { { 1 }, { 2 } } };
    UnownedShards unowned;
    ReconcileActions actions = reconcileShards(unowned, ownership, false, start);
    CHECK_EQUAL(std::size_t { 1 }, actions.verify_.size());
    CHECK(actions.takeOver_.empty());
    actions = reconcileShards(unowned, ownership, true, start + Milliseconds { 5000 });
    CHECK_EQUAL(std::size_t { 2 }, actions.verify_.size());
    CHECK_EQUAL(std::size_t { shardsPerZone - 3 }, actions.takeOver_.size());
}
