// A VM's process does not end because of a condition at its start that passes by itself.

#include "LoneVm.h"
#include "RawConnection.h"
#include "Suite.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace fescue::test;

class VmStarts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(VmStarts);
    CPPUNIT_TEST(vmsOfOneHostStartWithTheSamePorts);
    CPPUNIT_TEST(startWaitsForThePortOfCallers);
    CPPUNIT_TEST(startWaitsForThePortOfReadiness);
    CPPUNIT_TEST(startWaitsForThePortOfOtherVms);
    CPPUNIT_TEST(vmServesWhileItsPortOfMetricsIsInUse);
    CPPUNIT_TEST(startWaitsForItsPredecessorToDrain);
    CPPUNIT_TEST(startThatWaitsForAPortEndsAtSigterm);
    CPPUNIT_TEST(vmThatDrainsTakesNoAddress);
    CPPUNIT_TEST(stopSignalsWhileTheProcessEndsAreIgnored);
    CPPUNIT_TEST(startWaitsForAnAddressThatIsNotAssigned);
    CPPUNIT_TEST(startWaitsForDescriptors);
    CPPUNIT_TEST(hangupBeforeTheVmServesIsNoEnd);
    CPPUNIT_TEST(startWaitsForSettingsThatAreEmpty);
    CPPUNIT_TEST(startWaitsForSettingsThatAreCutBetweenLines);
    CPPUNIT_TEST(startWaitsForSettingsThatAreCutInANumber);
    CPPUNIT_TEST(startWaitsForSettingsThatAreMissing);
    CPPUNIT_TEST(reloadWaitsForSettingsThatAreCut);
    CPPUNIT_TEST(closedStandardStreamsAreNotUsedForSockets);
    CPPUNIT_TEST_SUITE_END();

public:
    void vmsOfOneHostStartWithTheSamePorts();
    void startWaitsForThePortOfCallers();
    void startWaitsForThePortOfReadiness();
    void startWaitsForThePortOfOtherVms();
    void vmServesWhileItsPortOfMetricsIsInUse();
    void startWaitsForItsPredecessorToDrain();
    void startThatWaitsForAPortEndsAtSigterm();
    void vmThatDrainsTakesNoAddress();
    void stopSignalsWhileTheProcessEndsAreIgnored();
    void startWaitsForAnAddressThatIsNotAssigned();
    void startWaitsForDescriptors();
    void hangupBeforeTheVmServesIsNoEnd();
    void startWaitsForSettingsThatAreEmpty();
    void startWaitsForSettingsThatAreCutBetweenLines();
    void startWaitsForSettingsThatAreCutInANumber();
    void startWaitsForSettingsThatAreMissing();
    void reloadWaitsForSettingsThatAreCut();
    void closedStandardStreamsAreNotUsedForSockets();
};

REGISTER_SUITE(VmStarts);

namespace {

constexpr std::chrono::milliseconds conditionTime { 300 };

void checkServes(LoneVm& vm)
{
    bool isServing = vm.waitUntilServing();
    CPPUNIT_ASSERT_MESSAGE(vm.log(), isServing);
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.isRunning());
}

// Another program that listens on a port.
class Listener {
public:
    explicit Listener(int port)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CHECK_EQUAL(0, ::bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address));
        CHECK_EQUAL(0, ::listen(socket_, 1));
    }
    ~Listener() { ::close(socket_); }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

private:
    int socket_;
};

void checkWaitsForPort(int VmAddresses::*port)
{
    VmAddresses addresses = findFreeAddresses();
    LoneVm vm(addresses);
    {
        Listener listener(addresses.*port);
        vm.start();
        CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitForLog(R"("event":"listen-waiting")"));
        std::this_thread::sleep_for(conditionTime);
        CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.isRunning());
    }
    checkServes(vm);
    CHECK(vm.waitForLog(R"("event":"listening")"));
    RawConnection connection(addresses.*port);
    CHECK(connection.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    CHECK(connection.readAll().rfind("HTTP/1.1 ", 0) == 0);
}

// Starts a VM while its settings file has `text`, which is completed a little later.
void checkWaitsForSettings(const std::string& text)
{
    LoneVm vm(findFreeAddresses());
    vm.writeSettings(text);
    vm.start();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    vm.writeSettings(vm.settings());
    checkServes(vm);
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.log().find(R"("partitions":"12")") != std::string::npos);
}

std::string cutAfter(const std::string& text, const std::string& part)
{
    return text.substr(0, text.find(part) + part.size());
}

std::string descriptorTarget(pid_t process, int descriptor)
{
    std::array<char, 256> target {};
    ssize_t size = ::readlink(
        fmt::format("/proc/{}/fd/{}", process, descriptor).c_str(), target.data(), target.size());
    return { target.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)) };
}

} // namespace

// Guards against an exit with status 2 of all VMs of a host but one: the metrics were bound on all addresses.
void VmStarts::vmsOfOneHostStartWithTheSamePorts()
{
    VmAddresses addresses = findFreeAddresses();
    addresses.host_ = "127.0.0.2";
    LoneVm first(addresses);
    addresses.host_ = "127.0.0.3";
    LoneVm second(addresses);
    first.start();
    checkServes(first);
    second.start();
    checkServes(second);
    RawConnection metrics(addresses.metricsPort_, 0, addresses.host_);
    metrics.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(metrics.readAll().find("fescue_config_version") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(second.log(), second.log().find("listen-waiting") == std::string::npos);
}

// Guards against an exit with status 2 when the port of callers is in use for a moment.
void VmStarts::startWaitsForThePortOfCallers() { checkWaitsForPort(&VmAddresses::callerPort_); }

// Guards against an exit with status 2 when the port of readiness is in use for a moment.
void VmStarts::startWaitsForThePortOfReadiness() { checkWaitsForPort(&VmAddresses::readyPort_); }

// Guards against an exit with status 2 when the port of other VMs is in use for a moment.
void VmStarts::startWaitsForThePortOfOtherVms() { checkWaitsForPort(&VmAddresses::peerPort_); }

// Guards against an exit with status 2 for the port of metrics, which no caller needs.
void VmStarts::vmServesWhileItsPortOfMetricsIsInUse()
{
    VmAddresses addresses = findFreeAddresses();
    LoneVm vm(addresses);
    Listener listener(addresses.metricsPort_);
    vm.start();
    checkServes(vm);
}

// Guards against exits with status 2 until a predecessor at the same addresses has ended its drain.
void VmStarts::startWaitsForItsPredecessorToDrain()
{
    VmAddresses addresses = findFreeAddresses();
    LoneVm predecessor(addresses);
    predecessor.start();
    checkServes(predecessor);
    predecessor.process().signal(SIGTERM);
    CHECK(predecessor.waitForLog(R"("event":"drain")"));
    LoneVm successor(addresses);
    successor.start();
    CHECK(predecessor.waitForEnd());
    CPPUNIT_ASSERT_MESSAGE(successor.log(), successor.isRunning());
    checkServes(successor);
}

// Guards against a process that waits for its ports and has to be killed.
void VmStarts::startThatWaitsForAPortEndsAtSigterm()
{
    VmAddresses addresses = findFreeAddresses();
    LoneVm vm(addresses);
    Listener listener(addresses.callerPort_);
    vm.start();
    CHECK(vm.waitForLog(R"("event":"listen-waiting")"));
    vm.process().signal(SIGTERM);
    CHECK(vm.waitForEnd());
    CHECK(vm.log().find(R"("event":"stop")") != std::string::npos);
}

// Guards against a VM that is told to stop while it waits for an address, and takes it from its successor.
void VmStarts::vmThatDrainsTakesNoAddress()
{
    for (int VmAddresses::*port :
        { &VmAddresses::callerPort_, &VmAddresses::readyPort_, &VmAddresses::peerPort_ }) {
        VmAddresses addresses = findFreeAddresses();
        LoneVm vm(addresses);
        {
            Listener listener(addresses.*port);
            vm.start();
            CHECK(vm.waitForLog(R"("event":"listen-waiting")"));
            vm.process().signal(SIGTERM);
            CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitForLog(R"("event":"drain")"));
        }
        std::this_thread::sleep_for(conditionTime);
        CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.isRunning());
        Listener successor(addresses.*port);
    }
}

// Guards against an end by a second SIGTERM, whose handler goes with the event loop.
void VmStarts::stopSignalsWhileTheProcessEndsAreIgnored()
{
    constexpr std::size_t vmCount = 8; // The time in question is short, so not each of them meets a signal.
    std::deque<LoneVm> vms;
    for (std::size_t i = 0; i < vmCount; ++i)
        vms.emplace_back(findFreeAddresses()).start();
    for (LoneVm& vm : vms)
        checkServes(vm);
    for (std::size_t ended = 0; ended < vmCount;) {
        ended = 0;
        for (LoneVm& vm : vms) {
            vm.process().signal(SIGTERM);
            siginfo_t end {};
            CHECK_EQUAL(0, ::waitid(P_PID, vm.process().id(), &end, WEXITED | WNOHANG | WNOWAIT));
            if (end.si_pid == 0)
                continue;
            CHECK_EQUAL(int { CLD_EXITED }, end.si_code);
            CHECK_EQUAL(0, end.si_status);
            ++ended;
        }
    }
}

// Guards against an exit with status 2 when the host has not assigned the VM's address yet.
void VmStarts::startWaitsForAnAddressThatIsNotAssigned()
{
    VmAddresses addresses = findFreeAddresses();
    LoneVm vm(addresses);
    std::string own = fmt::format("{}:{}", addresses.host_, addresses.callerPort_);
    std::string settings = vm.settings();
    // Reserved for documentation, so no host has it.
    settings.replace(settings.find(own), own.size(), fmt::format("192.0.2.1:{}", addresses.callerPort_));
    vm.writeSettings(settings);
    vm.start();
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitForLog(R"("event":"listen-waiting")"));
    std::this_thread::sleep_for(conditionTime);
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.isRunning());
    CHECK_EQUAL(0, vm.process().signalAndWait(SIGTERM));
}

// Guards against a start that ends because the host has no descriptor to give for a moment. The limit of the
// process stands for that of the host.
void VmStarts::startWaitsForDescriptors()
{
    constexpr rlim_t ordinary = 1024;
    LoneVm vm(findFreeAddresses());
    vm.start({}, "ulimit -S -n 6");
    std::this_thread::sleep_for(conditionTime);
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.isRunning());
    rlimit limit {};
    CHECK_EQUAL(0, ::prlimit(vm.process().id(), RLIMIT_NOFILE, nullptr, &limit));
    limit.rlim_cur = std::min(ordinary, limit.rlim_max);
    CHECK_EQUAL(0, ::prlimit(vm.process().id(), RLIMIT_NOFILE, &limit, nullptr));
    checkServes(vm);
}

// Guards against an end by SIGHUP before the handlers of signals are registered.
void VmStarts::hangupBeforeTheVmServesIsNoEnd()
{
    LoneVm vm(findFreeAddresses());
    // The start blocks in the middle until somebody writes the settings.
    std::signal(SIGPIPE, SIG_IGN);
    CHECK_EQUAL(0, ::unlink(vm.settingsFile().c_str()));
    CHECK_EQUAL(0, ::mkfifo(vm.settingsFile().c_str(), 0600));
    vm.start();
    bool isFirst = true;
    for (int tries = 0; tries < 2000; ++tries) {
        int writer = ::open(vm.settingsFile().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        if (writer >= 0) {
            if (std::exchange(isFirst, false))
                vm.process().signal(SIGHUP);
            // The reader may have just closed it; it opens it again then.
            ssize_t ignored = ::write(writer, vm.settings().data(), vm.settings().size());
            static_cast<void>(ignored);
            ::close(writer);
        }
        if (!vm.isRunning() || vm.log().find(R"("event":"reload")") != std::string::npos)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    checkServes(vm);
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitForLog(R"("event":"reload","outcome":"taken")"));
}

// Guards against an exit with status 2 when a start meets a settings file that is being replaced.
void VmStarts::startWaitsForSettingsThatAreEmpty() { checkWaitsForSettings(""); }

// Guards against the same, for a file of which the first lines are there.
void VmStarts::startWaitsForSettingsThatAreCutBetweenLines()
{
    checkWaitsForSettings(cutAfter(settingsText(findFreeAddresses()), "zone: z\n"));
}

// Guards against a VM that takes a half-written number for the whole one.
void VmStarts::startWaitsForSettingsThatAreCutInANumber()
{
    using Clock = std::chrono::steady_clock;
    constexpr std::chrono::milliseconds maxCutTime { 150 };
    constexpr int maxTries = 50;
    for (int i = 0; i < maxTries; ++i) {
        LoneVm vm(findFreeAddresses());
        vm.writeSettings(cutAfter(vm.settings(), "parts: 1"));
        auto begin = Clock::now();
        vm.start();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        vm.writeSettings(vm.settings());
        // On a busy machine this test itself may be late, and a file that stays cut is taken.
        if (Clock::now() > begin + maxCutTime)
            continue;
        checkServes(vm);
        CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.log().find(R"("partitions":"12")") != std::string::npos);
        return;
    }
    CPPUNIT_FAIL("the machine is too busy to complete the file in time");
}

// Guards against an exit with status 2 when the settings file comes a little later than the process.
void VmStarts::startWaitsForSettingsThatAreMissing()
{
    LoneVm vm(findFreeAddresses());
    CHECK_EQUAL(0, ::unlink(vm.settingsFile().c_str()));
    vm.start();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    vm.writeSettings(vm.settings());
    checkServes(vm);
}

// Guards against a reload that is lost since the file was still being written when the signal came.
void VmStarts::reloadWaitsForSettingsThatAreCut()
{
    LoneVm vm(findFreeAddresses());
    vm.start();
    checkServes(vm);
    vm.writeSettings(cutAfter(vm.settings(), "zone: z\n"));
    vm.process().signal(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    vm.writeSettings(vm.settings());
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitForLog(R"("event":"reload","outcome":"taken")"));
}

// Guards against log lines that are written into a socket which has the number of a closed standard output.
void VmStarts::closedStandardStreamsAreNotUsedForSockets()
{
    LoneVm vm(findFreeAddresses());
    vm.start("<&- >&- 2>&-");
    checkServes(vm);
    for (int descriptor : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO })
        CHECK_EQUAL(std::string("/dev/null"), descriptorTarget(vm.process().id(), descriptor));
}
