// Readers that start or resume after log entries expired, compared with a reader that read every entry.

#include "ConfigSnapshot.h"
#include "Fuzz.h"
#include "Suite.h"

using namespace fescue;
using nlohmann::json;
using test::fuzz;

class ConfigRetention : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigRetention);
    CPPUNIT_TEST(lateReadersCatchUpOrDetectTheirGap);
    CPPUNIT_TEST(staleSnapshotIsSkipped);
    CPPUNIT_TEST(publicationsAreNotAcceptedAsSnapshots);
    CPPUNIT_TEST(damagedSnapshotsAreRejected);
    CPPUNIT_TEST(oneVmWritesASnapshotPerPeriod);
    CPPUNIT_TEST_SUITE_END();

public:
    void lateReadersCatchUpOrDetectTheirGap();
    void staleSnapshotIsSkipped();
    void publicationsAreNotAcceptedAsSnapshots();
    void damagedSnapshotsAreRejected();
    void oneVmWritesASnapshotPerPeriod();
};

REGISTER_SUITE(ConfigRetention);

namespace {

std::string publication(int team, std::uint64_t builtOn, int value)
{
    std::string section = "models/m" + std::to_string(team);
    return json {
        { "author", "team" }, { "built_on", { { section, builtOn } } },
        { "sections", { { section, { { "context_limit", value } } } } }
    }.dump();
}

// Both streams of the log, with entries that expire.
struct Streams {
    std::vector<std::string> config_;
    std::size_t expired_ = 0;
    std::vector<std::string> snapshots_;
    LogOffset first() const { return { expired_ + 1 }; }
};

// Mirrors the steps of ConfigReader. Returns whether the reader has no gap.
bool catchUp(Config& reader, const Streams& streams)
{
    if (hasGap(reader, streams.first())) {
        for (auto it = streams.snapshots_.rbegin(); it != streams.snapshots_.rend(); ++it) {
            auto snapshot = parseSnapshot(*it);
            if (!snapshot || !coversGap(reader, *snapshot, streams.first()))
                continue;
            reader = *snapshot;
            break;
        }
    }
    if (hasGap(reader, streams.first()))
        return false;
    for (std::uint64_t at = reader.lastReadOffset_.value_ + 1; at <= streams.config_.size(); ++at)
        applyPublication(reader, { at }, streams.config_[at - 1]);
    return true;
}

} // namespace

void ConfigRetention::lateReadersCatchUpOrDetectTheirGap()
{
    int covered = 0;
    int uncovered = 0;
    fuzz("retention", [&] {
        Streams streams;
        Config current;
        Config lagging;
        auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
        for (int step : steps) {
            if (step < 6) {
                std::string section = "models/m" + std::to_string(step % 3);
                std::uint64_t builtOn = step < 5 ? current.sectionVersions_[section] : 0;
                streams.config_.push_back(publication(step % 3, builtOn, 1 + *rc::gen::inRange(0, 3)));
                catchUp(current, streams);
            } else if (step == 6) {
                streams.expired_
                    += *rc::gen::inRange<std::size_t>(0, streams.config_.size() - streams.expired_ + 1);
            } else if (step == 7 && current.version_.value_ != 0) {
                streams.snapshots_.push_back(snapshotEntry(current));
            } else if (step == 8) {
                streams.snapshots_.push_back(*rc::gen::elementOf(std::vector<std::string> {
                    "", "{}", publication(0, 0, 1), R"({"config_snapshot": {}, "sha256": ""})" }));
            } else if (step == 9) {
                catchUp(lagging, streams);
            }
        }
        for (Config reader : { lagging, Config {} }) {
            LogOffset before = reader.version_;
            bool isCovered = catchUp(reader, streams);
            ++(isCovered ? covered : uncovered);
            RC_ASSERT(!isCovered || toJson(reader) == toJson(current));
            RC_ASSERT(isCovered || reader.lastReadOffset_.value_ < streams.expired_);
            RC_ASSERT(reader.version_ >= before);
        }
    });
    CHECK(covered > 200);
    CHECK(uncovered > 50);
}

void ConfigRetention::staleSnapshotIsSkipped()
{
    Streams streams;
    std::vector<Config> configs(1);
    for (int value = 1; value <= 3; ++value) {
        streams.config_.push_back(publication(0, configs.back().version_.value_, value));
        configs.push_back(configs.back());
        catchUp(configs.back(), streams);
    }
    streams.snapshots_ = { snapshotEntry(configs[2]), snapshotEntry(configs[1]) };
    streams.expired_ = 2;
    Config late;
    CHECK(catchUp(late, streams));
    CHECK(toJson(late) == toJson(configs[3]));
}

void ConfigRetention::publicationsAreNotAcceptedAsSnapshots()
{
    Config config;
    applyPublication(config, { 1 }, publication(0, 0, 1));
    std::string entry = snapshotEntry(config);
    CHECK(!applyPublication(config, { 2 }, entry).isAccepted_);
    CHECK_EQUAL(std::uint64_t { 1 }, config.version_.value_);
    CHECK(!parseSnapshot(publication(0, 1, 2)).has_value());
    json claimed = json::parse(entry);
    claimed["config_snapshot"]["read_to"] = 900;
    CHECK(!parseSnapshot(claimed.dump()).has_value());
}

void ConfigRetention::damagedSnapshotsAreRejected()
{
    Config config;
    applyPublication(config, { 1 }, publication(0, 0, 1));
    std::string entry = snapshotEntry(config);
    CHECK(parseSnapshot(entry).has_value());
    for (std::size_t at = 0; at < entry.size(); ++at) {
        std::string damaged = entry;
        damaged[at] = static_cast<char>(damaged[at] ^ 1);
        CHECK(!parseSnapshot(damaged).has_value());
        CHECK(!parseSnapshot(entry.substr(0, at)).has_value());
    }
}

void ConfigRetention::oneVmWritesASnapshotPerPeriod()
{
    constexpr std::size_t vms = 370;
    constexpr int periods = 20;
    std::mt19937_64 random(5);
    std::vector<SnapshotSchedule> schedules(vms);
    MonotonicTime start {};
    LogOffset next { 1 };
    std::vector<MonotonicTime> written { start };
    for (SnapshotSchedule& schedule : schedules)
        scheduleNextCheck(schedule, start, random);
    for (auto now = start; now < start + periods * schedules[0].period_; now += Milliseconds { 1000 }) {
        for (SnapshotSchedule& schedule : schedules) {
            if (now < schedule.nextCheckAt_)
                continue;
            scheduleNextCheck(schedule, now, random);
            if (!isSnapshotDue(schedule, next))
                continue;
            written.push_back(now);
            schedule.seenEnd_ = { ++next.value_ };
        }
    }
    CHECK(written.size() > periods / 2);
    CHECK(written.size() < periods * 4);
    for (std::size_t i = 1; i < written.size(); ++i)
        CHECK(written[i] - written[i - 1] <= 2 * schedules[0].period_);
}
