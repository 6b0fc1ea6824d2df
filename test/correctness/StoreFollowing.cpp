#include "BootClock.h"
#include "EventLoop.h"
#include "PlatformStore.h"
#include "StoreClient.h"
#include "StoreFollower.h"
#include "Suite.h"

#include <asio/steady_timer.hpp>

using namespace fescue;
using namespace fescue::standin;

namespace {

std::string configOf(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::string targetOf(const std::string& state)
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":")" + state + "\"}";
}

} // namespace

class StoreFollowing : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreFollowing);
    CPPUNIT_TEST(configurationAndTargetsAreFollowed);
    CPPUNIT_TEST(olderAndUnreadableConfigurationsAreIgnored);
    CPPUNIT_TEST(malformedTargetEntriesAreIgnored);
    CPPUNIT_TEST(compactedTopicIsReadAgain);
    CPPUNIT_TEST(removalAfterAnOutageTakesEffectAtOnce);
    CPPUNIT_TEST(unresponsiveStoreIsDetectedAndRecovers);
    CPPUNIT_TEST(refreshShowsWhatWasWrittenBeforeIt);
    CPPUNIT_TEST(refreshFailsWhileTheStoreIsAway);
    CPPUNIT_TEST(ownEntryIsWrittenAndRemoved);
    CPPUNIT_TEST(appendWithALostAnswerIsRetriedAndAppliedOnce);
    CPPUNIT_TEST(ownEntryIsWrittenThoughItsSequenceIsRejected);
    CPPUNIT_TEST(recordsOfCrashesArePassedOnAndNameNoVm);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<asio::io_context> io_;
    std::unique_ptr<PlatformStore> store_;
    std::unique_ptr<platform::StoreClient> client_;
    std::unique_ptr<StoreFollower> follower_;
    StoreHealth health_;
    std::vector<std::uint64_t> versions_;
    std::map<VmId, PeerEntry> peers_;
    std::map<std::string, std::string> crashes_;

    // Runs the event loop until the condition holds; fails the test if it never does.
    template <typename Condition> void runUntil(const Condition& holds)
    {
        auto tick = [this] {
            client_->tick(bootNow());
            follower_->tick(bootNow());
            store_->tick(bootNow());
        };
        fescue::test::runLoopUntil(*io_, tick, holds);
    }

    bool knows(const std::string& target) const
    {
        return follower_->targets().entries_.count({ target }) > 0;
    }

public:
    void setUp() override
    {
        io_ = std::make_unique<asio::io_context>(1);
        store_ = std::make_unique<PlatformStore>(*io_);
        health_ = {};
        versions_.clear();
        peers_.clear();
        crashes_.clear();
        asio::ip::tcp::endpoint address(asio::ip::make_address_v4("127.0.0.1"), store_->port());
        client_ = std::make_unique<platform::StoreClient>(*io_, address);
        FollowIntervals intervals;
        intervals.configPollWait_ = Milliseconds { 40 };
        intervals.peerPollWait_ = Milliseconds { 40 };
        intervals.targetInterval_ = Milliseconds { 10 };
        intervals.minPollInterval_ = Milliseconds { 1 };
        intervals.timeout_ = Milliseconds { 200 };
        follower_ = std::make_unique<StoreFollower>(*client_, health_, intervals,
            StoreFollower::Callbacks {
                [this](const ServingConfig& config) { versions_.push_back(config.version_); },
                [](const TargetList&) {}, [this](const std::map<VmId, PeerEntry>& peers) { peers_ = peers; },
                [this](const std::vector<platform::KeyedRecord>& records, bool isComplete) {
                    if (isComplete)
                        crashes_.clear();
                    for (const platform::KeyedRecord& record : records)
                        crashes_[record.key_] = record.value_;
                } });
        store_->put(platform::configTopic, platform::configKey, configOf(3));
        store_->put(platform::targetTopic, "i-1", targetOf("ready"));
    }

    void tearDown() override
    {
        follower_.reset();
        client_.reset();
        store_.reset();
        io_.reset();
    }

    void configurationAndTargetsAreFollowed()
    {
        runUntil([this] { return !versions_.empty() && knows("i-1"); });
        store_->put(platform::configTopic, platform::configKey, configOf(9));
        store_->put(platform::targetTopic, "i-1", targetOf("draining"));
        runUntil([this] { return versions_.back() == 9; });
        runUntil([this] { return follower_->targets().entries_.at({ "i-1" }).isLeaving_; });
        store_->put(platform::targetTopic, "i-1", "");
        runUntil([this] { return !knows("i-1"); });
    }

    void olderAndUnreadableConfigurationsAreIgnored()
    {
        runUntil([this] { return !versions_.empty(); });
        store_->put(platform::configTopic, platform::configKey, configOf(2));
        store_->put(platform::configTopic, platform::configKey, "{ broken");
        store_->put(platform::configTopic, "other", configOf(50));
        store_->put(platform::configTopic, platform::configKey, configOf(4));
        runUntil([this] { return versions_.back() == 4; });
        CHECK_EQUAL(std::size_t { 2 }, versions_.size());
    }

    void malformedTargetEntriesAreIgnored()
    {
        store_->put(platform::targetTopic, "i-2", "\xff\xfe");
        store_->put(platform::targetTopic, "i-3", targetOf("unheard of"));
        store_->put(platform::targetTopic, "i-4", targetOf("ready"));
        runUntil([this] { return knows("i-1") && knows("i-4"); });
        CHECK(!knows("i-2") && !knows("i-3"));
    }

    void compactedTopicIsReadAgain()
    {
        runUntil([this] { return !versions_.empty() && knows("i-1"); });
        store_->faults().isDown_ = true;
        store_->put(platform::configTopic, platform::configKey, configOf(7));
        store_->put(platform::targetTopic, "i-5", targetOf("ready"));
        store_->compact(platform::configTopic);
        store_->compact(platform::targetTopic);
        store_->faults().isDown_ = false;
        runUntil([this] { return versions_.back() == 7 && knows("i-5"); });
    }

    // The topic of VM entries is read with a long poll, so its first answer arrives long after the store is
    // back. It must not extend the grace period in which missing targets are kept.
    void removalAfterAnOutageTakesEffectAtOnce()
    {
        runUntil([this] { return knows("i-1"); });
        store_->faults().isDown_ = true;
        runUntil([this] { return !health_.isUp_; });
        store_->faults().isDown_ = false;
        runUntil([this] { return health_.isUp_; });
        auto storeBackAt = bootNow();
        runUntil([storeBackAt] { return bootNow() > storeBackAt + missingEntryGracePeriod; });
        store_->put(std::string(platform::keyedTopicPrefix) + "entry-vms", "vm-z", "");
        store_->put(platform::targetTopic, "i-1", "");
        auto removedAt = bootNow();
        runUntil([this] { return !knows("i-1"); });
        CHECK(bootNow() < removedAt + missingEntryGracePeriod);
    }

    void unresponsiveStoreIsDetectedAndRecovers()
    {
        runUntil([this] { return knows("i-1"); });
        store_->faults().isSilent_ = true;
        runUntil([this] { return !health_.isUp_; });
        CHECK(knows("i-1"));
        store_->faults().isSilent_ = false;
        runUntil([this] { return health_.isUp_; });
    }

    // A read that is under way may have been answered already, so it does not count.
    void refreshShowsWhatWasWrittenBeforeIt()
    {
        runUntil([this] { return knows("i-1") && !versions_.empty(); });
        constexpr int rounds = 40;
        for (int i = 2; i < rounds; ++i) {
            std::string target = "i-" + std::to_string(i);
            bool isKnown = false;
            bool isDone = false;
            follower_->tick(bootNow());
            store_->put(platform::targetTopic, target, targetOf("ready"));
            std::uint64_t version = 3 + static_cast<std::uint64_t>(i);
            store_->put(platform::configTopic, platform::configKey, configOf(static_cast<int>(version)));
            follower_->refresh([&](bool isRead) {
                isDone = isRead;
                isKnown = knows(target) && versions_.back() == version;
            });
            runUntil([&] { return isDone; });
            CHECK(isKnown);
        }
    }

    void refreshFailsWhileTheStoreIsAway()
    {
        runUntil([this] { return knows("i-1"); });
        for (bool isSilent : { false, true }) {
            store_->faults().isDown_ = !isSilent;
            store_->faults().isSilent_ = isSilent;
            int failed = 0;
            for (int i = 0; i < 3; ++i)
                follower_->refresh([&failed](bool isRead) { failed += isRead ? 0 : 1; });
            runUntil([&failed] { return failed == 3; });
        }
    }

    void ownEntryIsWrittenAndRemoved()
    {
        follower_->announce({ { "vm-a" }, { "z" }, "127.0.0.1:7380", { "vm-a#1" } });
        runUntil([this] { return peers_.count({ "vm-a" }) > 0; });
        follower_->withdraw();
        runUntil([this] { return peers_.empty(); });
    }

    void appendWithALostAnswerIsRetriedAndAppliedOnce()
    {
        store_->faults().answersToDrop_ = 1;
        follower_->announce({ { "vm-a" }, { "z" }, "127.0.0.1:7380", { "vm-a#1" } });
        runUntil([this] { return peers_.count({ "vm-a" }) > 0; });
        follower_->withdraw();
        runUntil([this] { return peers_.empty(); });
        CHECK_EQUAL(std::uint64_t { 2 }, store_->appends());
    }

    // Guards against a VM that others never hear of: a number that the store rejects was sent again for ever.
    void ownEntryIsWrittenThoughItsSequenceIsRejected()
    {
        std::optional<std::uint64_t> offset;
        client_->append(StoreFollower::vmPartition(), { { "vm-z", "" } },
            platform::StoreWriter { { "vm-a#1" }, { 7 } }, Milliseconds { 1000 },
            [&offset](tl::expected<std::uint64_t, platform::StoreError> end) { offset = end.value_or(0); });
        runUntil([&offset] { return offset.has_value(); });
        follower_->announce({ { "vm-a" }, { "z" }, "127.0.0.1:7380", { "vm-a#1" } });
        runUntil([this] { return peers_.count({ "vm-a" }) > 0; });
        follower_->withdraw();
        runUntil([this] { return peers_.empty(); });
    }

    void recordsOfCrashesArePassedOnAndNameNoVm();
};

void StoreFollowing::recordsOfCrashesArePassedOnAndNameNoVm()
{
    const std::string key = "crash:00000000000012ab:vm-b#1";
    const std::string topic = StoreFollower::vmPartition().topic_;
    store_->put(topic, "vm-b", R"(["z","127.0.0.1:7","vm-b#1"])");
    store_->put(topic, key, R"([5,["t@1"]])");
    runUntil([&] { return peers_.count({ "vm-b" }) == 1 && crashes_.count(key) == 1; });
    CHECK_EQUAL(std::size_t { 1 }, peers_.size());
    store_->put(topic, key, "");
    runUntil([&] { return crashes_.at(key).empty(); });
    follower_->resync();
    runUntil([&] { return crashes_.empty(); });
}

REGISTER_SUITE(StoreFollowing);
