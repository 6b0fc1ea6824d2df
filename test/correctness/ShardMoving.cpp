// What a VM does with a request for a shard that is expected, or held, elsewhere.

#include "PeerState.h"
#include "ShardMoves.h"
#include "ShardReconcile.h"
#include "Suite.h"

using namespace fescue;

class ShardMoving : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardMoving);
    CPPUNIT_TEST(liveHolderGetsTheRequest);
    CPPUNIT_TEST(nothingIsClaimedBeforeTheZoneIsHeard);
    CPPUNIT_TEST(ownerLetsGoOnlyForTheExpectedOwner);
    CPPUNIT_TEST(onlyAForcedRequestTakesAShardFromItsHolder);
    CPPUNIT_TEST(lastVmOfAZoneRefusesWhenItLeaves);
    CPPUNIT_TEST(zoneIsHeardOnceEachPeerHasSpokenOrCannotBeReached);
    CPPUNIT_TEST(shardThatNobodyHoldsIsTakenOverAfterAWhile);
    CPPUNIT_TEST_SUITE_END();

public:
    void liveHolderGetsTheRequest();
    void nothingIsClaimedBeforeTheZoneIsHeard();
    void ownerLetsGoOnlyForTheExpectedOwner();
    void onlyAForcedRequestTakesAShardFromItsHolder();
    void lastVmOfAZoneRefusesWhenItLeaves();
    void zoneIsHeardOnceEachPeerHasSpokenOrCannotBeReached();
    void shardThatNobodyHoldsIsTakenOverAfterAWhile();
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
    CHECK(chooseMoveAction(context) == MoveAction::PassToHolder);
    context.isOwned_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
}

void ShardMoving::nothingIsClaimedBeforeTheZoneIsHeard()
{
    MoveContext context = contextFor(self);
    context.hasPeerReports_ = false;
    CHECK(chooseMoveAction(context) == MoveAction::Wait);
    context.isOwned_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
}

void ShardMoving::ownerLetsGoOnlyForTheExpectedOwner()
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

void ShardMoving::lastVmOfAZoneRefusesWhenItLeaves()
{
    MoveContext context = contextFor(self);
    context.expectedOwner_ = std::nullopt;
    context.isOwned_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Serve);
    context.isDraining_ = true;
    CHECK(chooseMoveAction(context) == MoveAction::Refuse);
}

void ShardMoving::zoneIsHeardOnceEachPeerHasSpokenOrCannotBeReached()
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

void ShardMoving::shardThatNobodyHoldsIsTakenOverAfterAWhile()
{
    ZoneOwnership context { self, { "z" }, { { self, { "z" } } }, { { 0 }, { 1 } }, { { 1 }, { 2 } } };
    UnownedShards unowned;
    ReconcileActions actions = reconcileShards(unowned, context, false, start);
    CHECK_EQUAL(std::size_t { 1 }, actions.verify_.size());
    CHECK(actions.takeOver_.empty());
    actions = reconcileShards(unowned, context, true, start + Milliseconds { 5000 });
    CHECK_EQUAL(std::size_t { 2 }, actions.verify_.size());
    CHECK_EQUAL(std::size_t { shardsPerZone - 3 }, actions.takeOver_.size());
}
