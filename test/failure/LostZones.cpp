// Guards against streams that cannot go on anywhere once the availability zone in which they began is lost.

#include "StreamVersionSetup.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr int streamCount = 24;
const std::vector<std::string> threeVmsInEachOfTwoZones { "z", "z", "z", "y", "y", "y" };

// Begins streams at the first `vms` VMs in turn.
std::vector<std::string> beginAtFirst(StreamVersionSetup& setup, std::size_t vms)
{
    std::vector<std::string> begun;
    begun.reserve(streamCount);
    for (int i = 0; i < streamCount; ++i)
        begun.push_back(setup.begin(static_cast<std::size_t>(i) % vms));
    return begun;
}

void killFirst(StreamVersionSetup& setup, std::size_t vms)
{
    for (std::size_t vm = 0; vm < vms; ++vm)
        setup.vms_.process(vm).signal(SIGKILL);
    for (std::size_t vm = 0; vm < vms; ++vm)
        setup.vms_.process(vm).signalAndWait(SIGKILL);
}

// Resumes each stream at the VMs that are left, in turn. Returns how many went on.
int resumeAfterFirst(StreamVersionSetup& setup, const std::vector<std::string>& begun, std::size_t lost)
{
    int resumed = 0;
    for (std::size_t i = 0; i < begun.size(); ++i) {
        std::size_t vm = lost + i % (setup.vms_.vmCount() - lost);
        resumed += statusOf(setup.resume(vm, begun[i])) == 200 ? 1 : 0;
        CHECK(setup.hasOneVersion(begun[i]));
    }
    return resumed;
}

} // namespace

class LostZones : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LostZones);
    CPPUNIT_TEST(streamsOfALostZoneGoOnAtAnotherZone);
    CPPUNIT_TEST(streamsOfAZoneWithOneVmGoOnAfterItsLoss);
    CPPUNIT_TEST(streamsGoOnAtTheOnlyVmThatIsLeft);
    CPPUNIT_TEST_SUITE_END();

    // Kills the VMs before index `lost`, and checks that their streams go on at the others.
    static void loseFirst(const std::vector<std::string>& zones, std::size_t lost)
    {
        StreamVersionSetup setup(zones.size(), true, zones);
        std::vector<std::string> begun = beginAtFirst(setup, lost);
        setup.letOneOfEachVersionLeave();
        killFirst(setup, lost);
        CHECK_EQUAL(streamCount, resumeAfterFirst(setup, begun, lost));
    }

public:
    void streamsOfALostZoneGoOnAtAnotherZone() { loseFirst(threeVmsInEachOfTwoZones, 3); }

    // Such a VM has no peer in its own zone.
    void streamsOfAZoneWithOneVmGoOnAfterItsLoss() { loseFirst({ "z", "y", "y", "x", "x" }, 1); }

    // Any number of VMs may be lost at once, whatever their zones.
    void streamsGoOnAtTheOnlyVmThatIsLeft() { loseFirst(threeVmsInEachOfTwoZones, 5); }
};

REGISTER_SUITE(LostZones);
