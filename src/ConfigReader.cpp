#include "ConfigReader.h"

#include "EventLog.h"

#include <mutex>

namespace fescue {

namespace {

    constexpr Milliseconds longPoll { 5000 };
    constexpr Milliseconds readRetry { 500 };
    constexpr Milliseconds gapRetry { 2000 };
    constexpr Milliseconds touchPatience { 5000 };
    constexpr LogOffset beyondEnd { std::uint64_t { 1 } << 62U };

} // namespace

struct ConfigReader::Impl : std::enable_shared_from_this<ConfigReader::Impl> {
    ConfigReaderOptions options_;
    HttpClient& client_;
    OnConfig onConfig_;
    mutable std::mutex mutex_;
    std::mutex orderMutex_; ///< Keeps the calls of `onConfig_` in the order of the changes.
    ConfigPtr config_ = std::make_shared<const Config>();
    bool isReading_ = false;
    bool isGapOpen_ = false;
    bool isCaughtUp_ = false;
    bool hasFailed_ = false;
    MonotonicTime readAt_;
    MonotonicTime failedAt_;
    SnapshotPace pace_;
    bool isLooking_ = false;
    std::mt19937_64 random_;

    Impl(const ConfigReaderOptions& options, HttpClient& client, OnConfig onConfig)
        : options_(options)
        , client_(client)
        , onConfig_(std::move(onConfig))
        , random_(options.seed_)
    {
        pace_.period_ = options.snapshotPeriod_;
        scheduleLook(pace_, monotonicNow(), random_);
    }

    // Changes the configuration and tells of it, if `change` says that another one is in force.
    template <typename Change> void update(const Change& change)
    {
        std::lock_guard<std::mutex> order(orderMutex_);
        ConfigPtr changed;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            Config next = *config_;
            bool isOther = change(next);
            config_ = std::make_shared<const Config>(std::move(next));
            if (!isOther)
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
            if (isReading_ || monotonicNow() < readAt_)
                return;
            isReading_ = true;
            from = { config_->readTo_.value_ + 1 };
            // The first answer after a failure is awaited briefly, so that the log is known to be back.
            wait = isCaughtUp_ && !hasFailed_ ? longPoll : Milliseconds { 0 };
        }
        readLog(client_, options_.log_, configStream, from, wait,
            [self = shared_from_this()](
                const tl::expected<LogPage, LogError>& page) { self->pageRead(page); });
    }

    // Precondition: `isReading_`; ends the read.
    void endRead(bool hasFailed, Milliseconds pause)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        isReading_ = false;
        if (hasFailed && !hasFailed_)
            failedAt_ = monotonicNow();
        hasFailed_ = hasFailed;
        readAt_ = monotonicNow() + pause;
    }

    void pageRead(const tl::expected<LogPage, LogError>& page)
    {
        if (!page)
            return endRead(true, readRetry);
        if (isGap(page->first_))
            return findSnapshot(page->first_);
        if (!page->entries_.empty())
            update([&](Config& config) { return fold(config, *page); });
        noteEnd(page->next_);
        endRead(false, isBlocked() ? gapRetry : Milliseconds { 0 });
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

    // Precondition: the lock is held. Returns whether another configuration is in force.
    bool fold(Config& config, const LogPage& page)
    {
        LogOffset before = config.version_;
        for (const LogEntry& entry : page.entries_) {
            if (entry.offset_ <= config.readTo_ || config.blockedAt_.value_ != 0)
                continue;
            PublicationVerdict verdict = foldPublication(config, entry.offset_, entry.data_);
            logEvent(verdict.isAccepted_ ? "config_accepted" : "config_rejected",
                { { "offset", std::to_string(entry.offset_.value_) }, { "author", verdict.author_ },
                    { "detail", verdict.detail_ } });
        }
        if (config.blockedAt_.value_ != 0)
            logWarning("config_blocked",
                "the configuration goes on under rules that this software does not "
                "know; upgrade it",
                { { "offset", std::to_string(config.blockedAt_.value_) } });
        return config.version_ != before;
    }

    void noteEnd(LogOffset next)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        isGapOpen_ = false;
        isCaughtUp_ = config_->readTo_.value_ + 1 >= next.value_;
    }

    void findSnapshot(LogOffset first)
    {
        readLog(client_, options_.log_, configSnapshotStream, beyondEnd, Milliseconds { 0 },
            [self = shared_from_this(), first](const tl::expected<LogPage, LogError>& page) {
                if (!page)
                    return self->endRead(true, readRetry);
                self->trySnapshot({ page->next_.value_ - 1 }, first);
            });
    }

    void trySnapshot(LogOffset at, LogOffset first)
    {
        if (at.value_ == 0)
            return giveUpOnGap(first);
        readLog(client_, options_.log_, configSnapshotStream, at, Milliseconds { 0 },
            [self = shared_from_this(), at, first](const tl::expected<LogPage, LogError>& page) {
                if (!page)
                    return self->endRead(true, readRetry);
                if (page->entries_.empty() || page->entries_.front().offset_ != at)
                    return self->giveUpOnGap(first);
                self->snapshotRead(page->entries_.front().data_, at, first);
            });
    }

    void snapshotRead(const std::string& entry, LogOffset at, LogOffset first)
    {
        auto snapshot = parseSnapshot(entry);
        if (!snapshot || !coversGap(*config(), *snapshot, first))
            return trySnapshot({ at.value_ - 1 }, first);
        logEvent("config_snapshot_taken", { { "as_of", std::to_string(snapshot->readTo_.value_) } });
        offer(*snapshot);
        endRead(false, Milliseconds { 0 });
        read();
    }

    void giveUpOnGap(LogOffset first)
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (!isGapOpen_)
                logWarning("config_gap",
                    "the log no longer has the configuration before offset " + std::to_string(first.value_)
                        + " and no snapshot covers it; this VM waits for another VM that holds it, else "
                          "publish every section again",
                    { { "read_to", std::to_string(config_->readTo_.value_) } });
            isGapOpen_ = true;
        }
        endRead(false, gapRetry);
    }

    ConfigPtr config() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return config_;
    }

    void offer(const Config& offered)
    {
        update([&](Config& config) {
            if (offered.readTo_ <= config.readTo_)
                return false;
            bool isOther = offered.version_ != config.version_;
            config = offered;
            isGapOpen_ = false;
            return isOther;
        });
    }

    // Precondition for `mayWrite`: the lock is held.
    bool mayWrite() const
    {
        return isCaughtUp_ && !hasFailed_ && !isGapOpen_ && config_->blockedAt_.value_ == 0
            && config_->version_.value_ != 0;
    }

    void lookAtSnapshots()
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (isLooking_ || !mayWrite() || monotonicNow() < pace_.lookAt_)
                return;
            isLooking_ = true;
        }
        readLog(client_, options_.log_, configSnapshotStream, beyondEnd, Milliseconds { 0 },
            [self = shared_from_this()](
                const tl::expected<LogPage, LogError>& page) { self->snapshotsSeen(page); });
    }

    void snapshotsSeen(const tl::expected<LogPage, LogError>& page)
    {
        std::string entry;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isLooking_ = false;
            scheduleLook(pace_, monotonicNow(), random_);
            if (!page || !isSnapshotDue(pace_, page->next_) || !mayWrite())
                return;
            entry = snapshotEntry(*config_);
            pace_.next_ = { 0 };
        }
        appendToLog(client_, options_.log_, configSnapshotStream, std::move(entry),
            [self = shared_from_this()](
                const tl::expected<LogOffset, LogError>& offset) { self->snapshotWritten(offset); });
    }

    void snapshotWritten(const tl::expected<LogOffset, LogError>& offset)
    {
        if (!offset)
            return;
        logEvent("config_snapshot_written", { { "offset", std::to_string(offset->value_) } });
        std::lock_guard<std::mutex> lock(mutex_);
        pace_.next_ = { offset->value_ + 1 };
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
    impl_->lookAtSnapshots();
}

void ConfigReader::offer(const Config& config) { impl_->offer(config); }

ConfigPtr ConfigReader::config() const { return impl_->config(); }

LogOffset ConfigReader::readTo() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->config_->readTo_;
}

ConfigStanding ConfigReader::standing() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    const Impl& impl = *impl_;
    bool hasFailedLong = impl.hasFailed_ && monotonicNow() - impl.failedAt_ > touchPatience;
    return { impl.config_->version_.value_ != 0, impl.isGapOpen_, impl.config_->blockedAt_.value_ != 0,
        !hasFailedLong && impl.isCaughtUp_ };
}

} // namespace fescue
