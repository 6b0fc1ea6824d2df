// What a VM keeps of the streams that began, and what it concludes from the versions in the list of targets.

#include "Fuzz.h"
#include "PeerStreams.h"
#include "Suite.h"
#include "TargetList.h"

using namespace fescue;
using namespace fescue::test;

namespace {

const ServiceId service { "llm" };

MonotonicTime at(int ms) { return MonotonicTime { Milliseconds { 1000000 + ms } }; }

// Reads the list every 600 ms from `from` to `to`, with targets of these versions. `isWhole` reads all
// entries, as after the history was lost; otherwise the entries are read as changes.
void follow(
    TargetList& list, int from, int to, const std::vector<std::string>& versions, bool isWhole = false)
{
    constexpr int interval = 600;
    for (int ms = from; ms <= to; ms += interval) {
        std::vector<TargetEntry> entries;
        for (const std::string& version : versions) {
            TargetEntry entry;
            entry.id_ = { "i-" + version };
            entry.service_ = service;
            entry.version_ = { version };
            entries.push_back(entry);
        }
        auto known = list.entries_;
        if (isWhole || !list.isComplete_)
            applyFullList(list, entries, at(ms));
        for (const auto& [id, entry] : known)
            applyTargetChange(list, id, std::nullopt, at(ms));
        for (const TargetEntry& entry : entries)
            applyTargetChange(list, entry.id_, entry, at(ms));
        list.readAt_ = at(ms);
    }
}

std::optional<SoftwareVersion> sole(const TargetList& list, int ms, const ServiceId& of = service)
{
    return soleVersion(list, of, Milliseconds { 10000 }, at(ms));
}

} // namespace

class StreamOriginTables : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamOriginTables);
    CPPUNIT_TEST(onlyVersionIsKnownAfterTheRetentionPeriod);
    CPPUNIT_TEST(versionThatHasLeftCountsForTheRetentionPeriod);
    CPPUNIT_TEST(outageOfTheStoreMissesNothing);
    CPPUNIT_TEST(versionThatLapsedInAnOutageCountsFromItsRemoval);
    CPPUNIT_TEST(lostHistoryStartsThePeriodAgain);
    CPPUNIT_TEST(firstOriginOfAnAttemptHolds);
    CPPUNIT_TEST(tableIsBoundedInTimeAndSize);
    CPPUNIT_TEST(messagesAreReadBack);
    CPPUNIT_TEST(malformedMessagesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyVersionIsKnownAfterTheRetentionPeriod()
    {
        TargetList list;
        follow(list, 0, 9600, { "v1" });
        CHECK(!sole(list, 9600));
        follow(list, 10200, 10200, { "v1" });
        CHECK_EQUAL(std::string("v1"), sole(list, 10200)->value_);
        CHECK(!sole(list, 10200, { "other" }));
        follow(list, 10800, 10800, { "v1", "v2" });
        CHECK(!sole(list, 10800));
    }

    void versionThatHasLeftCountsForTheRetentionPeriod()
    {
        TargetList list;
        follow(list, 0, 12000, { "v1", "v2" });
        follow(list, 12600, 21600, { "v2" });
        CHECK(!sole(list, 21600));
        follow(list, 22200, 23400, { "v2" });
        CHECK_EQUAL(std::string("v2"), sole(list, 23400)->value_);
    }

    // The store gives all changes of the time in which it was away.
    void outageOfTheStoreMissesNothing()
    {
        TargetList list;
        follow(list, 0, 12000, { "v1" });
        CHECK(sole(list, 13400));
        CHECK(!sole(list, 13600));
        follow(list, 40000, 40000, { "v1" });
        CHECK(sole(list, 40000));
        applyTargetChange(list, { "i-short" }, list.entries_.begin()->second, at(40100));
        TargetEntry other = list.entries_.begin()->second;
        other.version_ = { "v2" };
        applyTargetChange(list, { "i-short" }, other, at(40100));
        applyTargetChange(list, { "i-short" }, std::nullopt, at(40100));
        CHECK(!sole(list, 40200));
    }

    // VMs send streams to its targets as long as they are listed, however old their last report is.
    void versionThatLapsedInAnOutageCountsFromItsRemoval()
    {
        TargetList list;
        follow(list, 0, 12000, { "v1", "v2" });
        follow(list, 40000, 49800, { "v1" });
        CHECK(!sole(list, 40000));
        CHECK(!sole(list, 49800));
        follow(list, 50400, 50400, { "v1" });
        CHECK_EQUAL(std::string("v1"), sole(list, 50400)->value_);
    }

    void lostHistoryStartsThePeriodAgain()
    {
        TargetList list;
        follow(list, 0, 12000, { "v1" });
        follow(list, 12600, 12600, { "v1" }, true);
        CHECK(sole(list, 12600));
        follow(list, 15000, 15000, { "v1" }, true);
        follow(list, 15600, 24000, { "v1" });
        CHECK(!sole(list, 24000));
        follow(list, 24600, 25200, { "v1" });
        CHECK(sole(list, 25200));
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
                for (bool isCurrent : { false, true }) {
                    auto reply = parseOriginReply(encode(OriginReply { origin, sole, isCurrent }));
                    CHECK(reply->origin_ == origin && reply->soleVersion_ == sole);
                    CHECK_EQUAL(isCurrent && sole, reply->isSoleCurrent_);
                }
            }
        }
    }

    void malformedMessagesAreRejected()
    {
        fuzz("random bytes are parsed or rejected", [](const std::string& bytes) {
            (void)parseStreams(bytes);
            (void)parseOriginQuery(bytes);
            (void)parseOriginReply(bytes);
        });
        // Objects and arrays whose lengths exceed the address space.
        for (const char* bytes : { "\xBB"
                                   "aaaaaaaa",
                 "\x9B"
                 "aaaaaaaa",
                 "\x82\x9B"
                 "aaaaaaaa" })
            CHECK(!parseStreams(bytes) && !parseOriginQuery(bytes) && !parseOriginReply(bytes));
        std::string good = encode(OriginReply { StreamOrigin { service, { "v1" } }, std::nullopt });
        for (std::size_t size = 0; size < good.size(); ++size)
            CHECK(!parseOriginReply(good.substr(0, size)));
        CHECK(!parseOriginQuery(good) && !parseStreams(good));
    }
};

REGISTER_SUITE(StreamOriginTables);
