// When requests with a quarantined content that many callers share may run, and how many of them.

#include "ContentTrials.h"
#include "Suite.h"

using namespace fescue;

namespace {

constexpr ContentDigest content { 7 };
constexpr Milliseconds expiry { 600000 };

MonotonicTime at(std::int64_t ms) { return MonotonicTime {} + Milliseconds { 100000 + ms }; }

// Three crashes that the VM has recorded, while the content ran beside itself.
struct Recorded {
    Quarantine quarantine_;
    ContentTrials trials_;

    Recorded()
    {
        quarantine_.own_ = { "vm-b#1" };
        for (const char* crash : { "t@1", "t@2", "t@3" })
            recordCrash(quarantine_, content, { crash }, at(0));
        recordConcurrentRuns(trials_, content, at(0));
    }
    bool take(std::int64_t ms) { return takeTrial(trials_, quarantine_, content, at(ms)); }
};

} // namespace

class ContentTrialTimes : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ContentTrialTimes);
    CPPUNIT_TEST(twoTrialsAreFarApart);
    CPPUNIT_TEST(trialThatWasNotSentIsGivenBack);
    CPPUNIT_TEST(contentThatRanAloneHasNoTrial);
    CPPUNIT_TEST(onlyTheFirstWriterTakesTrials);
    CPPUNIT_TEST(contentIsForgottenAfterItsCrashesExpire);
    CPPUNIT_TEST_SUITE_END();

public:
    void twoTrialsAreFarApart()
    {
        Recorded recorded;
        CHECK(!recorded.take(2999));
        CHECK(recorded.take(3000));
        CHECK(!recorded.take(17999));
        CHECK(recorded.take(18000));
        CHECK(!recorded.take(100000));
    }

    // Guards against an outage of the targets that uses up all trials.
    void trialThatWasNotSentIsGivenBack()
    {
        Recorded recorded;
        for (std::int64_t ms = 3000; ms < 30000; ms += 500) {
            CHECK(recorded.take(ms));
            returnTrial(recorded.trials_, content, at(ms));
            CHECK(!recorded.take(ms + 499));
        }
    }

    void contentThatRanAloneHasNoTrial()
    {
        Recorded recorded;
        recorded.trials_.contents_.clear();
        CHECK(!recorded.take(60000));
        returnTrial(recorded.trials_, content, at(60000));
        CHECK(!recorded.take(60000));
    }

    void onlyTheFirstWriterTakesTrials()
    {
        Recorded recorded;
        replaceCrashes(recorded.quarantine_, content, { "vm-a#1" }, { { "t@1" } }, at(0));
        CHECK(!recorded.take(60000));
    }

    void contentIsForgottenAfterItsCrashesExpire()
    {
        Recorded recorded;
        removeExpired(recorded.trials_, expiry, at(600000));
        CHECK_EQUAL(std::size_t { 1 }, recorded.trials_.contents_.size());
        removeExpired(recorded.trials_, expiry, at(600001));
        CHECK(recorded.trials_.contents_.empty());
    }
};

REGISTER_SUITE(ContentTrialTimes);
