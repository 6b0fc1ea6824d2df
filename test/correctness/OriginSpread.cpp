// Guards against copies of a stream's origin that are all lost with one availability zone, or that are held
// where no other VM looks for them.

#include "OriginHolders.h"
#include "Suite.h"

#include <algorithm>
#include <set>

using namespace fescue;

namespace {

constexpr MonotonicTime now { Milliseconds { 1000000 } };
constexpr int streams = 300;

VmId vmOf(std::size_t zone, std::size_t number)
{
    return { "vm-" + std::to_string(zone) + "-" + std::to_string(number) };
}

ZoneId zoneOf(std::size_t zone) { return { "zone-" + std::to_string(zone) }; }
AttemptId streamOf(int number) { return { "stream-" + std::to_string(number) }; }

// What the first VM of a zone knows of a system of equal zones.
PeerList viewFrom(std::size_t zone, std::size_t zones, std::size_t vmsOfZone)
{
    PeerList list;
    list.own_ = vmOf(zone, 0);
    for (std::size_t z = 0; z < zones; ++z) {
        for (std::size_t i = 0; i < vmsOfZone; ++i)
            list.peers_[vmOf(z, i)] = { vmOf(z, i), zoneOf(z), "", {} };
    }
    return list;
}

void setFailed(PeerList& list, const VmId& vm) { recordPeerOutcome(list, vm, false, now); }

std::set<VmId> vmsOf(const std::vector<PeerEntry>& peers)
{
    std::set<VmId> vms;
    for (const PeerEntry& peer : peers)
        vms.insert(peer.vm_);
    return vms;
}

std::set<VmId> holdersOf(const PeerList& list, std::size_t zone, int stream)
{
    return vmsOf(originHolders(list, zoneOf(zone), streamOf(stream), now));
}

// Whether a VM holds a copy itself or asks one that does.
bool finds(const PeerList& searcher, std::size_t zone, int stream, const std::set<VmId>& holders)
{
    std::set<VmId> known = vmsOf(originPeersToAsk(searcher, zoneOf(zone), streamOf(stream), now));
    known.insert(searcher.own_);
    return std::any_of(
        holders.begin(), holders.end(), [&known](const VmId& holder) { return known.count(holder) > 0; });
}

struct Size {
    std::size_t zones_;
    std::size_t vmsOfZone_;
};

// Those of the deployments, and the one that decides.
const std::vector<Size> sizes { { 2, 3 }, { 3, 1 }, { 3, 3 }, { 3, 28 }, { 5, 39 }, { 18, 20 } };

} // namespace

class OriginSpread : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OriginSpread);
    CPPUNIT_TEST(copiesOutliveTheLossOfTheZone);
    CPPUNIT_TEST(copiesOutliveTheLossOfTheZoneAndTheFirstVmOfEachOther);
    CPPUNIT_TEST(searchInTheOwnZoneFindsACopyThere);
    CPPUNIT_TEST(mostStreamsAreKnownToTheLastVmOfASmallSystem);
    CPPUNIT_TEST(vmOfASystemWithOneZoneCopiesToThatZone);
    CPPUNIT_TEST(copiesAndQuestionsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void copiesOutliveTheLossOfTheZone()
    {
        for (const Size& size : sizes) {
            PeerList origin = viewFrom(0, size.zones_, size.vmsOfZone_);
            for (std::size_t zone = 1; zone < size.zones_; ++zone) {
                PeerList searcher = viewFrom(zone, size.zones_, size.vmsOfZone_);
                for (std::size_t i = 0; i < size.vmsOfZone_; ++i)
                    setFailed(searcher, vmOf(0, i));
                for (int stream = 0; stream < streams; ++stream) {
                    std::set<VmId> left = holdersOf(origin, 0, stream);
                    for (std::size_t i = 0; i < size.vmsOfZone_; ++i)
                        left.erase(vmOf(0, i));
                    CHECK(finds(searcher, zone, stream, left));
                }
            }
        }
    }

    // A holder may be out of reach of the VM that began the stream only, so the two disagree on who ranks
    // first.
    void copiesOutliveTheLossOfTheZoneAndTheFirstVmOfEachOther()
    {
        constexpr Size size { 3, 3 };
        PeerList origin = viewFrom(0, size.zones_, size.vmsOfZone_);
        for (std::size_t zone = 1; zone < size.zones_; ++zone)
            setFailed(origin, vmOf(zone, 0));
        PeerList searcher = viewFrom(1, size.zones_, size.vmsOfZone_);
        for (int stream = 0; stream < streams; ++stream) {
            std::set<VmId> left = holdersOf(origin, 0, stream);
            for (std::size_t i = 0; i < size.vmsOfZone_; ++i)
                left.erase(vmOf(0, i));
            CHECK(finds(searcher, 1, stream, left));
        }
    }

    void searchInTheOwnZoneFindsACopyThere()
    {
        for (const Size& size : sizes) {
            PeerList origin = viewFrom(0, size.zones_, size.vmsOfZone_);
            for (int stream = 0; stream < streams && size.vmsOfZone_ > 1; ++stream) {
                std::set<VmId> holders = holdersOf(origin, 0, stream);
                std::size_t inZone = 0;
                for (std::size_t i = 0; i < size.vmsOfZone_; ++i)
                    inZone += holders.count(vmOf(0, i));
                CHECK_EQUAL(std::min<std::size_t>(2, size.vmsOfZone_ - 1), inZone);
            }
        }
    }

    // Nine of ten VMs are lost at once; under half of their streams would count as lost.
    void mostStreamsAreKnownToTheLastVmOfASmallSystem()
    {
        constexpr std::size_t zones = 3;
        PeerList origin = viewFrom(0, zones, 3);
        VmId tenth = vmOf(0, 3);
        origin.peers_[tenth] = { tenth, zoneOf(0), "", {} };
        for (const auto& [vm, peer] : origin.peers_) {
            int known = 0;
            for (int stream = 0; stream < streams; ++stream)
                known += static_cast<int>(holdersOf(origin, 0, stream).count(vm));
            CHECK(vm == origin.own_ || 2 * known > streams);
        }
    }

    void vmOfASystemWithOneZoneCopiesToThatZone()
    {
        PeerList origin = viewFrom(0, 1, 10);
        CHECK_EQUAL(std::size_t { 6 }, holdersOf(origin, 0, 1).size());
        CHECK(originHolders(viewFrom(0, 1, 1), zoneOf(0), streamOf(1), now).empty());
    }

    void copiesAndQuestionsAreBounded()
    {
        for (const Size& size : sizes) {
            PeerList list = viewFrom(0, size.zones_, size.vmsOfZone_);
            for (int stream = 0; stream < streams; ++stream) {
                std::vector<PeerEntry> holders = originHolders(list, zoneOf(0), streamOf(stream), now);
                std::vector<PeerEntry> asked = originPeersToAsk(list, zoneOf(0), streamOf(stream), now);
                CHECK(holders.size() <= 6 && vmsOf(holders).size() == holders.size());
                CHECK(asked.size() <= 12 && vmsOf(asked).size() == asked.size());
                CHECK(!vmsOf(holders).count(list.own_) && !vmsOf(asked).count(list.own_));
            }
        }
    }
};

REGISTER_SUITE(OriginSpread);
