// Each way in which an entry VM's process ends by itself leaves a line in its log that tells which it was.

#include "EntryVmHarness.h"
#include "EventLog.h"
#include "LoneVm.h"
#include "ProcessEnd.h"
#include "StartSignals.h"
#include "Suite.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <sstream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace fescue::test;

class ProcessEnds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProcessEnds);
    CPPUNIT_TEST(failedStartNamesTheSetting);
    CPPUNIT_TEST(fatalSignalIsNamed);
    CPPUNIT_TEST(signalsOfOthersAndOfLimitsAreNamed);
    CPPUNIT_TEST(signalsThatAreIgnoredFromTheStartStayIgnored);
    CPPUNIT_TEST(overflowOfTheStackIsNamed);
    CPPUNIT_TEST(exceptionIsNamed);
    CPPUNIT_TEST(endIsNamedOnStandardErrorWhenTheLogTakesNoLines);
    CPPUNIT_TEST(memoryNearTheLimitIsReported);
    CPPUNIT_TEST(successorReportsAProcessThatWasKilled);
    CPPUNIT_TEST(pauseIsReportedWithTheProcessorTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void failedStartNamesTheSetting();
    void fatalSignalIsNamed();
    void signalsOfOthersAndOfLimitsAreNamed();
    void signalsThatAreIgnoredFromTheStartStayIgnored();
    void overflowOfTheStackIsNamed();
    void exceptionIsNamed();
    void endIsNamedOnStandardErrorWhenTheLogTakesNoLines();
    void memoryNearTheLimitIsReported();
    void successorReportsAProcessThatWasKilled();
    void pauseIsReportedWithTheProcessorTime();
};

REGISTER_SUITE(ProcessEnds);

namespace {

void checkContains(const std::string& text, const std::string& part)
{
    CPPUNIT_ASSERT_MESSAGE("expected " + part + " in: " + text, text.find(part) != std::string::npos);
}

struct ChildEnd {
    int status_ = 0;
    std::string output_;
};

enum class LogState { Read, Full };

// Runs `action` in a process of its own that has the log of an entry VM. The output is that of the log, or
// that of standard error if the log takes no lines.
template <typename Action> ChildEnd runWithLog(const Action& action, LogState log = LogState::Read)
{
    std::array<int, 2> pipeEnds {};
    CHECK_EQUAL(0, ::pipe(pipeEnds.data()));
    pid_t child = ::fork();
    if (child == 0) {
        constexpr rlimit stackLimit { 1 << 20, 1 << 20 };
        ::setrlimit(RLIMIT_STACK, &stackLimit);
        ::dup2(pipeEnds[1], log == LogState::Full ? STDERR_FILENO : STDOUT_FILENO);
        if (log == LogState::Full) {
            constexpr rlimit noBytes { 0, 0 };
            ::setrlimit(RLIMIT_FSIZE, &noBytes);
            ::dup2(::fileno(std::tmpfile()), STDOUT_FILENO);
            fescue::ignoreWriteSignals();
        }
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
        fescue::openEventLog({ {}, "entry", "vm-a", "z", true });
        fescue::logFatalEnds();
        fescue::logEvent("last-line", {});
        action();
        ::_exit(0);
    }
    ::close(pipeEnds[1]);
    ChildEnd end;
    std::array<char, 4096> buffer {};
    for (ssize_t size = 0; (size = ::read(pipeEnds[0], buffer.data(), buffer.size())) > 0;)
        end.output_.append(buffer.data(), static_cast<std::size_t>(size));
    ::close(pipeEnds[0]);
    CHECK_EQUAL(child, ::waitpid(child, &end.status_, 0));
    return end;
}

// Nothing catches what it throws, as in an event loop.
void throwUncaught() noexcept { std::map<int, int>().at(0); }

// Not a loop, and not a tail call.
int overflowStack(int depth)
{
    std::array<volatile char, 4096> frame {};
    frame[0] = static_cast<char>(depth);
    return depth < 0 ? 0 : overflowStack(depth + 1) + frame[0];
}

} // namespace

void ProcessEnds::failedStartNamesTheSetting()
{
    LoneVm vm(findFreeAddresses());
    vm.writeSettings("node-name: vm-a\nzone: z\n");
    vm.start();
    CHECK(vm.waitForLog(R"("event":"start-failed")"));
    CHECK_EQUAL(2, vm.process().signalAndWait(0));
    checkContains(vm.log(), R"("event":"start-failed")");
    checkContains(vm.log(), R"("setting":"listen.frontend")");
}

void ProcessEnds::fatalSignalIsNamed()
{
    LoneVm vm(findFreeAddresses());
    vm.start();
    CHECK(vm.waitUntilServing());
    CHECK_EQUAL(-SIGSEGV, vm.process().signalAndWait(SIGSEGV));
    checkContains(vm.log(), R"("vm":"vm-a","zone":"z","level":"warning","event":"process-failed")");
    checkContains(vm.log(), R"("signal":"SIGSEGV")");
}

void ProcessEnds::signalsOfOthersAndOfLimitsAreNamed()
{
    for (int signal : { SIGXCPU, SIGQUIT, SIGUSR1, SIGALRM }) {
        LoneVm vm(findFreeAddresses());
        vm.start();
        CHECK(vm.waitUntilServing());
        CHECK_EQUAL(-signal, vm.process().signalAndWait(signal));
        checkContains(vm.log(), fmt::format(R"("signal":"SIG{}")", ::sigabbrev_np(signal)));
    }
}

// Guards against a process that is ended by a signal which its host has told it to ignore: a shell does so
// with SIGQUIT for what it starts in the background.
void ProcessEnds::signalsThatAreIgnoredFromTheStartStayIgnored()
{
    for (int signal : { SIGXCPU, SIGQUIT, SIGUSR1, SIGALRM }) {
        LoneVm vm(findFreeAddresses());
        vm.start({}, fmt::format("trap '' {}", ::sigabbrev_np(signal)));
        CHECK(vm.waitUntilServing());
        CHECK_EQUAL(0, ::kill(vm.process().id(), signal));
        // A signal that ends a process is delivered before the answer.
        CHECK(vm.waitUntilServing());
        CHECK(vm.isRunning());
        CHECK(vm.log().find("process-failed") == std::string::npos);
    }
}

void ProcessEnds::overflowOfTheStackIsNamed()
{
    ChildEnd end = runWithLog([] { overflowStack(0); });
    CHECK(WIFSIGNALED(end.status_));
    CHECK_EQUAL(SIGSEGV, WTERMSIG(end.status_));
    checkContains(end.output_, R"("event":"process-failed","reason":"signal","signal":"SIGSEGV")");
    checkContains(end.output_, R"("event":"last-line")");
}

void ProcessEnds::exceptionIsNamed()
{
    ChildEnd end = runWithLog([] { throwUncaught(); });
    CHECK(WIFSIGNALED(end.status_));
    CHECK_EQUAL(SIGABRT, WTERMSIG(end.status_));
    checkContains(end.output_, R"("event":"process-failed")");
    checkContains(end.output_, R"("reason":"exception","type":"std::out_of_range")");
    checkContains(end.output_, R"("event":"last-line")");
    CHECK(end.output_.find("SIGABRT") == std::string::npos);
}

// Guards against an end by an exception that leaves no line anywhere, since the log has the largest size that
// its host allows a file.
void ProcessEnds::endIsNamedOnStandardErrorWhenTheLogTakesNoLines()
{
    ChildEnd signal = runWithLog([] { ::raise(SIGSEGV); }, LogState::Full);
    CHECK_EQUAL(SIGSEGV, WTERMSIG(signal.status_));
    checkContains(signal.output_, "SIGSEGV");
    ChildEnd exception = runWithLog([] { throwUncaught(); }, LogState::Full);
    CHECK_EQUAL(SIGABRT, WTERMSIG(exception.status_));
    checkContains(exception.output_, "process-failed");
    checkContains(exception.output_, "std::out_of_range");
}

void ProcessEnds::memoryNearTheLimitIsReported()
{
    // Less than a process needs to start.
    constexpr int memoryMb = 5;
    LoneVm vm(findFreeAddresses(), memoryMb);
    vm.start();
    CHECK(vm.waitUntilServing());
    CHECK(vm.waitForLog(R"("event":"memory-high")"));
    checkContains(vm.log(), R"("limit_bytes":"5242880")");
}

void ProcessEnds::successorReportsAProcessThatWasKilled()
{
    std::string folder = "/tmp/fescue-process-ends-" + std::to_string(::getpid());
    ::setenv("FESCUE_TEST_EVENTS", folder.c_str(), 1);
    EntryVmHarness vms({});
    ::unsetenv("FESCUE_TEST_EVENTS");
    vms.waitUntil("the VM has written its entry", [&vms] {
        bool isWritten = false;
        vms.runOnStore([&isWritten](fescue::standin::PlatformStore& store) {
            isWritten = store.newest("keyed.entry-vms").count("vm-a") > 0;
        });
        return isWritten;
    });
    vms.restartVm(0);
    vms.waitUntil("the log names the predecessor", [&folder] {
        std::ostringstream log;
        for (const auto& run : std::filesystem::directory_iterator(folder))
            log << std::ifstream(run.path() / "vm-a.events").rdbuf();
        return log.str().find(R"("event":"predecessor")") != std::string::npos;
    });
    std::filesystem::remove_all(folder);
}

// Guards against a line that cannot tell a paused process from one that computes.
void ProcessEnds::pauseIsReportedWithTheProcessorTime()
{
    LoneVm vm(findFreeAddresses());
    vm.start();
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitUntilServing());
    vm.process().signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    vm.process().signal(SIGCONT);
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitForLog(R"("event":"stood-still")"));
    std::string log = vm.log();
    CPPUNIT_ASSERT_MESSAGE(log, log.find(R"("used_ms":")") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(log, log.find(R"("event":"loop-busy")") == std::string::npos);
}
