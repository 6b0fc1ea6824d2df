#include "ProgramAdmission.h"
#include "Suite.h"

using namespace fescue;

namespace {

int admitted(double occupancy, std::uint32_t rank)
{
    Random random { 3 };
    int count = 0;
    for (int i = 0; i < 1000; ++i)
        count += shouldAdmitProgram(occupancy, rank, {}, random) ? 1 : 0;
    return count;
}

// Simulates programs of a few turns that slow each other down; returns how many end within their objective.
int endedInTime(const AdmissionOptions& options)
{
    constexpr double slots = 144;
    constexpr double turnMs = 450;
    constexpr double objectiveMs = 4 * turnMs * 1.7 + 250;
    constexpr int turns = 4;
    constexpr int durationMs = 8000;
    struct Program {
        double startedAt_;
        double remainingMs_;
    };
    std::vector<Program> programs;
    Random random { 5 };
    int inTime = 0;
    for (int now = 0; now < durationMs; ++now) {
        // Arrival rate: twice what the engines can serve in time.
        if (now % 8 == 0
            && shouldAdmitProgram(static_cast<double>(programs.size()) / slots, 1, options, random))
            programs.push_back({ static_cast<double>(now), turns * turnMs });
        double load = static_cast<double>(programs.size()) / slots;
        double speed = load < 0.5 ? 1 : 0.5 / load;
        for (std::size_t i = programs.size(); i-- > 0;) {
            programs[i].remainingMs_ -= speed;
            if (programs[i].remainingMs_ > 0)
                continue;
            inTime += now - programs[i].startedAt_ <= objectiveMs ? 1 : 0;
            programs.erase(programs.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    return inTime;
}

} // namespace

class ProgramAdmissions : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgramAdmissions);
    CPPUNIT_TEST(allProgramsAreAdmittedBelowTheThresholds);
    CPPUNIT_TEST(noProgramIsAdmittedWhenEnginesAreFull);
    CPPUNIT_TEST(moreImportantProgramsHaveHigherThresholds);
    CPPUNIT_TEST(admissionLetsMoreProgramsEndInTimeUnderOverload);
    CPPUNIT_TEST_SUITE_END();

public:
    void allProgramsAreAdmittedBelowTheThresholds() { CHECK_EQUAL(1000, admitted(0.5, 1)); }
    void noProgramIsAdmittedWhenEnginesAreFull() { CHECK_EQUAL(0, admitted(1.0, 0)); }
    void moreImportantProgramsHaveHigherThresholds() { CHECK(admitted(0.7, 0) > admitted(0.7, 1) + 100); }

    void admissionLetsMoreProgramsEndInTimeUnderOverload()
    {
        AdmissionOptions none;
        none.refuseSomeAbove_ = 1000;
        none.refuseAllAbove_ = 2000;
        CHECK(endedInTime({}) > 2 * endedInTime(none));
    }
};

REGISTER_SUITE(ProgramAdmissions);
