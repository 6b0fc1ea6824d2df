// Guards against a VM that takes crashed targets or a cut between zones for the loss of its own links, and
// against peers that are all asked by the same VMs.

#include "LinkHealth.h"
#include "RelayPeers.h"
#include "Suite.h"

using namespace fescue;

namespace {

MonotonicTime at(std::int64_t ms) { return MonotonicTime(Milliseconds { 100000 + ms }); }

LinkHealth healthOf(std::size_t own, std::size_t others)
{
    LinkHealth health;
    health.zone_ = { "a" };
    for (std::size_t i = 0; i < own; ++i)
        health.targets_[{ "own-" + std::to_string(i) }] = { "a" };
    for (std::size_t i = 0; i < others; ++i)
        health.targets_[{ "other-" + std::to_string(i) }] = { "b" };
    return health;
}

PeerList peersIn(std::size_t own, std::size_t others)
{
    PeerList list;
    list.own_ = { "a-0" };
    for (std::size_t i = 0; i < own; ++i) {
        VmId vm { "a-" + std::to_string(i) };
        list.peers_[vm] = { vm, { "a" }, "127.0.0.1:1", { "w" } };
    }
    for (std::size_t i = 0; i < others; ++i) {
        VmId vm { "b-" + std::to_string(i) };
        list.peers_[vm] = { vm, { "b" }, "127.0.0.1:1", { "w" } };
    }
    return list;
}

} // namespace

class LinkBeliefs : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LinkBeliefs);
    CPPUNIT_TEST(severalTargetsOfTheOwnZoneAreNeeded);
    CPPUNIT_TEST(cutBetweenZonesIsNoLossOfLinks);
    CPPUNIT_TEST(connectionEndsTheBelief);
    CPPUNIT_TEST(oldFailuresDoNotCount);
    CPPUNIT_TEST(vmWithFewTargetsNeedsAllOfThem);
    CPPUNIT_TEST(relaysAreOfTheOwnZoneWhileEnoughOfItCanRelay);
    CPPUNIT_TEST(requestsSpreadOverTheRelays);
    CPPUNIT_TEST_SUITE_END();

    Random random_ { 1 };

public:
    void severalTargetsOfTheOwnZoneAreNeeded()
    {
        LinkHealth health = healthOf(5, 10);
        CHECK(!recordLinkFailure(health, { "own-0" }, at(0)));
        CHECK(!recordLinkFailure(health, { "own-0" }, at(10)));
        CHECK(!recordLinkFailure(health, { "own-1" }, at(20)));
        CHECK(recordLinkFailure(health, { "own-2" }, at(30)));
        CHECK(!recordLinkFailure(health, { "own-3" }, at(40)));
        CHECK(health.isStranded_);
    }

    void cutBetweenZonesIsNoLossOfLinks()
    {
        LinkHealth health = healthOf(5, 10);
        for (int i = 0; i < 10; ++i)
            CHECK(!recordLinkFailure(health, { "other-" + std::to_string(i) }, at(i)));
    }

    void connectionEndsTheBelief()
    {
        LinkHealth health = healthOf(3, 0);
        for (int i = 0; i < 3; ++i)
            recordLinkFailure(health, { "own-" + std::to_string(i) }, at(i));
        CHECK(recordLink(health, at(100)));
        CHECK(!health.isStranded_);
        CHECK(!recordLink(health, at(110)));
        CHECK(!recordLinkFailure(health, { "own-0" }, at(120)));
    }

    void oldFailuresDoNotCount()
    {
        LinkHealth health = healthOf(5, 0);
        recordLinkFailure(health, { "own-0" }, at(0));
        recordLinkFailure(health, { "own-1" }, at(1000));
        CHECK(!recordLinkFailure(health, { "own-2" }, at(2500)));
    }

    void vmWithFewTargetsNeedsAllOfThem()
    {
        LinkHealth health = healthOf(2, 0);
        CHECK(!recordLinkFailure(health, { "own-0" }, at(0)));
        CHECK(recordLinkFailure(health, { "own-1" }, at(1)));
        LinkHealth none = healthOf(0, 0);
        CHECK(!recordLinkFailure(none, { "gone" }, at(0)));
    }

    void relaysAreOfTheOwnZoneWhileEnoughOfItCanRelay()
    {
        PeerList list = peersIn(6, 6);
        RelayPeers relays;
        for (int i = 0; i < 50; ++i)
            CHECK(chooseRelay(relays, list, { "a" }, {}, at(0), random_)->zone_ == ZoneId { "a" });
        for (int vm = 1; vm < 5; ++vm)
            recordRelayUnavailable(relays, { "a-" + std::to_string(vm) }, at(0));
        int ofOther = 0;
        for (int i = 0; i < 50; ++i)
            ofOther
                += chooseRelay(relays, list, { "a" }, {}, at(0), random_)->zone_ == ZoneId { "b" } ? 1 : 0;
        CHECK(ofOther > 25);
        // They may relay again later.
        CHECK(chooseRelay(relays, list, { "a" }, {}, at(5000), random_)->zone_ == ZoneId { "a" });
    }

    void requestsSpreadOverTheRelays()
    {
        PeerList list = peersIn(5, 0);
        RelayPeers relays;
        for (int i = 0; i < 400; ++i)
            ++relays[chooseRelay(relays, list, { "a" }, {}, at(0), random_)->vm_].inFlight_;
        CHECK_EQUAL(std::size_t { 4 }, relays.size());
        for (const auto& [vm, relay] : relays)
            CHECK(relay.inFlight_ > 80 && relay.inFlight_ < 120);
        std::set<VmId> all { { "a-1" }, { "a-2" }, { "a-3" }, { "a-4" } };
        CHECK(!chooseRelay(relays, list, { "a" }, all, at(0), random_));
    }
};

REGISTER_SUITE(LinkBeliefs);
