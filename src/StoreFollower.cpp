#include "StoreFollower.h"

#include "BootClock.h"
#include "Documents.h"
#include "EventLog.h"
#include "Metrics.h"
#include "StoreClient.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr Milliseconds shortestPause { 100 };
    constexpr Milliseconds longestPause { 500 };
    constexpr Milliseconds announceTimeout { 1000 };
    constexpr Milliseconds announcePause { 300 };
    constexpr const char* peerTopicName = "entry-vms";

    // How far one topic has been read.
    struct Cursor {
        platform::StorePartition partition_;
        std::optional<std::uint64_t> next_; ///< Nothing until the newest records have been read.
        std::vector<platform::KeyedRecord> pages_; ///< Newest records read so far.
        std::optional<std::uint64_t> pagesEnd_; ///< End of the partition when the first page was read.
        std::optional<MonotonicTime> currentAt_;
        MonotonicTime dueAt_;
        std::uint32_t failures_ = 0;
        std::uint64_t generation_ = 0; ///< Answers to reads from before `readAnew` are ignored.
        bool isBusy_ = false;
    };

    bool isSameTarget(const TargetEntry& a, const TargetEntry& b)
    {
        return a.service_ == b.service_ && a.address_ == b.address_ && a.zone_ == b.zone_
            && a.slots_ == b.slots_ && a.isLeaving_ == b.isLeaving_;
    }

    bool isSameList(const std::map<TargetId, TargetEntry>& a, const std::map<TargetId, TargetEntry>& b)
    {
        return a.size() == b.size()
            && std::equal(a.begin(), a.end(), b.begin(), [](const auto& x, const auto& y) {
                   return x.first == y.first && isSameTarget(x.second, y.second);
               });
    }

} // namespace

struct StoreFollower::Impl : std::enable_shared_from_this<StoreFollower::Impl> {
    platform::StoreClient& store_;
    StoreHealth& health_;
    FollowIntervals intervals_;
    Callbacks callbacks_;
    Cursor config_ { { platform::configTopic, 0 } };
    Cursor targets_ { { platform::targetTopic, 0 } };
    Cursor peers_ { { std::string(platform::keyedTopicPrefix) + peerTopicName, 0 } };
    std::map<VmId, PeerEntry> peerEntries_;
    std::optional<PeerEntry> own_;
    std::optional<MonotonicTime> announceAt_; ///< When the own entry is to be written.
    bool isWithdrawn_ = false;
    Sequence announcements_ { 1 };
    std::uint64_t version_ = 0;
    TargetList list_;
    std::map<TargetId, TargetEntry> told_; ///< The list as the owner knows it.
    Counter reads_ { "store_reads_total" };

    Impl(platform::StoreClient& store, StoreHealth& health, const FollowIntervals& intervals,
        Callbacks callbacks)
        : store_(store)
        , health_(health)
        , intervals_(intervals)
        , callbacks_(std::move(callbacks))
    {
    }

    bool isConfig(const Cursor& cursor) const { return &cursor == &config_; }
    bool isPeers(const Cursor& cursor) const { return &cursor == &peers_; }

    Milliseconds waitOf(const Cursor& cursor) const
    {
        if (isConfig(cursor))
            return intervals_.configWait_;
        return isPeers(cursor) ? intervals_.peersWait_ : Milliseconds { 0 };
    }

    void tick(MonotonicTime now)
    {
        for (Cursor* cursor : { &config_, &targets_, &peers_ }) {
            if (!cursor->isBusy_ && now >= cursor->dueAt_)
                read(*cursor);
        }
        if (announceAt_ && now >= *announceAt_)
            sendAnnouncement();
        if (removeMissing(list_, now))
            tellTargets();
    }

    void read(Cursor& cursor)
    {
        cursor.isBusy_ = true;
        reads_.add();
        auto weak = weak_from_this();
        std::uint64_t generation = cursor.generation_;
        if (!cursor.next_) {
            std::string after = cursor.pages_.empty() ? std::string() : cursor.pages_.back().key_;
            return store_.readNewest(cursor.partition_, after, intervals_.timeout_,
                [weak, &cursor, generation](tl::expected<platform::NewestPage, platform::StoreError> page) {
                    auto self = weak.lock();
                    if (self && cursor.generation_ == generation)
                        self->tookNewest(cursor, page);
                });
        }
        Milliseconds wait = waitOf(cursor);
        store_.readFrom(cursor.partition_, *cursor.next_, wait, wait + intervals_.timeout_,
            [weak, &cursor, generation](tl::expected<platform::RecordPage, platform::StoreError> page) {
                auto self = weak.lock();
                if (self && cursor.generation_ == generation)
                    self->tookPage(cursor, page);
            });
    }

    void tookNewest(Cursor& cursor, tl::expected<platform::NewestPage, platform::StoreError>& page)
    {
        cursor.isBusy_ = false;
        if (!page)
            return failed(cursor, page.error());
        answered(cursor);
        if (!cursor.pagesEnd_)
            cursor.pagesEnd_ = page->end_;
        std::move(page->records_.begin(), page->records_.end(), std::back_inserter(cursor.pages_));
        if (page->hasMore_ && !cursor.pages_.empty())
            return read(cursor);
        // Changes after the first page may be missing from the later ones, so reading goes on from there.
        cursor.next_ = cursor.pagesEnd_;
        auto records = std::move(cursor.pages_);
        cursor.pages_.clear();
        cursor.pagesEnd_.reset();
        current(cursor);
        if (isConfig(cursor))
            takeConfig(records);
        else if (isPeers(cursor))
            takeAllPeers(records);
        else
            takeAllTargets(records);
    }

    void tookPage(Cursor& cursor, tl::expected<platform::RecordPage, platform::StoreError>& page)
    {
        cursor.isBusy_ = false;
        if (!page)
            return failed(cursor, page.error());
        answered(cursor);
        if (page->end_ < *cursor.next_) {
            logWarning("store-history", "the store's history is shorter than what was read; it is read anew",
                { { "topic", cursor.partition_.topic_ } });
            startOver(cursor);
            return read(cursor);
        }
        bool isAtEnd = *cursor.next_ + page->records_.size() >= page->end_;
        cursor.next_ = *cursor.next_ + page->records_.size();
        if (isAtEnd)
            current(cursor);
        if (isConfig(cursor))
            takeConfig(page->records_);
        else if (isPeers(cursor))
            takePeerChanges(page->records_);
        else
            takeTargetChanges(page->records_);
        if (!isAtEnd)
            cursor.dueAt_ = bootNow();
    }

    void current(Cursor& cursor)
    {
        cursor.currentAt_ = bootNow();
        bool waitsAtStore = waitOf(cursor).count() > 0;
        cursor.dueAt_ = *cursor.currentAt_ + (waitsAtStore ? intervals_.configGap_ : intervals_.targets_);
    }

    static void startOver(Cursor& cursor)
    {
        cursor.next_.reset();
        cursor.pages_.clear();
        cursor.pagesEnd_.reset();
        cursor.dueAt_ = {};
    }

    void failed(Cursor& cursor, const platform::StoreError& error)
    {
        if (error.failure_ == platform::StoreFailure::HistoryGone) {
            logEvent("store-history-gone", { { "topic", cursor.partition_.topic_ } });
            startOver(cursor);
            return read(cursor);
        }
        // Half a set of pages may be of another age than the rest.
        cursor.pages_.clear();
        cursor.pagesEnd_.reset();
        ++cursor.failures_;
        cursor.dueAt_ = bootNow() + std::min(longestPause, shortestPause * cursor.failures_);
        logEvent("store-read-failed",
            { { "topic", cursor.partition_.topic_ }, { "status", std::to_string(error.status_) },
                { "failures", std::to_string(cursor.failures_) },
                { "age_ms",
                    cursor.currentAt_ ? std::to_string((bootNow() - *cursor.currentAt_).count())
                                      : "never" } });
        recordStoreOutcome(health_, false, cursor.partition_.topic_, error.status_, bootNow());
    }

    void answered(Cursor& cursor)
    {
        recordStoreOutcome(health_, true, cursor.partition_.topic_, 0, bootNow());
        bool hadFailed = cursor.failures_ > 0;
        cursor.failures_ = 0;
        // The other topics wait at the store, so their first answer may come long after its return.
        if (hadFailed && &cursor == &targets_)
            recordStoreReconnect(list_, bootNow());
    }

    void takeConfig(const std::vector<platform::KeyedRecord>& records)
    {
        for (const platform::KeyedRecord& record : records) {
            if (record.key_ != platform::configKey || record.value_.empty())
                continue;
            auto config = platform::decodeConfig(record.value_);
            if (!config) {
                logWarning("config-unreadable", config.error().field_ + " " + config.error().remedy_,
                    { { "in_force", std::to_string(version_) } });
                continue;
            }
            if (config->version_ <= version_)
                continue;
            version_ = config->version_;
            callbacks_.onConfig_(*config);
        }
    }

    void takeAllTargets(const std::vector<platform::KeyedRecord>& records)
    {
        std::vector<TargetEntry> entries;
        for (const platform::KeyedRecord& record : records) {
            if (auto entry = platform::decodeTarget(record.key_, record.value_))
                entries.push_back(*entry);
        }
        applyFullList(list_, entries, bootNow());
        tellTargets();
    }

    void takeTargetChanges(const std::vector<platform::KeyedRecord>& records)
    {
        for (const platform::KeyedRecord& record : records) {
            if (!record.key_.empty())
                applyTargetChange(
                    list_, { record.key_ }, platform::decodeTarget(record.key_, record.value_), bootNow());
        }
        tellTargets();
    }

    void takeAllPeers(const std::vector<platform::KeyedRecord>& records)
    {
        peerEntries_.clear();
        takePeerChanges(records);
    }

    void takePeerChanges(const std::vector<platform::KeyedRecord>& records)
    {
        for (const platform::KeyedRecord& record : records) {
            auto peer = parsePeer(record.key_, record.value_);
            if (peer)
                peerEntries_[peer->vm_] = *peer;
            else
                peerEntries_.erase({ record.key_ });
            logEvent("peer",
                { { "peer", record.key_ }, { "zone", peer ? peer->zone_.value_ : "" },
                    { "address", peer ? peer->address_ : "" }, { "state", peer ? "present" : "gone" } });
        }
        callbacks_.onPeers_(peerEntries_);
    }

    void sendAnnouncement()
    {
        announceAt_.reset();
        platform::KeyedRecord record { own_->vm_.value_, isWithdrawn_ ? std::string() : peerValue(*own_) };
        Sequence sequence = announcements_;
        store_.append(peers_.partition_, { record }, { own_->writer_, sequence }, announceTimeout,
            [weak = weak_from_this(), sequence](tl::expected<std::uint64_t, platform::StoreError> offset) {
                auto self = weak.lock();
                if (!self)
                    return;
                // A withdrawal may have come meanwhile; it goes out under the next number.
                if (offset)
                    self->announcements_ = { sequence.value_ + 1 };
                else if (!self->announceAt_)
                    self->announceAt_ = bootNow() + announcePause;
            });
    }

    // Reports come all the time; only what the owner uses of them counts as a change.
    void tellTargets()
    {
        if (isSameList(told_, list_.entries_))
            return;
        for (const auto& [id, entry] : list_.entries_) {
            auto known = told_.find(id);
            if (known == told_.end() || !isSameTarget(known->second, entry))
                logEvent("target",
                    { { "target", id.value_ }, { "service", entry.service_.value_ },
                        { "address", entry.address_ }, { "zone", entry.zone_.value_ },
                        { "state", entry.isLeaving_ ? "leaving" : "ready" } });
        }
        for (const auto& [id, entry] : told_) {
            if (!list_.entries_.count(id))
                logEvent("target", { { "target", id.value_ }, { "state", "gone" } });
        }
        told_ = list_.entries_;
        callbacks_.onTargets_(list_);
    }
};

StoreFollower::StoreFollower(
    platform::StoreClient& store, StoreHealth& health, const FollowIntervals& intervals, Callbacks callbacks)
    : impl_(std::make_shared<Impl>(store, health, intervals, std::move(callbacks)))
{
}

StoreFollower::~StoreFollower() = default;

void StoreFollower::tick(MonotonicTime now) { impl_->tick(now); }

void StoreFollower::readAnew()
{
    for (Cursor* cursor : { &impl_->config_, &impl_->targets_, &impl_->peers_ }) {
        Impl::startOver(*cursor);
        ++cursor->generation_;
        cursor->isBusy_ = false;
        cursor->currentAt_.reset();
    }
}

std::optional<Milliseconds> StoreFollower::configAge(MonotonicTime now) const
{
    if (!impl_->config_.currentAt_)
        return std::nullopt;
    return now - *impl_->config_.currentAt_;
}

void StoreFollower::announce(const PeerEntry& own)
{
    impl_->own_ = own;
    impl_->announceAt_ = bootNow();
}

void StoreFollower::withdraw()
{
    if (!impl_->own_)
        return;
    impl_->isWithdrawn_ = true;
    impl_->announceAt_ = bootNow();
}

const TargetList& StoreFollower::targets() const { return impl_->list_; }

} // namespace fescue
