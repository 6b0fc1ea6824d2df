// Guards against processes of entry VMs that end by themselves, spin, grow over their memory, or do not serve
// again, under the troubles of a platform that ends and starts them. A failure reports its seed.
//
//     build/test/soak_tests FaultSoak                                 runs the default seeds, as CI does
//     FESCUE_SOAK_SEEDS=1-50 build/test/soak_tests FaultSoak          runs other seeds
//     FESCUE_TEST_ENTRY=/path/to/fescue-entry build/test/soak_tests FaultSoak    runs VMs of another release
//     FESCUE_SOAK_OTHER=/path/to/fescue-entry build/test/soak_tests FaultSoak    mixes VMs of another release
//     with
//                                                                     those of this one
//
// A seed takes 39 ports of the 128 of its process: beside other tests, play at most three seeds in a process.

#include "FaultSoakHarness.h"
#include "SoakSeeds.h"
#include "Suite.h"

#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <unistd.h>

using namespace fescue::test;

namespace {

constexpr std::uint64_t lastDefaultSeed = 2;

// Runs one seed. Keeps the logs of a failed run. Returns its failures.
std::string runSeed(std::uint64_t seed)
{
    FaultSoakOptions options;
    options.seed_ = seed;
    if (const char* program = std::getenv("FESCUE_TEST_ENTRY"))
        options.program_ = program;
    if (const char* other = std::getenv("FESCUE_SOAK_OTHER"))
        options.otherRelease_ = other;
    options.folder_ = fmt::format("/tmp/fescue-fault-soak-{}-{}", ::getpid(), seed);
    std::filesystem::create_directories(options.folder_);
    FaultSoakReport report = runFaultSoak(options);
    constexpr double bytesPerMb = 1024 * 1024;
    std::cout << fmt::format(
        "seed {}: {} of {} attempts served, {} after the recovery, {} troubles, {} starts of VMs, "
        "{} crashes of targets, at most {:.2f} of a core and {:.1f} MB, {} violations\n",
        seed, report.succeeded_, report.attempts_, report.servedAfterwards_, report.troubles_.size(),
        report.starts_, report.crashes_, report.mostCores_,
        static_cast<double>(report.mostBytes_) / bytesPerMb, report.violations_.size())
              << std::flush;
    if (report.violations_.empty()) {
        std::filesystem::remove_all(options.folder_);
        return {};
    }
    std::string failures = fmt::format("\nseed {}, logs in {}\n", seed, options.folder_);
    for (const std::string& trouble : report.troubles_)
        failures += "  trouble: " + trouble + "\n";
    for (const std::string& violation : report.violations_)
        failures += "  violation: " + violation + "\n";
    return failures;
}

} // namespace

class FaultSoak : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FaultSoak);
    CPPUNIT_TEST(processesEndOnlyWhenTheyAreTold);
    CPPUNIT_TEST_SUITE_END();

public:
    void processesEndOnlyWhenTheyAreTold()
    {
        std::string failures;
        for (std::uint64_t seed : readSoakSeeds(lastDefaultSeed, {}))
            failures += runSeed(seed);
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

REGISTER_SUITE(FaultSoak);
