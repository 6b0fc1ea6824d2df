#include "StoreFollower.h"

#include "BootClock.h"
#include "CrashRecords.h"
#include "Documents.h"
#include "EntryWriter.h"
#include "EventLog.h"
#include "Metrics.h"
#include "StoreClient.h"
#include "StoreCursor.h"
#include "TargetReportLog.h"

#include <algorithm>
#include <set>

namespace fescue {

namespace {

    constexpr Milliseconds minRetryDelay { 100 };
    constexpr Milliseconds maxRetryDelay { 500 };
    // The time until a VM sees that the store is back adds to that for which it uses targets that have left.
    constexpr Milliseconds maxTargetRetryDelay { 200 };
    constexpr Milliseconds announceTimeout { 1000 };
    constexpr Milliseconds announceRetryDelay { 300 };
    // The own entry waits this long for the first read, which shows what it replaces.
    constexpr Milliseconds maxAnnounceDelay { 300 };
    // Any number of pages leaves time for other work.
    constexpr Milliseconds pageInterval { 20 };
    constexpr Milliseconds maxRefreshTime { 1000 };
    constexpr const char* vmTopicName = "entry-vms";
    // Bounds the memory of which unreadable entries have been logged.
    constexpr std::size_t maxUnreadableLogged = 64;

} // namespace

struct StoreFollower::Impl : std::enable_shared_from_this<StoreFollower::Impl> {
    platform::StoreClient& store_;
    StoreHealth& health_;
    FollowIntervals intervals_;
    Callbacks callbacks_;
    StoreCursor config_ { { platform::configTopic, 0 } };
    StoreCursor targets_ { { platform::targetTopic, 0 } };
    StoreCursor peers_ { StoreFollower::vmPartition() };
    std::map<VmId, PeerEntry> peerEntries_;
    std::optional<PeerEntry> own_;
    std::optional<MonotonicTime> announceAt_; ///< When to write the own entry.
    bool isWithdrawn_ = false;
    bool hasReadPeers_ = false;
    EntryWriter entryWriter_;
    std::uint64_t version_ = 0;
    RouteHistory routes_;
    TargetList targetList_;
    std::map<TargetId, TargetEntry> reportedTargets_; ///< The targets as last reported to the owner.
    using OnRefreshed = std::function<void(bool isRead)>;
    std::vector<OnRefreshed> refreshes_; ///< For the current read of the targets.
    std::vector<OnRefreshed> nextRefreshes_; ///< Came during the current read, so the next one serves them.
    std::set<std::string> unreadable_; ///< Keys of logged entries of targets that could not be read.
    Counter reads_ { "store_reads_total" };
    Counter unreadableEntries_ { "target_entries_unreadable_total" };

    Impl(platform::StoreClient& store, StoreHealth& health, const FollowIntervals& intervals,
        Callbacks callbacks)
        : store_(store)
        , health_(health)
        , intervals_(intervals)
        , callbacks_(std::move(callbacks))
    {
    }

    bool isConfig(const StoreCursor& cursor) const { return &cursor == &config_; }
    bool isPeers(const StoreCursor& cursor) const { return &cursor == &peers_; }

    Milliseconds pollWaitOf(const StoreCursor& cursor) const
    {
        if (isConfig(cursor))
            return intervals_.configPollWait_;
        return isPeers(cursor) ? intervals_.peerPollWait_ : Milliseconds { 0 };
    }

    void tick(MonotonicTime now)
    {
        if (awaitsFinalRead(targetList_, now))
            targets_.dueAt_ = std::min(targets_.dueAt_, now);
        for (StoreCursor* cursor : { &config_, &targets_, &peers_ }) {
            if (!cursor->isReading_ && now >= cursor->dueAt_)
                read(*cursor);
        }
        if (announceAt_ && now >= *announceAt_)
            sendAnnouncement();
        if (removeMissing(targetList_, now))
            reportTargets();
    }

    void read(StoreCursor& cursor)
    {
        cursor.isReading_ = true;
        if (!cursor.pagesEnd_)
            cursor.startedAt_ = bootNow();
        reads_.add();
        auto weak = weak_from_this();
        std::uint64_t generation = cursor.generation_;
        if (!cursor.next_) {
            return store_.readNewest(cursor.partition_, cursor.paged_.after_, intervals_.timeout_,
                [weak, &cursor, generation](tl::expected<platform::NewestPage, platform::StoreError> page) {
                    auto self = weak.lock();
                    if (self && cursor.generation_ == generation)
                        self->onNewestPage(cursor, page);
                });
        }
        Milliseconds wait = pollWaitOf(cursor);
        store_.readFrom(cursor.partition_, *cursor.next_, 0, wait, wait + intervals_.timeout_,
            [weak, &cursor, generation](tl::expected<platform::RecordPage, platform::StoreError> page) {
                auto self = weak.lock();
                if (self && cursor.generation_ == generation)
                    self->onPage(cursor, page);
            });
    }

    void refresh(OnRefreshed done)
    {
        if (targets_.isReading_ || targets_.pagesEnd_) {
            nextRefreshes_.push_back(std::move(done));
            return;
        }
        refreshes_.push_back(std::move(done));
        read(targets_);
    }

    void endRefreshes()
    {
        std::vector<OnRefreshed> ended = std::exchange(refreshes_, std::exchange(nextRefreshes_, {}));
        if (!refreshes_.empty())
            read(targets_);
        if (!ended.empty())
            readNewConfigs([ended = std::move(ended)](bool isRead) {
                for (const OnRefreshed& done : ended)
                    done(isRead);
            });
    }

    // Reads what the long poll may not have received yet. It receives the same records and ignores them.
    void readNewConfigs(OnRefreshed done)
    {
        if (!config_.next_)
            return done(false);
        std::uint64_t from = *config_.next_;
        reads_.add();
        store_.readFrom(config_.partition_, from, 0, Milliseconds { 0 }, intervals_.timeout_,
            [weak = weak_from_this(), from, done = std::move(done), generation = config_.generation_](
                tl::expected<platform::RecordPage, platform::StoreError> page) {
                auto self = weak.lock();
                if (!self)
                    return;
                bool isAtEnd = page && self->config_.generation_ == generation
                    && from + page->records_.size() == page->end_;
                if (isAtEnd)
                    self->applyConfig(page->records_);
                done(isAtEnd);
            });
    }

    void failRefreshes()
    {
        std::vector<OnRefreshed> failed = std::exchange(refreshes_, {});
        std::move(nextRefreshes_.begin(), nextRefreshes_.end(), std::back_inserter(failed));
        nextRefreshes_.clear();
        for (const OnRefreshed& done : failed)
            done(false);
    }

    void onNewestPage(StoreCursor& cursor, tl::expected<platform::NewestPage, platform::StoreError>& page)
    {
        cursor.isReading_ = false;
        if (!page)
            return onReadFailed(cursor, page.error());
        PageOutcome outcome = takePage(cursor.paged_, *page);
        if (outcome == PageOutcome::Endless)
            return onReadFailed(cursor, { platform::StoreFailure::MalformedAnswer });
        if (!cursor.pagesEnd_)
            cursor.pagesEnd_ = page->end_;
        keepPage(cursor, page->records_);
        if (outcome == PageOutcome::More) {
            cursor.dueAt_ = bootNow() + pageInterval;
            if (&cursor == &targets_ && bootNow() - cursor.startedAt_ > maxRefreshTime)
                failRefreshes();
            return;
        }
        onReadAnswered(cursor);
        // Later pages may miss changes made after the first page, so reading continues from its end.
        cursor.next_ = cursor.pagesEnd_;
        auto records = std::move(cursor.pages_);
        auto targets = std::move(cursor.targets_);
        forgetPages(cursor);
        if (isConfig(cursor))
            applyNewestConfig(records);
        else if (isPeers(cursor))
            applyAllPeers(records);
        else
            applyAllTargets(targets);
        markCurrent(cursor);
        if (&cursor == &targets_)
            endRefreshes();
    }

    void keepPage(StoreCursor& cursor, std::vector<platform::KeyedRecord>& records)
    {
        for (platform::KeyedRecord& record : records) {
            if (&cursor != &targets_) {
                if (!isConfig(cursor) || record.key_ == platform::configKey)
                    cursor.pages_.push_back(std::move(record));
            } else if (auto entry = decodeTarget(record)) {
                cursor.targets_.push_back(std::move(*entry));
            }
        }
    }

    void onPage(StoreCursor& cursor, tl::expected<platform::RecordPage, platform::StoreError>& page)
    {
        cursor.isReading_ = false;
        if (!page)
            return onReadFailed(cursor, page.error());
        onReadAnswered(cursor);
        if (page->end_ < *cursor.next_) {
            logWarning("store-history",
                "the store's history is shorter than what was already read; reading the topic again",
                { { "topic", cursor.partition_.topic_ } });
            resetCursor(cursor);
            return read(cursor);
        }
        bool isAtEnd = *cursor.next_ + page->records_.size() >= page->end_;
        cursor.next_ = *cursor.next_ + page->records_.size();
        if (isAtEnd)
            markCurrent(cursor);
        if (isConfig(cursor))
            applyConfig(page->records_);
        else if (isPeers(cursor))
            applyVmRecords(page->records_, false);
        else
            applyTargetChanges(page->records_);
        if (!isAtEnd)
            cursor.dueAt_ = bootNow();
        else if (&cursor == &targets_)
            endRefreshes();
    }

    void markCurrent(StoreCursor& cursor)
    {
        bool isLongPoll = pollWaitOf(cursor).count() > 0;
        // The store answers a long poll when its wait ends, and other reads at once. An answer may have been
        // received before this VM was paused, so it shows the state at the start of its read.
        cursor.currentAsOf_ = isLongPoll ? bootNow() : cursor.startedAt_;
        if (&cursor == &targets_)
            markRead(targetList_, *cursor.currentAsOf_);
        cursor.dueAt_ = bootNow() + (isLongPoll ? intervals_.minPollInterval_ : intervals_.targetInterval_);
    }

    void onReadFailed(StoreCursor& cursor, const platform::StoreError& error)
    {
        // The newest records have no history, so another read of them would get the same answer.
        if (error.failure_ == platform::StoreFailure::HistoryTruncated && cursor.next_) {
            logEvent("store-history-gone", { { "topic", cursor.partition_.topic_ } });
            resetCursor(cursor);
            return read(cursor);
        }
        // Pages from before and after the failure may be inconsistent, so reading starts over.
        forgetPages(cursor);
        ++cursor.failures_;
        Milliseconds maxDelay = &cursor == &targets_ ? maxTargetRetryDelay : maxRetryDelay;
        cursor.dueAt_ = bootNow() + std::min(maxDelay, minRetryDelay * cursor.failures_);
        logEvent("store-read-failed",
            { { "topic", cursor.partition_.topic_ }, { "status", std::to_string(error.status_) },
                { "failures", std::to_string(cursor.failures_) },
                { "age_ms",
                    cursor.currentAsOf_ ? std::to_string((bootNow() - *cursor.currentAsOf_).count())
                                        : "never" } });
        recordStoreOutcome(health_, false, cursor.partition_.topic_, error.status_, bootNow());
        if (&cursor == &targets_)
            failRefreshes();
    }

    void onReadAnswered(StoreCursor& cursor)
    {
        recordStoreOutcome(health_, true, cursor.partition_.topic_, 0, bootNow());
        bool hadFailed = cursor.failures_ > 0;
        cursor.failures_ = 0;
        // Only this topic is read without a long poll, so its first answer shows at once that the store is
        // back.
        if (hadFailed && &cursor == &targets_)
            recordStoreReconnect(targetList_, intervals_.minLapse_, bootNow());
    }

    void applyConfig(const std::vector<platform::KeyedRecord>& records)
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
            recordRoutes(routes_, *config, bootNow());
            callbacks_.onConfig_(*config);
        }
    }

    // Others may have been in force in between.
    void applyNewestConfig(const std::vector<platform::KeyedRecord>& records)
    {
        std::uint64_t before = version_;
        applyConfig(records);
        if (version_ != before || !routes_.coveredSince_)
            restartCoverage(routes_, bootNow());
    }

    // Logs an entry that cannot be read once until it can be.
    std::optional<TargetEntry> decodeTarget(const platform::KeyedRecord& record)
    {
        auto entry = platform::decodeTarget(record.key_, record.value_);
        if (entry || record.value_.empty()) {
            unreadable_.erase(record.key_);
            return entry;
        }
        unreadableEntries_.add();
        if (unreadable_.size() < maxUnreadableLogged && unreadable_.insert(record.key_).second)
            logWarning("target-unreadable",
                "an entry of a target has a field that is missing, of another type or out of range; it is "
                "not used",
                { { "target", record.key_ }, { "bytes", std::to_string(record.value_.size()) },
                    { "offset", std::to_string(record.offset_) } });
        return entry;
    }

    void applyAllTargets(const std::vector<TargetEntry>& entries)
    {
        applyFullList(targetList_, entries, bootNow());
        reportTargets();
    }

    void applyTargetChanges(const std::vector<platform::KeyedRecord>& records)
    {
        for (const platform::KeyedRecord& record : records) {
            if (record.key_.empty())
                continue;
            auto entry = decodeTarget(record);
            logIgnoredReport(targetList_, { record.key_ }, entry, bootNow());
            applyTargetChange(targetList_, { record.key_ }, entry, bootNow());
        }
        reportTargets();
    }

    void applyAllPeers(const std::vector<platform::KeyedRecord>& records)
    {
        peerEntries_.clear();
        applyVmRecords(records, true);
        if (!std::exchange(hasReadPeers_, true))
            onFirstReadOfPeers();
    }

    void onPeerRemoved(const VmId& vm)
    {
        peerEntries_.erase(vm);
        // The last process of this VM may have removed its entry after this one has announced itself.
        bool isAnnounced = entryWriter_.sequence_ != Sequence { 1 } && !isWithdrawn_;
        if (isAnnounced && !announceAt_ && vm == own_->vm_)
            announceAt_ = bootNow();
    }

    // A process that ends without a drain leaves its entry behind.
    void onFirstReadOfPeers()
    {
        if (announceAt_)
            announceAt_ = bootNow();
        auto entry = own_ ? peerEntries_.find(own_->vm_) : peerEntries_.end();
        if (entry != peerEntries_.end() && entry->second.writer_ != own_->writer_)
            logEvent("predecessor",
                { { "writer", entry->second.writer_.value_ },
                    { "state", "has ended without a drain, or without the store" } });
    }

    // The topic holds the VMs' entries and the crashes that they have recorded.
    void applyVmRecords(const std::vector<platform::KeyedRecord>& records, bool isComplete)
    {
        std::vector<platform::KeyedRecord> crashes;
        for (const platform::KeyedRecord& record : records) {
            if (isCrashRecord(record.key_)) {
                crashes.push_back(record);
                continue;
            }
            auto peer = parsePeer(record.key_, record.value_);
            if (peer)
                peerEntries_[peer->vm_] = *peer;
            else
                onPeerRemoved({ record.key_ });
            logEvent("peer",
                { { "peer", record.key_ }, { "zone", peer ? peer->zone_.value_ : "" },
                    { "address", peer ? peer->address_ : "" }, { "state", peer ? "present" : "gone" } });
        }
        callbacks_.onPeers_(peerEntries_);
        if (isComplete || !crashes.empty())
            callbacks_.onCrashRecords_(crashes, isComplete);
    }

    void sendAnnouncement()
    {
        announceAt_.reset();
        platform::KeyedRecord record { own_->vm_.value_, isWithdrawn_ ? std::string() : peerValue(*own_) };
        platform::StoreWriter writer = entryWriterOf(entryWriter_, own_->writer_);
        store_.append(peers_.partition_, { record }, writer, announceTimeout,
            [weak = weak_from_this(), sequence = writer.sequence_](
                tl::expected<std::uint64_t, platform::StoreError> offset) {
                auto self = weak.lock();
                if (!self)
                    return;
                // `withdraw` may have been called meanwhile; its write uses the next sequence number.
                recordEntryWrite(self->entryWriter_, sequence, offset ? nullptr : &offset.error());
                if (!offset && !self->announceAt_)
                    self->announceAt_ = bootNow() + announceRetryDelay;
            });
    }

    // Targets report continuously; only changes to the fields that the owner uses are passed on.
    void reportTargets()
    {
        if (isSameList(reportedTargets_, targetList_.entries_))
            return;
        logTargetChanges(reportedTargets_, targetList_.entries_);
        reportedTargets_ = targetList_.entries_;
        callbacks_.onTargets_(targetList_);
    }
};

StoreFollower::StoreFollower(
    platform::StoreClient& store, StoreHealth& health, const FollowIntervals& intervals, Callbacks callbacks)
    : impl_(std::make_shared<Impl>(store, health, intervals, std::move(callbacks)))
{
}

StoreFollower::~StoreFollower() = default;

void StoreFollower::tick(MonotonicTime now) { impl_->tick(now); }

void StoreFollower::refresh(std::function<void(bool isRead)> done) { impl_->refresh(std::move(done)); }

void StoreFollower::resync()
{
    for (StoreCursor* cursor : { &impl_->config_, &impl_->targets_, &impl_->peers_ }) {
        resetCursor(*cursor);
        ++cursor->generation_;
        cursor->isReading_ = false;
        cursor->currentAsOf_.reset();
    }
}

std::optional<Milliseconds> StoreFollower::configAge(MonotonicTime now) const
{
    if (!impl_->config_.currentAsOf_)
        return std::nullopt;
    return now - *impl_->config_.currentAsOf_;
}

void StoreFollower::announce(const PeerEntry& own)
{
    impl_->own_ = own;
    impl_->announceAt_ = bootNow() + (impl_->hasReadPeers_ ? Milliseconds { 0 } : maxAnnounceDelay);
}

void StoreFollower::withdraw()
{
    if (!impl_->own_)
        return;
    impl_->isWithdrawn_ = true;
    impl_->announceAt_ = bootNow();
}

platform::StorePartition StoreFollower::vmPartition()
{
    return { std::string(platform::keyedTopicPrefix) + vmTopicName, 0 };
}

const TargetList& StoreFollower::targets() const { return impl_->targetList_; }

const RouteHistory& StoreFollower::routes() const { return impl_->routes_; }

} // namespace fescue
