// Guards against answers that are cut short, joined or repeated when targets and VMs that are processes of
// their own end: the operating system closes their connections in order. A failure reports its seed.
//
//     build/test/soak_tests ProcessSoak                           runs the default seeds, as CI does
//     FESCUE_SOAK_SEEDS=1-50 build/test/soak_tests ProcessSoak    runs other seeds
//     FESCUE_SOAK_PROGRAM=/path/to/fescue-entry build/test/soak_tests ProcessSoak
//                                                                 runs VMs of another release
//
// `ProcessSoakOneId` does the same with targets that change their software version under one id.

#include "ProcessSoakHarness.h"
#include "SoakSeeds.h"
#include "Suite.h"

#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <unistd.h>

using namespace fescue::test;

namespace {

constexpr std::uint64_t lastDefaultSeed = 3;

// Seeds that have failed, each with its cause. 1 has failed for that of 7.
const std::vector<std::uint64_t> regressionSeeds {
    7, // A VM was suspended while a target was killed and started again, and took its next process for it.
    9, // The same without a suspended VM: the target's next process accepted connections before the VM
       // looked.
    15, // The witness had not been closed yet when the new connection was tried.
};

// Runs one seed. Keeps the logs of a failed run, and adds its failures to a text.
ProcessSoakReport runSeed(ProcessSoakOptions options, std::string& failures)
{
    std::uint64_t seed = options.seed_;
    options.hasSplitRoutes_ = seed % 2 == 0;
    if (const char* program = std::getenv("FESCUE_SOAK_PROGRAM"))
        options.program_ = program;
    options.folder_ = fmt::format("/tmp/fescue-process-soak-{}-{}", ::getpid(), seed);
    std::filesystem::create_directories(options.folder_);
    ProcessSoakReport report = runProcessSoak(options);
    std::cout << fmt::format("seed {}: {} of {} attempts served, {} of {} calm ones, {} whole streams, {} "
                             "broken off, {} resumed and gone on, "
                             "{} unframed killed between events, {} faults, {} violations\n",
        seed, report.succeeded_, report.attempts_, report.calmSuccesses_, report.calmAttempts_,
        report.wholeStreams_, report.brokenStreams_, report.goneOn_, report.killedUnframed_,
        report.injectedFaults_.size(), report.violations_.size())
              << std::flush;
    if (report.violations_.empty()) {
        std::filesystem::remove_all(options.folder_);
        return report;
    }
    failures += fmt::format("\nseed {}, logs in {}\n", seed, options.folder_);
    for (const std::string& fault : report.injectedFaults_)
        failures += "  fault: " + fault + "\n";
    for (const std::string& violation : report.violations_)
        failures += "  violation: " + violation + "\n";
    return report;
}

} // namespace

class ProcessSoak : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProcessSoak);
    CPPUNIT_TEST(guaranteesHoldWhileProcessesEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void guaranteesHoldWhileProcessesEnd()
    {
        std::string failures;
        std::size_t killedUnframed = 0;
        std::size_t goneOn = 0;
        for (std::uint64_t seed : readSoakSeeds(lastDefaultSeed, regressionSeeds)) {
            ProcessSoakOptions options;
            options.seed_ = seed;
            ProcessSoakReport report = runSeed(options, failures);
            killedUnframed += report.killedUnframed_;
            goneOn += report.goneOn_;
        }
        if (usesDefaultSeeds() && killedUnframed == 0)
            failures += "no stream without framing was killed between two events; end more targets\n";
        if (usesDefaultSeeds() && goneOn == 0)
            failures += "no stream went on after it had been broken off; let more callers resume\n";
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

// Guards against streams of two versions when the list of targets does not yet tell of a new start.
class ProcessSoakOneId : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProcessSoakOneId);
    CPPUNIT_TEST(guaranteesHoldWhileVersionsChangeUnderOneId);
    CPPUNIT_TEST_SUITE_END();

public:
    void guaranteesHoldWhileVersionsChangeUnderOneId()
    {
        std::string failures;
        for (std::uint64_t seed : readSoakSeeds(1, {})) {
            ProcessSoakOptions options;
            options.seed_ = seed;
            options.changesVersionsUnderOneId_ = true;
            runSeed(options, failures);
        }
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

REGISTER_SUITE(ProcessSoak);
REGISTER_SUITE(ProcessSoakOneId);
