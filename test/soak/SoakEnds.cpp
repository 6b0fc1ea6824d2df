// Guards against soaks that overlook an end of a VM: one that ends by itself, is killed for memory, crashes
// while it stops or falls silent is a violation of its own, with its last log lines.

#include "BootClock.h"
#include "SoakComponents.h"
#include "Suite.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace fescue;
using namespace fescue::test;

namespace {

// A VM whose program is a shell script. It is silent, since the script serves nothing.
class ScriptVm {
public:
    // `onTerm` is what the script does on SIGTERM.
    explicit ScriptVm(const std::string& script, const std::string& onTerm = "exit 0")
        : folder_(fmt::format("/tmp/fescue-soak-ends-{}", ::getpid()))
    {
        std::filesystem::create_directories(folder_);
        std::string program = folder_ + "/program";
        std::ofstream(program) << fmt::format(
            "#!/bin/sh\ntrap '{}' TERM\necho $$ > {}/id\necho begun\n{}\n", onTerm, folder_, script);
        std::filesystem::permissions(program, std::filesystem::perms::owner_all);
        vm_ = std::make_unique<SoakVm>(io_, 1, "vm-0", "za", folder_, [program] { return program; });
        vm_->start();
        while (!isIn(folder_ + "/vm-0.log", "begun"))
            runFor(Milliseconds { 5 });
    }
    ~ScriptVm()
    {
        vm_.reset();
        std::filesystem::remove_all(folder_);
    }

    // Runs for a while, or until the first violation, which it returns.
    std::string runFor(Milliseconds time)
    {
        MonotonicTime end = bootNow() + time;
        while (bootNow() < end) {
            io_.run_for(std::chrono::milliseconds(2));
            io_.restart();
            std::string violation = vm_->tick(bootNow());
            if (!violation.empty())
                return violation;
        }
        return {};
    }

    // Returns once the script has ended; it stays to be reaped.
    void awaitEnd() const
    {
        pid_t id = 0;
        std::ifstream(folder_ + "/id") >> id;
        siginfo_t info {};
        CHECK_EQUAL(0, ::waitid(P_PID, static_cast<id_t>(id), &info, WEXITED | WNOWAIT));
    }
    void allowEnd() const { std::ofstream(folder_ + "/end") << "\n"; }

    std::unique_ptr<SoakVm> vm_;

private:
    static bool isIn(const std::string& file, const std::string& text)
    {
        std::ifstream log(file);
        std::string line;
        return std::getline(log, line) && line == text;
    }

    std::string folder_;
    asio::io_context io_ { 1 };
};

void checkViolation(const std::string& violation, const std::string& expected)
{
    CPPUNIT_ASSERT_MESSAGE(violation, violation.find(expected) != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(violation, violation.find("log: begun") != std::string::npos);
}

constexpr Milliseconds longTime { 5000 };
constexpr const char* waitForSignals = "while :; do sleep 0.02; done";

} // namespace

class SoakEnds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SoakEnds);
    CPPUNIT_TEST(endOfItsOwnIsAViolation);
    CPPUNIT_TEST(endBeforeAKillIsAViolation);
    CPPUNIT_TEST(crashWhileItStopsIsAViolation);
    CPPUNIT_TEST(orderlyStopIsNone);
    CPPUNIT_TEST(silenceIsAViolation);
    CPPUNIT_TEST_SUITE_END();

public:
    void endOfItsOwnIsAViolation()
    {
        checkViolation(ScriptVm("sleep 0.1; exit 0").runFor(longTime), "exited unexpectedly, status 0");
        checkViolation(ScriptVm("sleep 0.1; kill -SEGV $$").runFor(longTime), "unexpectedly, status -11");
        checkViolation(ScriptVm("sleep 0.1; kill -KILL $$").runFor(longTime), "unexpectedly, status -9");
    }

    void endBeforeAKillIsAViolation()
    {
        ScriptVm vm("while [ ! -e ${0%/*}/end ]; do sleep 0.02; done; exit 2");
        vm.allowEnd();
        vm.awaitEnd();
        vm.vm_->kill(Milliseconds { 100 });
        checkViolation(vm.runFor(longTime), "ended by itself, status 2");
    }

    void crashWhileItStopsIsAViolation()
    {
        ScriptVm vm(waitForSignals, "kill -ABRT $$");
        vm.vm_->stop();
        checkViolation(vm.runFor(longTime), "ended while it stopped, status -6");
    }

    void orderlyStopIsNone()
    {
        ScriptVm vm(waitForSignals);
        vm.vm_->stop();
        CHECK_EQUAL(std::string(), vm.runFor(Milliseconds { 500 }));
    }

    void silenceIsAViolation()
    {
        ScriptVm vm(waitForSignals);
        vm.vm_->checkReadiness();
        vm.runFor(Milliseconds { 300 });
        checkViolation(vm.vm_->silence(), "did not say that it is ready");
    }
};

REGISTER_SUITE(SoakEnds);
