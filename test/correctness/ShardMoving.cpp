// What a VM does with a request for a shard that is expected, or held, elsewhere.

#include "PeerState.h"
#include "ShardCare.h"
#include "ShardMoves.h"
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

MoveStanding standingFor(const VmId& expected)
{
    MoveStanding standing { self };
    standing.isZoneHeard_ = true;
    standing.expected_ = expected;
    return standing;
}

} // namespace

void ShardMoving::liveHolderGetsTheRequest()
{
    MoveStanding standing = standingFor(self);
    CHECK(moveStep(standing) == MoveStep::Serve);
    standing.holder_ = other;
    CHECK(moveStep(standing) == MoveStep::PassToHolder);
    standing.isOwned_ = true;
    CHECK(moveStep(standing) == MoveStep::Serve);
}

void ShardMoving::nothingIsClaimedBeforeTheZoneIsHeard()
{
    MoveStanding standing = standingFor(self);
    standing.isZoneHeard_ = false;
    CHECK(moveStep(standing) == MoveStep::Wait);
    standing.isOwned_ = true;
    CHECK(moveStep(standing) == MoveStep::Serve);
}

void ShardMoving::ownerLetsGoOnlyForTheExpectedOwner()
{
    MoveStanding standing = standingFor(other);
    standing.isOwned_ = true;
    CHECK(moveStep(standing) == MoveStep::LetGo);
    standing.expected_ = self;
    CHECK(moveStep(standing) == MoveStep::Serve);
}

void ShardMoving::onlyAForcedRequestTakesAShardFromItsHolder()
{
    MoveStanding standing = standingFor(other);
    standing.holder_ = other;
    standing.isForced_ = true;
    CHECK(moveStep(standing) == MoveStep::Serve);
    standing.isDraining_ = true;
    CHECK(moveStep(standing) == MoveStep::LetGo);
}

void ShardMoving::lastVmOfAZoneRefusesWhenItLeaves()
{
    MoveStanding standing = standingFor(self);
    standing.expected_ = std::nullopt;
    standing.isOwned_ = true;
    CHECK(moveStep(standing) == MoveStep::Serve);
    standing.isDraining_ = true;
    CHECK(moveStep(standing) == MoveStep::Refuse);
}

void ShardMoving::zoneIsHeardOnceEachPeerHasSpokenOrCannotBeReached()
{
    PeerTable table;
    CHECK(isZoneHeard(table, start));
    peersListed(table, { { other, { "z" } }, { { "vm2" }, { "z" } } }, start);
    CHECK(!isZoneHeard(table, start));
    peerHeard(table, { other, { "z" } }, start);
    CHECK(!isZoneHeard(table, start));
    peerBroken(table, { "vm2" }, start);
    CHECK(isZoneHeard(table, start));
}

void ShardMoving::shardThatNobodyHoldsIsTakenOverAfterAWhile()
{
    ShardStanding standing { self, { "z" }, { { self, { "z" } } }, { { 0 }, { 1 } }, { { 1 }, { 2 } } };
    Orphans orphans;
    ShardCareOrders orders = lookAfterShards(orphans, standing, false, start);
    CHECK_EQUAL(std::size_t { 1 }, orders.verify_.size());
    CHECK(orders.takeOver_.empty());
    orders = lookAfterShards(orphans, standing, true, start + Milliseconds { 5000 });
    CHECK_EQUAL(std::size_t { 2 }, orders.verify_.size());
    CHECK_EQUAL(std::size_t { shardsPerZone - 3 }, orders.takeOver_.size());
}
