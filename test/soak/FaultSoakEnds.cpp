// Guards against a fault soak that overlooks a process: one that ends by itself, crashes or hangs while it
// stops beside its successor, spins, holds too much memory or falls silent is a violation.

#include "BootClock.h"
#include "FaultSoakVm.h"
#include "Suite.h"

#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

using namespace fescue;
using namespace fescue::test;

namespace {

// A VM whose program is a shell script, which serves nothing.
class ScriptVm {
public:
    // `onTerm` is what the script does on SIGTERM.
    explicit ScriptVm(const std::string& script, const std::string& onTerm = "exit 0")
        : folder_(fmt::format("/tmp/fescue-fault-soak-ends-{}", ::getpid()))
        , store_(io_)
    {
        std::filesystem::create_directories(folder_);
        std::string program = folder_ + "/program";
        std::ofstream(program) << fmt::format("#!/bin/sh\ntrap '{}' TERM\necho begun\n{}\n", onTerm, script);
        std::filesystem::permissions(program, std::filesystem::perms::owner_all);
        vm_ = std::make_unique<FaultSoakVm>(
            io_, store_, "vm-0", "za", folder_, [program] { return program; });
        vm_->start();
        MonotonicTime end = bootNow() + Milliseconds { 5000 };
        while (starts() < 1 && bootNow() < end)
            ::usleep(1000);
    }
    ~ScriptVm()
    {
        vm_.reset();
        std::filesystem::remove_all(folder_);
    }

    // How often the script has begun.
    int starts() const
    {
        std::ifstream log(folder_ + "/vm-0.log");
        int count = 0;
        for (std::string line; std::getline(log, line);)
            count += line == "begun" ? 1 : 0;
        return count;
    }

    // Runs for a while, or until the first violation, which it returns.
    std::string runFor(Milliseconds time)
    {
        MonotonicTime end = bootNow() + time;
        while (bootNow() < end) {
            io_.run_for(std::chrono::milliseconds(2));
            io_.restart();
            auto violations = vm_->tick(bootNow());
            if (!violations.empty())
                return violations.front();
        }
        return {};
    }

    std::unique_ptr<FaultSoakVm> vm_;

private:
    std::string folder_;
    asio::io_context io_ { 1 };
    standin::PlatformStore store_;
};

void checkViolation(const std::string& violation, const std::string& expected)
{
    CPPUNIT_ASSERT_MESSAGE(violation, violation.find(expected) != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(violation, violation.find("log: begun") != std::string::npos);
}

constexpr Milliseconds longTime { 10000 };
constexpr const char* waitForSignals = "while :; do sleep 0.02; done";

} // namespace

class FaultSoakEnds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FaultSoakEnds);
    CPPUNIT_TEST(endOfItsOwnIsAViolation);
    CPPUNIT_TEST(crashBesideTheSuccessorIsAViolation);
    CPPUNIT_TEST(stopThatDoesNotEndIsAViolation);
    CPPUNIT_TEST(orderlyStopIsNone);
    CPPUNIT_TEST(spinningIsAViolation);
    CPPUNIT_TEST(memoryIsAViolation);
    CPPUNIT_TEST(silenceIsAViolation);
    CPPUNIT_TEST_SUITE_END();

public:
    void endOfItsOwnIsAViolation()
    {
        checkViolation(ScriptVm("sleep 0.1; exit 0").runFor(longTime), "ended by itself, status 0");
        checkViolation(ScriptVm("sleep 0.1; kill -SEGV $$").runFor(longTime), "ended by itself, status -11");
        checkViolation(ScriptVm("sleep 0.1; kill -KILL $$").runFor(longTime), "ended by itself, status -9");
    }

    void crashBesideTheSuccessorIsAViolation()
    {
        ScriptVm vm(waitForSignals, "kill -ABRT $$");
        vm.vm_->stop(true);
        CHECK_EQUAL(std::size_t { 2 }, vm.vm_->starts());
        checkViolation(vm.runFor(longTime), "ended while it stopped, status -6");
    }

    void stopThatDoesNotEndIsAViolation()
    {
        ScriptVm vm(waitForSignals, ":");
        vm.vm_->stop(true);
        checkViolation(vm.runFor(longTime), "did not exit within its grace period");
    }

    void orderlyStopIsNone()
    {
        ScriptVm vm(waitForSignals);
        vm.vm_->stop(true);
        CHECK_EQUAL(std::string(), vm.runFor(Milliseconds { 500 }));
        vm.vm_->kill(Milliseconds { 0 });
        CHECK_EQUAL(std::string(), vm.runFor(Milliseconds { 500 }));
    }

    void spinningIsAViolation()
    {
        checkViolation(ScriptVm("while :; do :; done").runFor(longTime), "of a core");
    }

    void memoryIsAViolation()
    {
        // 300 MB of one variable, doubled from a line of 1 MB and a little.
        std::string grow
            = "x=$(head -c 1200000 /dev/zero | tr '\\0' x); for i in 1 2 3 4 5 6 7 8; do x=$x$x; done; ";
        ScriptVm vm(grow + waitForSignals);
        MonotonicTime end = bootNow() + longTime;
        std::string found = vm.runFor(longTime);
        // Growing uses the processor first, for several seconds on a busy host.
        while (found.find("of a core") != std::string::npos && bootNow() < end)
            found = vm.runFor(longTime);
        checkViolation(found, "MB of 260");
    }

    void silenceIsAViolation()
    {
        ScriptVm vm(waitForSignals);
        vm.vm_->checkReadiness();
        vm.runFor(Milliseconds { 300 });
        checkViolation(vm.vm_->silence(), "did not say that it is ready");
    }
};

REGISTER_SUITE(FaultSoakEnds);
