// What a VM keeps of the streams that began, and what it concludes from the versions in the list of targets.

#include "PeerStreams.h"
#include "Suite.h"
#include "VersionHistory.h"

#include <rapidcheck.h>

using namespace fescue;

namespace {

const ServiceId service { "llm" };

MonotonicTime at(int ms) { return MonotonicTime { Milliseconds { 1000000 + ms } }; }

// Reads the list every 600 ms from `from` to `to`, with targets of these versions.
void follow(VersionHistory& history, int from, int to, const std::vector<std::string>& versions)
{
    constexpr int interval = 600;
    for (int ms = from; ms <= to; ms += interval) {
        TargetList list;
        list.isComplete_ = true;
        list.readAt_ = at(ms);
        for (const std::string& version : versions) {
            TargetEntry entry;
            entry.id_ = { "i-" + version };
            entry.service_ = service;
            entry.version_ = { version };
            list.entries_[entry.id_] = entry;
        }
        recordVersions(history, list);
    }
}

} // namespace

class StreamOriginTables : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamOriginTables);
    CPPUNIT_TEST(onlyVersionIsKnownAfterTheRetentionPeriod);
    CPPUNIT_TEST(versionThatHasLeftCountsForTheRetentionPeriod);
    CPPUNIT_TEST(oldListProvesNothing);
    CPPUNIT_TEST(missedTimeStartsThePeriodAgain);
    CPPUNIT_TEST(firstOriginOfAnAttemptHolds);
    CPPUNIT_TEST(tableIsBoundedInTimeAndSize);
    CPPUNIT_TEST(messagesAreReadBack);
    CPPUNIT_TEST(malformedMessagesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyVersionIsKnownAfterTheRetentionPeriod()
    {
        VersionHistory history;
        follow(history, 0, 9600, { "v1" });
        CHECK(!soleVersion(history, service, at(9600)));
        follow(history, 10200, 10200, { "v1" });
        CHECK_EQUAL(std::string("v1"), soleVersion(history, service, at(10200))->value_);
        CHECK(!soleVersion(history, { "other" }, at(10200)));
        follow(history, 10800, 10800, { "v1", "v2" });
        CHECK(!soleVersion(history, service, at(10800)));
    }

    void versionThatHasLeftCountsForTheRetentionPeriod()
    {
        VersionHistory history;
        follow(history, 0, 12000, { "v1", "v2" });
        follow(history, 12600, 21600, { "v2" });
        CHECK(!soleVersion(history, service, at(21600)));
        follow(history, 22200, 23400, { "v2" });
        CHECK_EQUAL(std::string("v2"), soleVersion(history, service, at(23400))->value_);
    }

    void oldListProvesNothing()
    {
        VersionHistory history;
        follow(history, 0, 12000, { "v1" });
        CHECK(soleVersion(history, service, at(13400)).has_value());
        CHECK(!soleVersion(history, service, at(13600)).has_value());
    }

    void missedTimeStartsThePeriodAgain()
    {
        VersionHistory history;
        follow(history, 0, 12000, { "v1" });
        follow(history, 15000, 24000, { "v1" });
        CHECK(!soleVersion(history, service, at(24000)).has_value());
        follow(history, 24600, 25200, { "v1" });
        CHECK(soleVersion(history, service, at(25200)).has_value());
    }

    void firstOriginOfAnAttemptHolds()
    {
        StreamOrigins streams;
        recordStream(streams, { { "a" }, { service, { "v1" } } }, at(0));
        recordStream(streams, { { "a" }, { service, { "v2" } } }, at(1));
        recordStream(streams, { {}, { service, { "v2" } } }, at(1));
        CHECK_EQUAL(std::string("v1"), findOrigin(streams, { "a" })->version_.value_);
        CHECK(!findOrigin(streams, {}) && !findOrigin(streams, { "b" }));
    }

    void tableIsBoundedInTimeAndSize()
    {
        StreamOrigins streams;
        streams.maxStreams_ = 10;
        for (int i = 0; i < 100; ++i)
            recordStream(streams, { { std::to_string(i) }, { service, { "v1" } } }, at(i));
        CHECK_EQUAL(std::size_t { 10 }, streams.origins_.size());
        CHECK_EQUAL(streams.origins_.size(), streams.oldestFirst_.size());
        CHECK(findOrigin(streams, { "99" }) && !findOrigin(streams, { "89" }));
        dropStreamsBefore(streams, at(95));
        CHECK_EQUAL(std::size_t { 5 }, streams.origins_.size());
        CHECK(!findOrigin(streams, { "94" }) && findOrigin(streams, { "95" }));
    }

    void messagesAreReadBack()
    {
        std::vector<BegunStream> streams { { { "a" }, { service, { "v1" } } }, { { "b" }, { service, {} } } };
        auto read = parseStreams(encode(streams));
        CHECK_EQUAL(std::size_t { 2 }, read->size());
        CHECK((*read)[0].attempt_ == streams[0].attempt_ && (*read)[0].origin_ == streams[0].origin_);
        auto query = parseOriginQuery(encode(OriginQuery { { "a" }, service }));
        CHECK(query->attempt_.value_ == "a" && query->service_ == service);
        for (const auto& origin : { std::optional<StreamOrigin>(), std::optional(streams[0].origin_) }) {
            for (const auto& sole :
                { std::optional<SoftwareVersion>(), std::optional(SoftwareVersion { "v3" }) }) {
                auto reply = parseOriginReply(encode(OriginReply { origin, sole }));
                CHECK(reply->origin_ == origin && reply->soleVersion_ == sole);
            }
        }
    }

    void malformedMessagesAreRejected()
    {
        CHECK(rc::check("random bytes are parsed or rejected", [](const std::string& bytes) {
            (void)parseStreams(bytes);
            (void)parseOriginQuery(bytes);
            (void)parseOriginReply(bytes);
        }));
        std::string good = encode(OriginReply { StreamOrigin { service, { "v1" } }, std::nullopt });
        for (std::size_t size = 0; size < good.size(); ++size)
            CHECK(!parseOriginReply(good.substr(0, size)));
        CHECK(!parseOriginQuery(good) && !parseStreams(good));
    }
};

REGISTER_SUITE(StreamOriginTables);
