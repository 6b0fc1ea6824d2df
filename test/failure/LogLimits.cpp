// Guards against a process that ends when its log reaches the largest size that its host allows a file: the
// kernel sends SIGXFSZ, whose default action ends a process, again at each restart.

#include "Cluster.h"
#include "LoneVm.h"
#include "RawConnection.h"
#include "Suite.h"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace fescue::test;

class LogLimits : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LogLimits);
    CPPUNIT_TEST(vmServesWhenItsLogReachesTheLimitOfAFile);
    CPPUNIT_TEST(vmStartsWhenItsLogHasTheLimitOfAFile);
    CPPUNIT_TEST(gatewayAndSchedulerServeWhenTheirLogsReachTheLimitOfAFile);
    CPPUNIT_TEST_SUITE_END();

public:
    void vmServesWhenItsLogReachesTheLimitOfAFile();
    void vmStartsWhenItsLogHasTheLimitOfAFile();
    void gatewayAndSchedulerServeWhenTheirLogsReachTheLimitOfAFile();
};

REGISTER_SUITE(LogLimits);

namespace {

void limitFiles(const Process& process, rlim_t bytes)
{
    rlimit limit { bytes, RLIM_INFINITY };
    CHECK_EQUAL(0, ::prlimit(process.id(), RLIMIT_FSIZE, &limit, nullptr));
}

// Lines are written from a buffer. Returns false after ten seconds, or when the process has ended.
bool waitForLogSize(LoneVm& vm, std::size_t size)
{
    constexpr int maxTries = 2000;
    for (int i = 0; i < maxTries && vm.isRunning(); ++i) {
        if (vm.log().size() == size)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

// The VM knows no routes, so it refuses each request, and logs a line of it.
void request(const LoneVm& vm, const std::string& id)
{
    RawConnection connection(vm.addresses().callerPort_);
    CHECK(connection.send(
        "GET /x HTTP/1.1\r\nHost: h\r\nFescuewinch-Request-Id: " + id + "\r\nConnection: close\r\n\r\n"));
    CHECK(connection.readAll().rfind("HTTP/1.1 503", 0) == 0);
}

} // namespace

void LogLimits::vmServesWhenItsLogReachesTheLimitOfAFile()
{
    constexpr std::size_t room = 1000;
    constexpr int requests = 50;
    LoneVm vm(findFreeAddresses());
    vm.start();
    CHECK(vm.waitUntilServing());
    std::size_t limit = vm.log().size() + room;
    limitFiles(vm.process(), limit);
    for (int i = 0; i < requests; ++i)
        request(vm, "limited-" + std::to_string(i));
    CHECK(waitForLogSize(vm, limit));
    CHECK(vm.waitUntilServing());
    // The lines since then have waited in the buffer.
    limitFiles(vm.process(), RLIM_INFINITY);
    request(vm, "unlimited");
    CHECK(vm.waitForLog(R"("request":"unlimited")"));
    for (int i = 0; i < requests; ++i)
        CHECK(vm.log().find("\"request\":\"limited-" + std::to_string(i) + "\"") != std::string::npos);
}

void LogLimits::vmStartsWhenItsLogHasTheLimitOfAFile()
{
    LoneVm vm(findFreeAddresses());
    vm.start({}, "ulimit -f 0");
    CHECK(vm.waitUntilServing());
    request(vm, "limited");
    CHECK(vm.isRunning());
    CHECK_EQUAL(0, vm.process().signalAndWait(SIGTERM));
    CHECK_EQUAL(std::string(), vm.log());
}

void LogLimits::gatewayAndSchedulerServeWhenTheirLogsReachTheLimitOfAFile()
{
    std::string folder = "/tmp/fescue-log-limits-" + std::to_string(::getpid());
    std::filesystem::create_directory(folder);
    ClusterOptions options;
    options.eventsFolder_ = folder;
    {
        Cluster cluster(options);
        EntryVm& vm = cluster.entries_.front();
        limitFiles(*vm.scheduler_, 0);
        limitFiles(*vm.gateway_, 0);
        CHECK(!cluster.createProgram(0).empty());
        CHECK(!vm.scheduler_->tryReap());
        CHECK(!vm.gateway_->tryReap());
    }
    std::filesystem::remove_all(folder);
}
