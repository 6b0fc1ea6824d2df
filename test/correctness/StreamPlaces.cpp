// Guards against a service that is taken for the only one at which a stream can have begun although the
// configuration has changed, or may have.

#include "PeerStreams.h"
#include "RouteHistory.h"
#include "Suite.h"

using namespace fescue;

namespace {

constexpr Milliseconds retention { 10000 };

MonotonicTime at(int seconds) { return MonotonicTime {} + std::chrono::seconds(seconds); }

ServingConfig configOf(std::uint64_t version, double weightOfA, double weightOfB)
{
    Route route;
    route.host_ = "h.example";
    route.prefix_ = "/split/";
    route.isStream_ = true;
    route.services_ = { { { "a" }, weightOfA }, { { "b" }, weightOfB } };
    ServingConfig config;
    config.version_ = version;
    config.routes_ = { route };
    return config;
}

// A request of a program, or of none if it is empty.
CallTags tagsOf(const std::string& program, const std::string& attempt, const std::string& resumes = "")
{
    CallTags tags;
    tags.program_ = { program };
    tags.attempt_ = { attempt };
    tags.resumes_ = { resumes };
    tags.lastEvent_ = resumes.empty() ? "" : "1";
    return tags;
}

HttpHead requestTo(const std::string& target)
{
    HttpHead head;
    head.target_ = target;
    head.headers_.push_back({ "Host", "h.example" });
    return head;
}

StreamPlace placeOf(const CallTags& tags) { return placeOf(requestTo("/split/1?x=2"), tags); }

} // namespace

class StreamPlaces : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamPlaces);
    CPPUNIT_TEST(attemptsOfAStreamHaveOneService);
    CPPUNIT_TEST(streamWithoutAKnownKeyMayHaveBegunAtAnyService);
    CPPUNIT_TEST(replacedRoutesCount);
    CPPUNIT_TEST(configurationsWithTheSameRoutesAreOne);
    CPPUNIT_TEST(coverageBeginsAnewAfterAGap);
    CPPUNIT_TEST(headerOfAReplyIsRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void attemptsOfAStreamHaveOneService()
    {
        RouteHistory history;
        recordRoutes(history, configOf(1, 1, 1), at(0));
        std::set<ServiceId> all;
        for (int i = 0; i < 40; ++i) {
            std::string first = "first-" + std::to_string(i);
            auto begun = possibleServices(history, placeOf(tagsOf("", first)), at(1));
            CHECK_EQUAL(std::size_t { 1 }, begun.size());
            CHECK(begun == possibleServices(history, placeOf(tagsOf("", "next", first)), at(1)));
            begun.insert(all.begin(), all.end());
            all = begun;
            auto ofProgram = possibleServices(history, placeOf(tagsOf(first, "x")), at(1));
            CHECK(ofProgram == possibleServices(history, placeOf(tagsOf(first, "y", "x")), at(1)));
        }
        CHECK_EQUAL(std::size_t { 2 }, all.size());
    }

    void streamWithoutAKnownKeyMayHaveBegunAtAnyService()
    {
        RouteHistory history;
        recordRoutes(history, configOf(1, 1, 1), at(0));
        CallTags tags = tagsOf("", "next");
        tags.lastEvent_ = "1";
        CHECK_EQUAL(std::size_t { 2 }, possibleServices(history, placeOf(tags), at(1)).size());
    }

    void replacedRoutesCount()
    {
        RouteHistory history;
        recordRoutes(history, configOf(1, 1, 0), at(0));
        StreamPlace place = placeOf(tagsOf("p", "x"));
        CHECK(possibleServices(history, place, at(1)) == std::set<ServiceId> { { "a" } });
        recordRoutes(history, configOf(2, 0, 1), at(2));
        CHECK_EQUAL(std::size_t { 2 }, possibleServices(history, place, at(100)).size());
        CHECK(possibleServices(history, place, at(1000)) == std::set<ServiceId> { { "b" } });
    }

    void configurationsWithTheSameRoutesAreOne()
    {
        RouteHistory history;
        restartCoverage(history, at(0));
        recordRoutes(history, configOf(4, 1, 1), at(0));
        recordRoutes(history, configOf(5, 1, 1), at(1));
        CHECK_EQUAL(std::uint64_t { 1 }, history.generation_);
        CHECK(coveredFrom(history, retention, at(20)) == 5U);
        recordRoutes(history, configOf(6, 1, 2), at(21));
        CHECK_EQUAL(std::uint64_t { 2 }, history.generation_);
        CHECK(coveredFrom(history, retention, at(22)) == 5U);
        CHECK(coveredFrom(history, retention, at(1000)) == 6U);
    }

    void coverageBeginsAnewAfterAGap()
    {
        RouteHistory history;
        CHECK(!isCovered(history, retention, at(100)));
        recordRoutes(history, configOf(4, 1, 1), at(100));
        restartCoverage(history, at(100));
        CHECK(!isCovered(history, retention, at(109)));
        CHECK(!coveredFrom(history, retention, at(109)));
        CHECK(isCovered(history, retention, at(110)));
        CHECK_EQUAL(std::uint64_t { 4 }, history.coveredFrom_);
    }

    void headerOfAReplyIsRead()
    {
        OriginReply reply;
        CHECK(headersOf(reply).empty());
        reply.routesFrom_ = 17;
        HttpHead head;
        CHECK(!parseRoutesFrom(head));
        head.headers_ = headersOf(reply);
        CHECK(parseRoutesFrom(head) == 17U);
        for (const char* malformed : { "", "x", "17x", "-1", "99999999999999999999999" }) {
            head.headers_[0].value_ = malformed;
            CHECK(!parseRoutesFrom(head));
        }
    }
};

REGISTER_SUITE(StreamPlaces);
