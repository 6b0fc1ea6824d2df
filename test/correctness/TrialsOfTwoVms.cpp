// Guards against more runs of a request that crashes its targets than the platform takes: two VMs, of which
// one learns late what the other one has recorded, each let it run.

#include "ContentTrials.h"
#include "Suite.h"

using namespace fescue;

namespace {

constexpr ContentDigest content { 7 };

MonotonicTime at(std::int64_t seconds) { return MonotonicTime {} + Milliseconds { 1000 * (100 + seconds) }; }

// A VM that ran the content beside itself.
struct Vm {
    Quarantine quarantine_;
    ContentTrials trials_;
    int runs_ = 0;

    explicit Vm(const char* writer)
    {
        quarantine_.own_ = { writer };
        quarantine_.threshold_ = 3;
        recordConcurrentRuns(trials_, content, at(0));
    }

    // Each run crashes a target.
    bool run(std::int64_t second)
    {
        if (!isQuarantined(quarantine_, content, at(second))
            || !takeTrial(trials_, quarantine_, content, at(second)))
            return false;
        ++runs_;
        recordCrash(quarantine_, content, { quarantine_.own_.value_ + std::to_string(second) }, at(second));
        return true;
    }

    void learnFrom(const Vm& other, std::int64_t second)
    {
        const WriterId& writer = other.quarantine_.own_;
        replaceCrashes(quarantine_, content, writer,
            other.quarantine_.records_.at(content).crashes_.at(writer), at(second));
    }
};

} // namespace

class TrialsOfTwoVms : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TrialsOfTwoVms);
    CPPUNIT_TEST(atMostThreeRunsAfterTheThirdCrash);
    CPPUNIT_TEST_SUITE_END();

public:
    void atMostThreeRunsAfterTheThirdCrash()
    {
        constexpr int maxLateRuns = 3;
        constexpr std::int64_t lateRecord = 60;
        Vm first("vm-a#1");
        Vm second("vm-b#1");
        for (const char* crash : { "t@1", "t@2", "t@3" })
            recordCrash(second.quarantine_, content, { crash }, at(0));
        recordCrash(first.quarantine_, content, { "t@4" }, at(0));
        first.learnFrom(second, 0);
        for (std::int64_t now = 1; now < 300; ++now) {
            if (now == lateRecord)
                second.learnFrom(first, now);
            if (second.run(now))
                first.learnFrom(second, now);
            // Until its own record is in the store, it lets nothing run.
            if (now >= lateRecord && first.run(now))
                second.learnFrom(first, now);
        }
        CHECK(first.runs_ + second.runs_ <= maxLateRuns);
    }
};

REGISTER_SUITE(TrialsOfTwoVms);
