// Injects random faults into real processes and checks the guarantees given to callers. A failure reports its
// seed.
//
//     build/test/soak_tests Soak                                  runs the default seeds, as CI does
//     FESCUE_SOAK_SEEDS=1-50 build/test/soak_tests Soak           runs other seeds
//     FESCUE_SOAK_VMS=60 build/test/soak_tests Soak               runs as many VMs

#include "SoakHarness.h"
#include "Suite.h"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <unistd.h>

using namespace fescue::test;

namespace {

struct Seeds {
    std::uint64_t first_ = 1;
    std::uint64_t last_ = 2;
};

// Seeds that have failed, each with its cause. 27 and 31 failed for that of 13.
constexpr std::array regressionSeeds {
    13, // A VM was killed while it passed on a stream without framing, which its caller took for complete.
};

std::size_t readVms(std::size_t normally)
{
    const char* text = std::getenv("FESCUE_SOAK_VMS");
    std::size_t vms = normally;
    constexpr std::size_t maxVms = 200; // Some hundred processes is what a development machine bears.
    if (text && (std::sscanf(text, "%zu", &vms) != 1 || vms < 1 || vms > maxVms))
        throw std::runtime_error("FESCUE_SOAK_VMS must be a number from 1 to 200");
    return vms;
}

Seeds readSeeds()
{
    const char* text = std::getenv("FESCUE_SOAK_SEEDS");
    Seeds seeds;
    if (text && std::sscanf(text, "%lu-%lu", &seeds.first_, &seeds.last_) != 2)
        throw std::runtime_error("FESCUE_SOAK_SEEDS must be a first and a last seed, for example 1-50");
    return seeds;
}

// Runs one seed and returns a description of its failures. Keeps the logs of a failed run.
std::string runSeed(std::uint64_t seed)
{
    SoakOptions options;
    options.seed_ = seed;
    constexpr std::uint64_t plannedOnlyInterval = 4;
    options.hasOnlyPlannedOperations_ = seed % plannedOnlyInterval == 0;
    options.vms_ = readVms(options.vms_);
    options.folder_ = fmt::format("/tmp/fescue-soak-{}-{}", ::getpid(), seed);
    std::filesystem::create_directories(options.folder_);
    SoakReport report = runSoak(options);
    std::cout << fmt::format("seed {}: {} of {} requests served, {} faults, {} violations\n", seed,
        report.succeeded_, report.requests_, report.injectedFaults_.size(), report.violations_.size())
              << std::flush;
    if (report.violations_.empty()) {
        std::filesystem::remove_all(options.folder_);
        return {};
    }
    std::string text = fmt::format("\nseed {}, logs in {}\n", seed, options.folder_);
    for (const std::string& fault : report.injectedFaults_)
        text += "  fault: " + fault + "\n";
    for (const std::string& violation : report.violations_)
        text += "  violation: " + violation + "\n";
    return text;
}

} // namespace

class Soak : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(Soak);
    CPPUNIT_TEST(guaranteesHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void guaranteesHoldUnderRandomFaults()
    {
        std::string failures;
        Seeds seeds = readSeeds();
        for (std::uint64_t seed = seeds.first_; seed <= seeds.last_; ++seed)
            failures += runSeed(seed);
        for (int seed : regressionSeeds) {
            if (!std::getenv("FESCUE_SOAK_SEEDS"))
                failures += runSeed(static_cast<std::uint64_t>(seed));
        }
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

REGISTER_SUITE(Soak);
