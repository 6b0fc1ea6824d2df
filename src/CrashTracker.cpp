#include "CrashTracker.h"

#include "BootClock.h"
#include "ContentTrials.h"
#include "CrashRecords.h"
#include "EventLog.h"
#include "Metrics.h"
#include "RequestDigest.h"
#include "StoreClient.h"
#include "StoreFollower.h"

#include <algorithm>
#include <chrono>
#include <deque>

namespace fescue {

namespace {

    constexpr Milliseconds writeTimeout { 500 };
    constexpr Milliseconds minRetryDelay { 100 };
    constexpr Milliseconds maxRetryDelay { 1600 };
    constexpr std::size_t maxRecordsPerWrite = 500;
    constexpr std::size_t maxPendingRecords = 8192;
    constexpr std::size_t maxWatched = 4096;
    constexpr Milliseconds cleanupInterval { 60000 };
    // A request that crashes its targets never gets a complete answer, so a recent one clears its content.
    constexpr Milliseconds completionMemory { 30000 };
    constexpr std::size_t maxCompletions = 8192;

    Milliseconds timeOfDay()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    }

} // namespace

struct CrashTracker::Impl : std::enable_shared_from_this<CrashTracker::Impl> {
    Quarantine& quarantine_;
    platform::StoreClient& store_;
    WriterId producer_; ///< Sequence numbers of this process's own entry are counted apart.
    std::vector<EndedConnection> watched_;
    ContentTrials trials_;
    std::map<ContentDigest, MonotonicTime> completedAt_; ///< Within `completionMemory`.
    std::deque<std::pair<MonotonicTime, ContentDigest>> completions_; ///< Oldest first.
    std::map<std::string, std::string> pending_; ///< Records to write, by key.
    std::vector<platform::KeyedRecord> unconfirmed_; ///< Repeated unchanged until the store confirms them.
    std::map<std::string, Milliseconds> stored_; ///< Keys in the store and when their writer wrote them.
    Sequence sequence_ { 1 };
    std::uint32_t failures_ = 0; ///< Consecutive, of writes.
    bool isWriting_ = false;
    MonotonicTime retryAt_;
    MonotonicTime cleanUpAt_;
    Counter crashes_ { "target_crashes_total" };
    Counter withdrawn_ { "target_crashes_withdrawn_total" };
    Counter lostConnections_ { "target_connections_lost_total" };

    Impl(Quarantine& quarantine, platform::StoreClient& store, const WriterId& writer)
        : quarantine_(quarantine)
        , store_(store)
        , producer_ { writer.value_ + ".crashes" }
    {
        quarantine_.own_ = writer;
    }

    void onConnectionEnded(const EndedConnection& ended)
    {
        lostConnections_.add();
        if (watched_.size() >= maxWatched) {
            logWarning("crash-watch-full", "too many connections to targets end; check the targets' network",
                { { "target", ended.target_.value_ }, { "content", textOf(ended.digest_) } });
            return;
        }
        watched_.push_back(ended);
    }

    // The other VMs have to know what this one has recorded, or several would allow a trial.
    bool takeTrial(ContentDigest digest)
    {
        MonotonicTime now = bootNow();
        if (!isQuarantined(quarantine_, digest, now) || !pending_.empty() || !unconfirmed_.empty()
            || !fescue::takeTrial(trials_, quarantine_, digest, now))
            return false;
        logEvent("quarantine-trial",
            { { "content", textOf(digest) },
                { "reason", "several requests with this content ran at once when targets ended" } });
        return true;
    }

    void judge(const TargetList& targets, const ConnectedSince& connectedSince, MonotonicTime now)
    {
        // Thousands of connections to one target may end at a time, and it may have hundreds of others.
        std::map<TargetId, std::optional<MonotonicTime>> known;
        auto hasOlderConnection = [&](const EndedConnection& ended) {
            auto [found, isNew] = known.try_emplace(ended.target_);
            if (isNew)
                found->second = connectedSince(ended.target_);
            return found->second && *found->second < ended.at_;
        };
        std::vector<EndedConnection> undecided;
        for (EndedConnection& ended : watched_) {
            bool hasOlder = !ended.isRecorded_ && isSettled(ended, now) && hasOlderConnection(ended);
            if (!isDecided(ended, hasOlder, targets, now))
                undecided.push_back(std::move(ended));
        }
        watched_ = std::move(undecided);
    }

    bool isDecided(EndedConnection& ended, bool hasOlder, const TargetList& targets, MonotonicTime now)
    {
        ProcessState state = judgeProcess(ended, hasOlder, targets, now);
        if (state == ProcessState::Unknown)
            return false;
        if (hasCompleted(ended.digest_, now))
            return true;
        if (state == ProcessState::Running && ended.isRecorded_)
            withdraw(ended);
        if (state != ProcessState::Running && !ended.isRecorded_)
            record(ended, now);
        return state != ProcessState::PossiblyEnded;
    }

    bool hasCompleted(ContentDigest digest, MonotonicTime now) const
    {
        auto found = completedAt_.find(digest);
        return found != completedAt_.end() && now < found->second + completionMemory;
    }

    void rememberCompletion(ContentDigest digest, MonotonicTime now)
    {
        completedAt_[digest] = now;
        completions_.emplace_back(now, digest);
        while (completions_.size() > maxCompletions || completions_.front().first + completionMemory < now) {
            auto [at, oldest] = completions_.front();
            completions_.pop_front();
            auto known = completedAt_.find(oldest);
            if (known != completedAt_.end() && known->second == at)
                completedAt_.erase(known);
        }
    }

    void record(EndedConnection& ended, MonotonicTime now)
    {
        ended.isRecorded_ = true;
        crashes_.add();
        recordCrash(quarantine_, ended.digest_, crashIdOf(ended), now);
        logEvent("crash-recorded",
            { { "content", textOf(ended.digest_) }, { "target", ended.target_.value_ },
                { "crash", crashIdOf(ended).value_ }, { "age_ms", std::to_string((now - ended.at_).count()) },
                { "crashes", std::to_string(crashCount(quarantine_, ended.digest_, now)) } });
        publishOwn(ended.digest_);
    }

    void withdraw(const EndedConnection& ended)
    {
        withdrawn_.add();
        withdrawCrash(quarantine_, ended.digest_, crashIdOf(ended));
        logEvent("crash-withdrawn",
            { { "content", textOf(ended.digest_) }, { "crash", crashIdOf(ended).value_ },
                { "reason", "the target has sent another heartbeat" } });
        publishOwn(ended.digest_);
    }

    void onCompleted(ContentDigest digest)
    {
        rememberCompletion(digest, bootNow());
        trials_.contents_.erase(digest);
        watched_.erase(std::remove_if(watched_.begin(), watched_.end(),
                           [digest](const EndedConnection& ended) { return ended.digest_ == digest; }),
            watched_.end());
        clear(digest);
    }

    void clear(ContentDigest digest)
    {
        auto found = quarantine_.records_.find(digest);
        if (found == quarantine_.records_.end())
            return;
        logEvent("crashes-cleared",
            { { "content", textOf(digest) },
                { "reason", "a request with this content got a complete answer" } });
        for (const auto& [writer, crashes] : found->second.crashes_)
            write(crashRecordKey(digest, writer), "");
        clearCrashes(quarantine_, digest);
    }

    void publishOwn(ContentDigest digest)
    {
        std::set<CrashId> crashes;
        auto record = quarantine_.records_.find(digest);
        if (record != quarantine_.records_.end()) {
            auto own = record->second.crashes_.find(quarantine_.own_);
            if (own != record->second.crashes_.end())
                crashes = own->second;
        }
        write(crashRecordKey(digest, quarantine_.own_),
            crashes.empty() ? std::string() : crashRecordValue(crashes, timeOfDay()));
    }

    void write(const std::string& key, const std::string& value)
    {
        if (pending_.size() >= maxPendingRecords && !pending_.count(key)) {
            logWarning("crash-record-dropped",
                "too many records of crashes wait for the store; other VMs will not know this one",
                { { "key", key } });
            return;
        }
        pending_[key] = value;
    }

    void applyRecords(const std::vector<platform::KeyedRecord>& records, bool isComplete)
    {
        if (isComplete) {
            std::set<std::string> present;
            for (const platform::KeyedRecord& record : records)
                present.insert(record.key_);
            auto known = stored_;
            for (const auto& [key, recordedAt] : known) {
                if (!present.count(key))
                    apply(key, "");
            }
        }
        for (const platform::KeyedRecord& record : records)
            apply(record.key_, record.value_);
    }

    void apply(const std::string& key, const std::string& value)
    {
        auto stored = parseCrashRecord(key, value);
        if (!stored) {
            logWarning("crash-record-unreadable", "ignored; another program writes to the topic of the VMs",
                { { "key", key } });
            return;
        }
        if (stored->crashes_.empty())
            stored_.erase(key);
        else
            stored_[key] = stored->recordedAt_;
        // What this process has recorded is newer than what the store returns, unless another VM cleared it.
        bool isOwn = stored->writer_ == quarantine_.own_;
        if (isOwn && (!stored->crashes_.empty() || pending_.count(key) || isUnconfirmed(key)))
            return;
        if (timeOfDay() > stored->recordedAt_ + quarantine_.crashExpiry_ && !stored->crashes_.empty())
            return;
        MonotonicTime now = bootNow();
        replaceCrashes(quarantine_, stored->digest_, stored->writer_, stored->crashes_, now);
        logEvent("crash-learned",
            { { "content", textOf(stored->digest_) }, { "writer", stored->writer_.value_ },
                { "recorded", std::to_string(stored->crashes_.size()) },
                { "crashes", std::to_string(crashCount(quarantine_, stored->digest_, now)) } });
        if (hasCompleted(stored->digest_, now))
            clear(stored->digest_);
    }

    bool isUnconfirmed(const std::string& key) const
    {
        return std::any_of(unconfirmed_.begin(), unconfirmed_.end(),
            [&key](const platform::KeyedRecord& record) { return record.key_ == key; });
    }

    void sendWrites(MonotonicTime now)
    {
        if (isWriting_ || now < retryAt_)
            return;
        while (unconfirmed_.size() < maxRecordsPerWrite && !pending_.empty() && failures_ == 0) {
            auto first = pending_.begin();
            unconfirmed_.push_back({ first->first, first->second });
            pending_.erase(first);
        }
        if (unconfirmed_.empty())
            return;
        isWriting_ = true;
        store_.append(StoreFollower::vmPartition(), unconfirmed_,
            platform::StoreWriter { producer_, sequence_ }, writeTimeout,
            [weak = weak_from_this()](tl::expected<std::uint64_t, platform::StoreError> offset) {
                if (auto self = weak.lock())
                    self->onWritten(offset ? nullptr : &offset.error());
            });
    }

    void onWritten(const platform::StoreError* error)
    {
        isWriting_ = false;
        bool isOutOfSequence = error && error->failure_ == platform::StoreFailure::OutOfSequence;
        if (!error || isOutOfSequence)
            sequence_ = { sequence_.value_ + 1 };
        if (!error) {
            failures_ = 0;
            unconfirmed_.clear();
            return;
        }
        constexpr std::uint32_t maxDoublings = 4;
        retryAt_
            = bootNow() + std::min(maxRetryDelay, minRetryDelay * (1U << std::min(failures_, maxDoublings)));
        ++failures_;
        logEvent("crash-write-failed",
            { { "status", std::to_string(error->status_) }, { "failures", std::to_string(failures_) },
                { "records", std::to_string(unconfirmed_.size()) } });
    }

    // Deletes expired records, also those of processes that have ended.
    void cleanUp(MonotonicTime now)
    {
        if (now < cleanUpAt_)
            return;
        // All VMs would delete the same records; the first one spares the others.
        auto jitter = std::hash<std::string>()(quarantine_.own_.value_) % cleanupInterval.count();
        cleanUpAt_ = now + cleanupInterval + Milliseconds { static_cast<std::int64_t>(jitter) };
        Milliseconds oldest = timeOfDay() - quarantine_.crashExpiry_ - cleanupInterval;
        removeExpired(trials_, quarantine_.crashExpiry_, now);
        for (const auto& [key, recordedAt] : stored_) {
            if (recordedAt < oldest)
                write(key, "");
        }
    }

    void logChanges(const std::set<ContentDigest>& before)
    {
        for (ContentDigest digest : quarantine_.quarantined_) {
            if (!before.count(digest))
                logWarning("quarantined",
                    "a request crashes its targets and is refused; its caller must change it",
                    { { "content", textOf(digest) }, { "crashes", crashesText(digest) } });
        }
        for (ContentDigest digest : before) {
            if (!quarantine_.quarantined_.count(digest))
                logEvent("quarantine-lifted", { { "content", textOf(digest) } });
        }
    }

    std::string crashesText(ContentDigest digest) const
    {
        std::string text;
        for (const auto& [writer, crashes] : quarantine_.records_.at(digest).crashes_) {
            for (const CrashId& crash : crashes)
                text += (text.empty() ? "" : " ") + crash.value_ + " by " + writer.value_;
        }
        return text;
    }
};

CrashTracker::CrashTracker(Quarantine& quarantine, platform::StoreClient& store, const WriterId& writer)
    : impl_(std::make_shared<Impl>(quarantine, store, writer))
{
}

CrashTracker::~CrashTracker() = default;

void CrashTracker::onConnectionEnded(const EndedConnection& ended) { impl_->onConnectionEnded(ended); }

void CrashTracker::onConcurrentRuns(ContentDigest digest)
{
    recordConcurrentRuns(impl_->trials_, digest, bootNow());
}

void CrashTracker::returnTrial(ContentDigest digest)
{
    fescue::returnTrial(impl_->trials_, digest, bootNow());
}

bool CrashTracker::takeTrial(ContentDigest digest) { return impl_->takeTrial(digest); }

void CrashTracker::onCompleted(ContentDigest digest)
{
    if (!impl_->quarantine_.records_.count(digest))
        return impl_->onCompleted(digest); // Changes nothing that is quarantined.
    auto before = impl_->quarantine_.quarantined_;
    impl_->onCompleted(digest);
    impl_->logChanges(before);
}

void CrashTracker::applyRecords(const std::vector<platform::KeyedRecord>& records, bool isComplete)
{
    auto before = impl_->quarantine_.quarantined_;
    deferAttribution(impl_->quarantine_);
    impl_->applyRecords(records, isComplete);
    resumeAttribution(impl_->quarantine_);
    impl_->logChanges(before);
}

void CrashTracker::tick(const TargetList& targets, const ConnectedSince& connectedSince, MonotonicTime now)
{
    if (!impl_->watched_.empty()) {
        auto before = impl_->quarantine_.quarantined_;
        deferAttribution(impl_->quarantine_);
        impl_->judge(targets, connectedSince, now);
        resumeAttribution(impl_->quarantine_);
        impl_->logChanges(before);
    }
    impl_->sendWrites(now);
    impl_->cleanUp(now);
}

} // namespace fescue
