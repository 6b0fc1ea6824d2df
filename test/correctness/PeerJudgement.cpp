// Failure detection among the VMs of a zone.

#include "PeerState.h"
#include "Suite.h"

using namespace fescue;

class PeerJudgement : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerJudgement);
    CPPUNIT_TEST(failedVmIsUnreachableWithinASecondAfterItsLinkCloses);
    CPPUNIT_TEST(silentVmIsUnreachableDespiteItsOpenLink);
    CPPUNIT_TEST(singleBrokenLinkDoesNotMakeViewsDiverge);
    CPPUNIT_TEST(simultaneouslyFailedVmsAreUnreachable);
    CPPUNIT_TEST(flappingVmStaysUnreachableUntilItHasRecovered);
    CPPUNIT_TEST(announcementsCorrectALaggingList);
    CPPUNIT_TEST_SUITE_END();

public:
    void failedVmIsUnreachableWithinASecondAfterItsLinkCloses();
    void silentVmIsUnreachableDespiteItsOpenLink();
    void singleBrokenLinkDoesNotMakeViewsDiverge();
    void simultaneouslyFailedVmsAreUnreachable();
    void flappingVmStaysUnreachableUntilItHasRecovered();
    void announcementsCorrectALaggingList();
};

REGISTER_SUITE(PeerJudgement);

namespace {

constexpr Milliseconds step { 100 };

// Simulates a zone of VMs, each with its own table. `brokenLinks_` are pairs without a link in either
// direction, `failed_` are VMs that do not run.
struct Zone {
    std::vector<VmId> vms_;
    std::map<VmId, PeerTable> tables_;
    std::set<std::pair<VmId, VmId>> brokenLinks_;
    std::set<VmId> failed_;
    MonotonicTime now_ { Milliseconds { 1000000 } };
    std::map<VmId, int> changes_;

    explicit Zone(int count)
    {
        for (int i = 0; i < count; ++i)
            vms_.push_back({ "vm" + std::to_string(i) });
        run(Milliseconds { 3000 });
        changes_.clear();
    }

    bool isLinkBroken(const VmId& a, const VmId& b) const
    {
        return failed_.count(a) || failed_.count(b) || brokenLinks_.count({ a, b })
            || brokenLinks_.count({ b, a });
    }

    void exchange(const VmId& from, const VmId& to)
    {
        if (isLinkBroken(from, to)) {
            recordDisconnect(tables_[to], from, now_);
            return;
        }
        PeerFrame announcement { from, { "z" }, from.value_ + ":1" };
        announcement.unreachableVms_ = unreachablePeers(tables_[from], now_);
        recordAnnouncement(tables_[to], announcement, now_);
    }

    void run(Milliseconds time)
    {
        for (auto end = now_ + time; now_ < end; now_ += step) {
            for (const VmId& from : vms_) {
                for (const VmId& to : vms_) {
                    if (from != to && !failed_.count(to))
                        exchange(from, to);
                }
            }
            for (const VmId& vm : vms_)
                changes_[vm] += !failed_.count(vm) && updateReachability(tables_[vm], now_) ? 1 : 0;
        }
    }

    bool isUnreachableFor(int viewer, int vm)
    {
        return tables_[vms_[viewer]].peers_[vms_[vm]].isUnreachable_;
    }
};

} // namespace

void PeerJudgement::failedVmIsUnreachableWithinASecondAfterItsLinkCloses()
{
    Zone zone(4);
    zone.failed_ = { zone.vms_[3] };
    zone.run(Milliseconds { 1000 });
    for (int viewer : { 0, 1, 2 }) {
        CHECK(zone.isUnreachableFor(viewer, 3));
        CHECK_EQUAL(1, zone.changes_[zone.vms_[viewer]]);
    }
}

void PeerJudgement::silentVmIsUnreachableDespiteItsOpenLink()
{
    PeerTable table;
    MonotonicTime now { Milliseconds { 1000000 } };
    recordAnnouncement(table, { { "vm1" }, { "z" } }, now);
    updateReachability(table, now + Milliseconds { 2000 });
    CHECK(!table.peers_[{ "vm1" }].isUnreachable_);
    CHECK(updateReachability(table, now + Milliseconds { 3100 }));
    CHECK(table.peers_[{ "vm1" }].isUnreachable_);
}

void PeerJudgement::singleBrokenLinkDoesNotMakeViewsDiverge()
{
    Zone zone(4);
    zone.brokenLinks_ = { { zone.vms_[0], zone.vms_[1] } };
    zone.run(Milliseconds { 20000 });
    for (int viewer : { 0, 1, 2, 3 })
        CHECK_EQUAL(0, zone.changes_[zone.vms_[viewer]]);
}

void PeerJudgement::simultaneouslyFailedVmsAreUnreachable()
{
    Zone zone(8);
    zone.failed_ = { zone.vms_[3], zone.vms_[4], zone.vms_[5], zone.vms_[6], zone.vms_[7] };
    zone.run(Milliseconds { 1000 });
    for (int viewer : { 0, 1, 2 }) {
        for (int vm : { 3, 4, 5, 6, 7 })
            CHECK(zone.isUnreachableFor(viewer, vm));
        CHECK(!zone.isUnreachableFor(viewer, viewer == 0 ? 1 : 0));
    }
}

void PeerJudgement::flappingVmStaysUnreachableUntilItHasRecovered()
{
    Zone zone(3);
    for (int i = 0; i < 10; ++i) {
        zone.failed_ = { zone.vms_[2] };
        zone.run(Milliseconds { 1000 });
        zone.failed_ = {};
        zone.run(Milliseconds { 1000 });
    }
    CHECK_EQUAL(1, zone.changes_[zone.vms_[0]]);
    CHECK(zone.isUnreachableFor(0, 2));
    zone.run(Milliseconds { 1500 });
    CHECK(!zone.isUnreachableFor(0, 2));
}

void PeerJudgement::announcementsCorrectALaggingList()
{
    Zone zone(3);
    PeerTable& table = zone.tables_[zone.vms_[0]];
    Members listed { { { "vm1" }, { "z" }, "old:1" }, { { "vm9" }, { "other" }, "o:9" } };
    applyListedPeers(table, { listed[0] }, zone.now_);
    PeerFrame leaving { { "vm1" }, { "z" }, "new:1", true };
    recordAnnouncement(table, leaving, zone.now_);
    Members members = correctedMembers(table, { "z" }, listed);
    CHECK_EQUAL(std::size_t { 3 }, members.size());
    CHECK_EQUAL(std::string("new:1"), members[0].address_);
    CHECK(members[0].isLeaving_);
    CHECK_EQUAL(std::string("vm9"), members[1].vm_.value_);
    CHECK_EQUAL(std::string("vm2"), members[2].vm_.value_);
}
