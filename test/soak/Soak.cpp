// Random faults from outside on real processes; each failure names its seed.
//
//     build/test/soak_tests Soak                                  the seeds of CI
//     FESCUE_SOAK_SEEDS=1-50 build/test/soak_tests Soak           others

#include "SoakWorld.h"
#include "Suite.h"

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

Seeds seedsToPlay()
{
    const char* text = std::getenv("FESCUE_SOAK_SEEDS");
    Seeds seeds;
    if (text && std::sscanf(text, "%lu-%lu", &seeds.first_, &seeds.last_) != 2)
        throw std::runtime_error("FESCUE_SOAK_SEEDS: give a first and a last seed, for example 1-50");
    return seeds;
}

// Plays a seed; the logs of a failed one are kept.
std::string play(std::uint64_t seed)
{
    SoakOptions options;
    options.seed_ = seed;
    constexpr std::uint64_t oneIn = 4;
    options.hasOnlyPlannedWork_ = seed % oneIn == 0;
    options.folder_ = fmt::format("/tmp/fescue-soak-{}-{}", ::getpid(), seed);
    std::filesystem::create_directories(options.folder_);
    SoakReport report = playSoak(options);
    std::cout << fmt::format("seed {}: {} of {} requests served, {} faults, {} promises broken\n", seed,
        report.answered_, report.requests_, report.faults_.size(), report.broken_.size())
              << std::flush;
    if (report.broken_.empty()) {
        std::filesystem::remove_all(options.folder_);
        return {};
    }
    std::string text = fmt::format("\nseed {}, logs in {}\n", seed, options.folder_);
    for (const std::string& fault : report.faults_)
        text += "  fault: " + fault + "\n";
    for (const std::string& broken : report.broken_)
        text += "  broken: " + broken + "\n";
    return text;
}

} // namespace

class Soak : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(Soak);
    CPPUNIT_TEST(promisesHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void promisesHoldUnderRandomFaults()
    {
        std::string failures;
        Seeds seeds = seedsToPlay();
        for (std::uint64_t seed = seeds.first_; seed <= seeds.last_; ++seed)
            failures += play(seed);
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }
};

REGISTER_SUITE(Soak);
