#include "ConfigReader.h"

#include "EventLog.h"

#include <mutex>

namespace fescue {

namespace {

    constexpr Milliseconds longPollTimeout { 5000 };
    constexpr Milliseconds readRetryDelay { 500 };
    constexpr Milliseconds gapRetryDelay { 2000 };
    constexpr Milliseconds logFailureGrace { 5000 };
    constexpr LogOffset beyondEnd { std::uint64_t { 1 } << 62U };

} // namespace

struct ConfigReader::Impl : std::enable_shared_from_this<ConfigReader::Impl> {
    ConfigReaderOptions options_;
    HttpClient& client_;
    OnConfig onConfig_;
    mutable std::mutex mutex_;
    std::mutex callbackMutex_; ///< Calls `onConfig_` in the order of the changes.
    ConfigPtr config_ = std::make_shared<const Config>();
    bool isReading_ = false;
    bool hasGap_ = false;
    bool isCaughtUp_ = false;
    bool hasFailed_ = false;
    MonotonicTime nextReadAt_;
    MonotonicTime failedAt_;
    SnapshotSchedule snapshotSchedule_;
    bool isCheckingSnapshots_ = false;
    std::mt19937_64 random_;

    Impl(const ConfigReaderOptions& options, HttpClient& client, OnConfig onConfig)
        : options_(options)
        , client_(client)
        , onConfig_(std::move(onConfig))
        , random_(options.seed_)
    {
        snapshotSchedule_.period_ = options.snapshotPeriod_;
        scheduleNextCheck(snapshotSchedule_, monotonicNow(), random_);
    }

    // Applies `change`, and calls `onConfig_` if it returns that another configuration is in force.
    template <typename Change> void update(const Change& change)
    {
        std::lock_guard<std::mutex> order(callbackMutex_);
        ConfigPtr changed;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            Config next = *config_;
            bool isChanged = change(next);
            config_ = std::make_shared<const Config>(std::move(next));
            if (!isChanged)
                return;
            changed = config_;
        }
        onConfig_(*changed);
    }

    void read()
    {
        LogOffset from;
        Milliseconds wait { 0 };
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (isReading_ || monotonicNow() < nextReadAt_)
                return;
            isReading_ = true;
            from = { config_->lastReadOffset_.value_ + 1 };
            // After a failure, read without long polling, so that recovery of the log is detected at once.
            wait = isCaughtUp_ && !hasFailed_ ? longPollTimeout : Milliseconds { 0 };
        }
        readLog(client_, options_.log_, configStream, from, wait,
            [self = shared_from_this()](
                const tl::expected<LogPage, LogError>& page) { self->onPageRead(page); });
    }

    // Precondition: `isReading_`. The next read starts after `delay`.
    void endRead(bool hasFailed, Milliseconds delay)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        isReading_ = false;
        if (hasFailed && !hasFailed_)
            failedAt_ = monotonicNow();
        hasFailed_ = hasFailed;
        nextReadAt_ = monotonicNow() + delay;
    }

    void onPageRead(const tl::expected<LogPage, LogError>& page)
    {
        if (!page)
            return endRead(true, readRetryDelay);
        if (isGap(page->first_))
            return findSnapshot(page->first_);
        if (!page->entries_.empty())
            update([&](Config& config) { return applyPage(config, *page); });
        updateCaughtUp(page->next_);
        endRead(false, isBlocked() ? gapRetryDelay : Milliseconds { 0 });
        read();
    }

    bool isBlocked() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return config_->blockedAt_.value_ != 0;
    }

    bool isGap(LogOffset first)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return hasGap(*config_, first);
    }

    // Precondition: `mutex_` is held. Returns whether another configuration is in force.
    bool applyPage(Config& config, const LogPage& page)
    {
        LogOffset before = config.version_;
        for (const LogEntry& entry : page.entries_) {
            if (entry.offset_ <= config.lastReadOffset_ || config.blockedAt_.value_ != 0)
                continue;
            PublicationVerdict verdict = applyPublication(config, entry.offset_, entry.data_);
            logEvent(verdict.isAccepted_ ? "config_accepted" : "config_rejected",
                { { "offset", std::to_string(entry.offset_.value_) }, { "author", verdict.author_ },
                    { "detail", verdict.detail_ } });
        }
        if (config.blockedAt_.value_ != 0)
            logWarning("config_blocked",
                "the configuration requires rules that this software does not support; upgrade it",
                { { "offset", std::to_string(config.blockedAt_.value_) } });
        return config.version_ != before;
    }

    void updateCaughtUp(LogOffset next)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        hasGap_ = false;
        isCaughtUp_ = config_->lastReadOffset_.value_ + 1 >= next.value_;
    }

    void findSnapshot(LogOffset first)
    {
        readLog(client_, options_.log_, configSnapshotStream, beyondEnd, Milliseconds { 0 },
            [self = shared_from_this(), first](const tl::expected<LogPage, LogError>& page) {
                if (!page)
                    return self->endRead(true, readRetryDelay);
                self->trySnapshot({ page->next_.value_ - 1 }, first);
            });
    }

    void trySnapshot(LogOffset at, LogOffset first)
    {
        if (at.value_ == 0)
            return reportGap(first);
        readLog(client_, options_.log_, configSnapshotStream, at, Milliseconds { 0 },
            [self = shared_from_this(), at, first](const tl::expected<LogPage, LogError>& page) {
                if (!page)
                    return self->endRead(true, readRetryDelay);
                if (page->entries_.empty() || page->entries_.front().offset_ != at)
                    return self->reportGap(first);
                self->onSnapshotRead(page->entries_.front().data_, at, first);
            });
    }

    void onSnapshotRead(const std::string& entry, LogOffset at, LogOffset first)
    {
        auto snapshot = parseSnapshot(entry);
        if (!snapshot || !coversGap(*config(), *snapshot, first))
            return trySnapshot({ at.value_ - 1 }, first);
        logEvent("config_snapshot_taken", { { "as_of", std::to_string(snapshot->lastReadOffset_.value_) } });
        offer(*snapshot);
        endRead(false, Milliseconds { 0 });
        read();
    }

    void reportGap(LogOffset first)
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (!hasGap_)
                logWarning("config_gap",
                    "the log no longer contains the configuration before offset "
                        + std::to_string(first.value_)
                        + " and no snapshot covers it; this VM waits until another VM provides it; if none "
                          "can, publish every section again",
                    { { "read_to", std::to_string(config_->lastReadOffset_.value_) } });
            hasGap_ = true;
        }
        endRead(false, gapRetryDelay);
    }

    ConfigPtr config() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return config_;
    }

    void offer(const Config& offered)
    {
        update([&](Config& config) {
            if (offered.lastReadOffset_ <= config.lastReadOffset_)
                return false;
            bool isChanged = offered.version_ != config.version_;
            config = offered;
            hasGap_ = false;
            return isChanged;
        });
    }

    // Precondition: `mutex_` is held.
    bool canWriteSnapshot() const
    {
        return isCaughtUp_ && !hasFailed_ && !hasGap_ && config_->blockedAt_.value_ == 0
            && config_->version_.value_ != 0;
    }

    void checkSnapshots()
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (isCheckingSnapshots_ || !canWriteSnapshot()
                || monotonicNow() < snapshotSchedule_.nextCheckAt_)
                return;
            isCheckingSnapshots_ = true;
        }
        readLog(client_, options_.log_, configSnapshotStream, beyondEnd, Milliseconds { 0 },
            [self = shared_from_this()](
                const tl::expected<LogPage, LogError>& page) { self->onSnapshotsChecked(page); });
    }

    void onSnapshotsChecked(const tl::expected<LogPage, LogError>& page)
    {
        std::string entry;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isCheckingSnapshots_ = false;
            scheduleNextCheck(snapshotSchedule_, monotonicNow(), random_);
            if (!page || !isSnapshotDue(snapshotSchedule_, page->next_) || !canWriteSnapshot())
                return;
            entry = snapshotEntry(*config_);
            snapshotSchedule_.seenEnd_ = { 0 };
        }
        appendToLog(client_, options_.log_, configSnapshotStream, std::move(entry),
            [self = shared_from_this()](
                const tl::expected<LogOffset, LogError>& offset) { self->onSnapshotWritten(offset); });
    }

    void onSnapshotWritten(const tl::expected<LogOffset, LogError>& offset)
    {
        if (!offset)
            return;
        logEvent("config_snapshot_written", { { "offset", std::to_string(offset->value_) } });
        std::lock_guard<std::mutex> lock(mutex_);
        snapshotSchedule_.seenEnd_ = { offset->value_ + 1 };
    }
};

ConfigReader::ConfigReader(const ConfigReaderOptions& options, HttpClient& client, OnConfig onConfig)
    : impl_(std::make_shared<Impl>(options, client, std::move(onConfig)))
{
}

ConfigReader::~ConfigReader() = default;

void ConfigReader::tick()
{
    impl_->read();
    impl_->checkSnapshots();
}

void ConfigReader::offer(const Config& config) { impl_->offer(config); }

ConfigPtr ConfigReader::config() const { return impl_->config(); }

LogOffset ConfigReader::lastReadOffset() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->config_->lastReadOffset_;
}

ConfigStatus ConfigReader::status() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    const Impl& impl = *impl_;
    bool hasFailedLong = impl.hasFailed_ && monotonicNow() - impl.failedAt_ > logFailureGrace;
    return { impl.config_->version_.value_ != 0, impl.hasGap_, impl.config_->blockedAt_.value_ != 0,
        !hasFailedLong && impl.isCaughtUp_ };
}

} // namespace fescue
