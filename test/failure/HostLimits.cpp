// Guards against a process that ends or stands still, or whose event loop does not come back, when its host
// gives it fewer descriptors than its settings name, or a terminal that stops what writes from the
// background.

#include "HostLimits.h"
#include "EntryVmHarness.h"
#include "LoneVm.h"
#include "Suite.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <memory>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <termios.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace fescue;
using namespace fescue::test;

class HostLimits : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostLimits);
    CPPUNIT_TEST(vmServesAfterAWantOfDescriptors);
    CPPUNIT_TEST(vmIsNotStoppedInTheBackgroundOfATerminal);
    CPPUNIT_TEST_SUITE_END();

public:
    void vmServesAfterAWantOfDescriptors();
    void vmIsNotStoppedInTheBackgroundOfATerminal();
};

REGISTER_SUITE(HostLimits);

namespace {

// Leads a session on a terminal that stops what writes from the background, and starts a program there. Ends
// with status 1 when the program is stopped, and 0 when it ends.
[[noreturn]] void runInBackground(const char* terminal, const char* program, const char* settings)
{
    ::setsid();
    int output = ::open(terminal, O_RDWR);
    termios modes {};
    ::tcgetattr(output, &modes);
    modes.c_lflag |= TOSTOP;
    ::tcsetattr(output, TCSANOW, &modes);
    pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setpgid(0, 0);
        ::dup2(output, STDOUT_FILENO);
        ::execl(program, program, settings, nullptr);
        ::_exit(2);
    }
    int status = 0;
    ::waitpid(child, &status, WUNTRACED);
    ::_exit(WIFSTOPPED(status) ? 1 : 0);
}

} // namespace

void HostLimits::vmServesAfterAWantOfDescriptors()
{
    for (rlim_t room : { 0, 3, 20 }) {
        EntryVmHarness vms({ answering(10), answering(10) }, true, 2);
        pid_t process = vms.processId();
        CHECK(isServed(vms));
        limit(process, RLIMIT_NOFILE, descriptorsOf(process) + room);
        constexpr int callers = 60;
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (int i = 0; i < callers; ++i) {
            connections.push_back(std::make_unique<RawConnection>(vms.port()));
            connections.back()->send(post(1, "want-" + std::to_string(i)) + "b");
        }
        vms.runOnStore([&vms](standin::PlatformStore&) { vms.target(0).crash(); });
        checkIsCalm(process);
        CHECK(!vms.process().tryReap());
        limit(process, RLIMIT_NOFILE, 4096);
        connections.clear();
        vms.waitUntil("an ordinary request is served", [&vms] { return isServed(vms); });
        vms.waitUntil("the VM is ready", [&vms] { return vms.readinessStatus() == 200; });
    }
}

void HostLimits::vmIsNotStoppedInTheBackgroundOfATerminal()
{
    LoneVm vm(findFreeAddresses());
    const char* otherBuild = std::getenv("FESCUE_TEST_ENTRY");
    std::string program = programPath(otherBuild ? otherBuild : "fescue-entry");
    std::string settings = "--settings=" + vm.settingsFile();
    int terminal = ::posix_openpt(O_RDWR | O_NOCTTY);
    CHECK(terminal >= 0 && ::grantpt(terminal) == 0 && ::unlockpt(terminal) == 0);
    std::string name = ::ptsname(terminal);
    pid_t leader = ::fork();
    if (leader == 0)
        runInBackground(name.c_str(), program.c_str(), settings.c_str());
    // It logs its start at once.
    std::this_thread::sleep_for(wantTime);
    std::string log(4096, '\0');
    ssize_t size = ::read(terminal, log.data(), log.size());
    int status = 0;
    bool hasEnded = ::waitpid(leader, &status, WNOHANG) == leader;
    if (!hasEnded) {
        ::kill(leader, SIGKILL); // Its program ends with it.
        ::waitpid(leader, &status, 0);
    }
    ::close(terminal);
    CHECK(!hasEnded);
    CHECK(size > 0 && log.find("\"event\":\"start\"") != std::string::npos);
}
