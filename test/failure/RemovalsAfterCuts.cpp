// Guards against requests to a removed target from a VM that was cut off from the store: it waits whether the
// entry comes back, as it may after an outage of the store, and must not wait for longer than until it counts
// as sound again.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr Milliseconds cutFor { 4000 };
// From then on after a cut a VM has to follow the list as others do.
constexpr Milliseconds stableWindow { 3000 };
// VMs notice the end of a cut at different times, within a second.
constexpr std::size_t vmCount = 6;
constexpr Milliseconds betweenEnds { 150 };
// A VM has reached the store again, and entries that lapsed may still come back.
constexpr Milliseconds withinGracePeriod { 1400 };

TargetAction answer(const HttpHead& request, const std::string&)
{
    return { stampedResponse(request, "good") };
}

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

} // namespace

class RemovalsAfterCuts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RemovalsAfterCuts);
    CPPUNIT_TEST(targetRemovedDuringACutGetsNoRequestsOnceTheVmIsSound);
    CPPUNIT_TEST(targetThatIsMissingAfterAnOutageOfTheStoreIsKeptForAWhile);
    CPPUNIT_TEST_SUITE_END();

    static int requestsToFirstTarget(EntryVmHarness& vms, std::size_t vm)
    {
        constexpr int requests = 10;
        int before = vms.target(0).requests();
        for (int i = 0; i < requests; ++i)
            CHECK_EQUAL(
                200, statusOf(vms.requestAt(vm, "GET", "/read/" + std::to_string(i), requestHeaders)));
        return vms.target(0).requests() - before;
    }

public:
    void targetRemovedDuringACutGetsNoRequestsOnceTheVmIsSound()
    {
        EntryVmHarness vms({ answer, answer, answer }, true, vmCount);
        CHECK(requestsToFirstTarget(vms, 0) > 0);
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            vms.setStoreSilent(vm, true);
        sleepFor(cutFor);
        vms.announce(0, { "v1", false, false });
        std::vector<MonotonicTime> endedAt;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            vms.setStoreSilent(vm, false);
            endedAt.push_back(bootNow());
            sleepFor(betweenEnds);
        }
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            sleepFor(endedAt[vm] + stableWindow - bootNow());
            CHECK_EQUAL(0, requestsToFirstTarget(vms, vm));
        }
    }

    // Its entry may have lapsed meanwhile; it reports again soon.
    void targetThatIsMissingAfterAnOutageOfTheStoreIsKeptForAWhile()
    {
        EntryVmHarness vms({ answer, answer, answer });
        vms.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = true; });
        sleepFor(cutFor);
        vms.announce(0, { "v1", false, false });
        vms.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = false; });
        sleepFor(withinGracePeriod);
        CHECK(requestsToFirstTarget(vms, 0) > 0);
    }
};

REGISTER_SUITE(RemovalsAfterCuts);
