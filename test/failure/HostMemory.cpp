// Guards against a process that ends when its host gives it less memory than its settings name: an exception
// of a failed allocation leaves the event loop.

#include "EntryVmHarness.h"
#include "HostLimits.h"
#include "Suite.h"

#include <memory>
#include <vector>

using namespace fescue;
using namespace fescue::test;

class HostMemory : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostMemory);
    CPPUNIT_TEST(vmServesAfterAWantOfAddressSpace);
    CPPUNIT_TEST(vmServesAfterAWantOfData);
    CPPUNIT_TEST_SUITE_END();

public:
    void vmServesAfterAWantOfAddressSpace() { checkWantOfMemory(RLIMIT_AS, "VmSize"); }
    void vmServesAfterAWantOfData() { checkWantOfMemory(RLIMIT_DATA, "VmData"); }

private:
    static void checkWantOfMemory(__rlimit_resource resource, const char* use);
};

REGISTER_SUITE(HostMemory);

namespace {

constexpr std::size_t bodyBytes = std::size_t { 4 } * 1024 * 1024;

} // namespace

void HostMemory::checkWantOfMemory(__rlimit_resource resource, const char* use)
{
    constexpr std::int64_t bytesPerMb = std::int64_t { 1024 } * 1024;
    constexpr std::size_t callers = 8;
    // Below what is in use, all new memory is refused, whatever the process has kept back.
    for (std::int64_t room : { -30, -12, -4, 1, 10 }) {
        VmLimits limits;
        limits.memoryMb_ = 260;
        limits.maxBodyBytes_ = bodyBytes;
        EntryVmHarness vms({ answering(bodyBytes), answering(10) }, true, 1, limits);
        pid_t process = vms.processId();
        CHECK(isServed(vms));
        auto inUse = static_cast<std::int64_t>(statusBytes(process, use));
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (std::size_t i = 0; i < callers; ++i) {
            if (i == callers / 2)
                limit(process, resource, static_cast<rlim_t>(inUse + room * bytesPerMb));
            connections.push_back(std::make_unique<RawConnection>(vms.port()));
            connections.back()->send(post(bodyBytes, "want-" + std::to_string(i)));
            connections.back()->send(std::string(bodyBytes / 8, 'b'));
        }
        for (auto& connection : connections)
            connection->send(std::string(bodyBytes - bodyBytes / 8, 'b'));
        checkIsCalm(process);
        CHECK(!vms.process().tryReap());
        connections.clear();
        limit(process, resource, RLIM_INFINITY);
        vms.waitUntil("an ordinary request is served", [&vms] { return isServed(vms); });
        vms.waitUntil("the VM is ready", [&vms] { return vms.readinessStatus() == 200; });
        // It follows the store: a target that restarts is used under its new id.
        vms.runOnStore([&vms](standin::PlatformStore&) { vms.target(0).crash(); });
        int before = vms.target(0).requests();
        vms.waitUntil("the restarted target is used", [&vms, before] {
            isServed(vms);
            return vms.target(0).requests() > before;
        });
    }
}
