// Injects random faults into real processes and checks the guarantees given to callers. A failure reports its
// seed.
//
//     build/test/soak_tests Soak                                  runs the default seeds, as CI does
//     FESCUE_SOAK_SEEDS=1-50 build/test/soak_tests Soak           runs other seeds
//     FESCUE_SOAK_VMS=60 build/test/soak_tests Soak               runs as many VMs
//     FESCUE_SOAK_OTHER=/path/to/fescue-entry build/test/soak_tests Soak    mixes VMs of another release with
//                                                                 those of this one; see scripts/upgrade.sh

#include "SoakHarness.h"
#include "SoakSeeds.h"
#include "Suite.h"

#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace fescue::test;

namespace {

constexpr std::uint64_t lastDefaultSeed = 2;

// Seeds that have failed, each with its cause. 27 and 31 failed for that of 13.
const std::vector<std::uint64_t> regressionSeeds {
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

// Number of log lines of the VMs that contain a text.
std::size_t countLogLines(const std::string& folder, const std::string& text)
{
    std::size_t lines = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        std::ifstream log(entry.path());
        for (std::string line; std::getline(log, line);)
            lines += line.find(text) != std::string::npos ? 1 : 0;
    }
    return lines;
}

struct SeedResult {
    std::string failures_; ///< Description; empty if there are none.
    std::size_t brokenOff_ = 0; ///< Streams without framing that targets broke off.
};

// Runs one seed. Keeps the logs of a failed run.
SeedResult runSeed(std::uint64_t seed)
{
    SoakOptions options;
    options.seed_ = seed;
    constexpr std::uint64_t plannedOnlyInterval = 4;
    options.hasOnlyPlannedOperations_ = seed % plannedOnlyInterval == 0;
    constexpr std::uint64_t lossOfAllInterval = 3;
    options.losesAllVms_ = !options.hasOnlyPlannedOperations_ && seed % lossOfAllInterval == 2;
    options.vms_ = readVms(options.vms_);
    if (const char* other = std::getenv("FESCUE_SOAK_OTHER"))
        options.otherRelease_ = other;
    options.hasConversations_ = !std::getenv("FESCUE_SOAK_NO_CONVERSATIONS");
    options.folder_ = fmt::format("/tmp/fescue-soak-{}-{}", ::getpid(), seed);
    std::filesystem::create_directories(options.folder_);
    SoakReport report = runSoak(options);
    std::size_t unframed = countLogLines(options.folder_, R"("answer":"until-close, )");
    std::size_t brokenOff = countLogLines(options.folder_, R"("answer":"until-close, inside an event")");
    std::cout << fmt::format("seed {}: {} of {} requests served, {} unframed streams of which {} broke off, "
                             "{} faults, {} starts of this release, {} of another, {} violations\n",
        seed, report.succeeded_, report.requests_, unframed, brokenOff, report.injectedFaults_.size(),
        report.startsOfThisRelease_, report.startsOfOtherRelease_, report.violations_.size())
              << std::flush;
    if (report.violations_.empty()) {
        std::filesystem::remove_all(options.folder_);
        return { {}, brokenOff };
    }
    std::string text = fmt::format("\nseed {}, logs in {}\n", seed, options.folder_);
    for (const std::string& fault : report.injectedFaults_)
        text += "  fault: " + fault + "\n";
    for (const std::string& violation : report.violations_)
        text += "  violation: " + violation + "\n";
    return { text, brokenOff };
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
        std::size_t brokenOff = 0;
        for (std::uint64_t seed : readSoakSeeds(lastDefaultSeed, regressionSeeds)) {
            SeedResult result = runSeed(seed);
            failures += result.failures_;
            brokenOff += result.brokenOff_;
        }
        if (usesDefaultSeeds() && brokenOff == 0)
            failures += "no stream without framing broke off; let the targets send them again\n";
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

REGISTER_SUITE(Soak);
