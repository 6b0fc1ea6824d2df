#include "TurnArchive.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <xxhash.h>

namespace fescue {

namespace {

    // The store has at most 100 topics; more topics make reads smaller.
    constexpr std::uint64_t topicCount = 48;
    constexpr const char* storeUser = "turns"; // In logs.
    // Expired records are deleted with the next write to their partition, or alone after this time.
    constexpr Milliseconds maxDeletionDelay { 60000 };
    constexpr Milliseconds deletionInterval { 250 };

    std::string hashOf(const AttemptId& id)
    {
        XXH128_hash_t hash = XXH3_128bits(id.value_.data(), id.value_.size());
        return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
    }

    std::string writerTag(const WriterId& writer)
    {
        return fmt::format("{:016x}", XXH64(writer.value_.data(), writer.value_.size(), 0));
    }

    // A record to be deleted.
    struct Expiry {
        MonotonicTime at_;
        std::string key_;
    };

    // A write or a read that is queued or in flight.
    struct ArchiveCall {
        AttemptId turn_;
        std::string hash_;
        platform::StorePartition partition_;
        platform::KeyedRecord record_; ///< Of a write.
        Milliseconds life_ { 0 }; ///< Of a write.
        MonotonicTime deadline_;
        TurnArchive::OnWritten onWritten_; ///< Of a write.
        TurnArchive::OnRead onRead_; ///< Of a read.
        std::uint32_t attempts_ = 0;
    };
    using ArchiveCallPtr = std::shared_ptr<ArchiveCall>;

} // namespace

struct TurnArchive::Impl : std::enable_shared_from_this<TurnArchive::Impl> {
    PacedStore& store_;
    TurnArchiveOptions options_;
    std::string writerTag_;
    std::uint64_t lastId_ = 0;
    std::uint64_t lastKey_ = 0;
    std::map<std::uint64_t, ArchiveCallPtr> open_; ///< Queued or in flight.
    std::deque<std::uint64_t> queue_;
    std::map<platform::StorePartition, std::deque<Expiry>> expiries_; ///< Of own records, oldest first.
    std::size_t records_ = 0;
    MonotonicTime nextDeletionAt_;
    Counter writes_ { "turn_writes_total" };
    Counter reads_ { "turn_reads_total" };
    Counter deleted_ { "turn_records_deleted_total" };

    Impl(PacedStore& store, const TurnArchiveOptions& options)
        : store_(store)
        , options_(options)
        , writerTag_(writerTag(options.writer_))
    {
    }

    ArchiveCallPtr makeCall(const AttemptId& turn, MonotonicTime deadline) const
    {
        auto call = std::make_shared<ArchiveCall>();
        call->turn_ = turn;
        call->hash_ = hashOf(turn);
        std::uint64_t hash = XXH64(turn.value_.data(), turn.value_.size(), 0);
        call->partition_ = { fmt::format("{}turns-{}", platform::keyedTopicPrefix, hash % topicCount),
            static_cast<std::uint32_t>(hash / topicCount % options_.partitions_) };
        call->deadline_ = deadline;
        return call;
    }

    std::uint64_t enqueue(ArchiveCallPtr call)
    {
        std::uint64_t id = ++lastId_;
        open_[id] = std::move(call);
        queue_.push_back(id);
        sendQueued();
        return id;
    }

    void sendQueued()
    {
        while (!queue_.empty() && store_.canCall()) {
            std::uint64_t id = queue_.front();
            queue_.pop_front();
            auto found = open_.find(id);
            if (found == open_.end())
                continue; // Cancelled or past its deadline.
            ++found->second->attempts_;
            if (found->second->onRead_)
                sendRead(id, found->second);
            else
                sendWrite(id, found->second);
        }
    }

    void sendWrite(std::uint64_t id, const ArchiveCallPtr& call)
    {
        writes_.add();
        if (call->attempts_ == 1)
            recordExpiry(*call);
        std::vector<platform::KeyedRecord> records { call->record_ };
        auto deletions = addDeletions(call->partition_, bootNow(), records);
        store_.append(call->partition_, records, std::nullopt, storeUser,
            [weak = weak_from_this(), id, call, deletions = std::move(deletions)](
                tl::expected<std::uint64_t, platform::StoreError> offset) {
                auto self = weak.lock();
                if (!self)
                    return;
                if (!offset)
                    return self->requeue(id, call, offset.error());
                self->recordDeleted(call->partition_, deletions);
                if (self->open_.erase(id) > 0)
                    call->onWritten_(true);
            });
    }

    // Adds deletions of the partition's expired records. Returns their keys.
    std::vector<std::string> addDeletions(const platform::StorePartition& partition, MonotonicTime now,
        std::vector<platform::KeyedRecord>& records) const
    {
        std::vector<std::string> keys;
        auto expiries = expiries_.find(partition);
        if (expiries == expiries_.end())
            return keys;
        for (const Expiry& expiry : expiries->second) {
            if (now < expiry.at_)
                break;
            records.push_back({ expiry.key_, {} });
            keys.push_back(expiry.key_);
        }
        return keys;
    }

    void recordDeleted(const platform::StorePartition& partition, const std::vector<std::string>& keys)
    {
        auto expiries = expiries_.find(partition);
        if (keys.empty() || expiries == expiries_.end())
            return;
        auto& list = expiries->second;
        auto kept = std::remove_if(list.begin(), list.end(), [&keys](const Expiry& expiry) {
            return std::find(keys.begin(), keys.end(), expiry.key_) != keys.end();
        });
        auto count = static_cast<std::size_t>(std::distance(kept, list.end()));
        list.erase(kept, list.end());
        if (list.empty())
            expiries_.erase(expiries);
        records_ -= count;
        deleted_.add(count);
    }

    // Also if the write fails, since the store may apply it later.
    void recordExpiry(const ArchiveCall& call)
    {
        auto& expiries = expiries_[call.partition_];
        Expiry expiry { bootNow() + call.life_, call.record_.key_ };
        auto at = std::upper_bound(expiries.begin(), expiries.end(), expiry,
            [](const Expiry& a, const Expiry& b) { return a.at_ < b.at_; });
        expiries.insert(at, std::move(expiry));
        ++records_;
    }

    void requeue(std::uint64_t id, const ArchiveCallPtr& call, const platform::StoreError& error)
    {
        if (!open_.count(id))
            return;
        logEvent("turn-call-failed",
            { { "turn", call->turn_.value_ }, { "call", call->onRead_ ? "read" : "write" },
                { "status", std::to_string(error.status_) },
                { "attempts", std::to_string(call->attempts_) } });
        queue_.push_front(id);
    }

    void sendRead(std::uint64_t id, const ArchiveCallPtr& call)
    {
        reads_.add();
        // Sorts before all keys of this turn and after those of all smaller hashes.
        store_.readNewest(call->partition_, call->hash_, storeUser,
            [weak = weak_from_this(), id, call](
                const tl::expected<platform::NewestPage, platform::StoreError>& page) {
                auto self = weak.lock();
                if (!self || !self->open_.count(id))
                    return;
                if (!page)
                    return self->requeue(id, call, page.error());
                self->open_.erase(id);
                KeptTurnPtr turn = findIn(*page, *call);
                call->onRead_(turn ? ChainStatus::Found : ChainStatus::Absent, turn);
            });
    }

    static KeptTurnPtr findIn(const platform::NewestPage& page, const ArchiveCall& call)
    {
        for (const platform::KeyedRecord& record : page.records_) {
            if (record.key_.compare(0, call.hash_.size(), call.hash_) != 0)
                continue;
            auto turn = parseKeptTurn(record.value_);
            if (turn && turn->id_ == call.turn_)
                return std::make_shared<KeptTurn>(std::move(*turn));
        }
        return nullptr;
    }

    void failOverdue(MonotonicTime now)
    {
        std::vector<ArchiveCallPtr> overdue;
        for (auto call = open_.begin(); call != open_.end();) {
            if (now < call->second->deadline_) {
                ++call;
                continue;
            }
            overdue.push_back(std::move(call->second));
            call = open_.erase(call);
        }
        for (const ArchiveCallPtr& call : overdue) {
            if (call->onRead_)
                call->onRead_(ChainStatus::Unknown, nullptr);
            else
                call->onWritten_(false);
        }
    }

    // Deletes expired records of one partition that has had no write for long.
    void deleteExpired(MonotonicTime now)
    {
        if (now < nextDeletionAt_ || !store_.canCall() || store_.isFailing())
            return;
        nextDeletionAt_ = now + deletionInterval;
        auto overdue = std::find_if(expiries_.begin(), expiries_.end(),
            [now](const auto& entry) { return now >= entry.second.front().at_ + maxDeletionDelay; });
        if (overdue == expiries_.end())
            return;
        std::vector<platform::KeyedRecord> records;
        auto deletions = addDeletions(overdue->first, now, records);
        store_.append(overdue->first, records, std::nullopt, storeUser,
            [weak = weak_from_this(), partition = overdue->first, deletions = std::move(deletions)](
                tl::expected<std::uint64_t, platform::StoreError> offset) {
                auto self = weak.lock();
                if (self && offset)
                    self->recordDeleted(partition, deletions);
            });
    }
};

TurnArchive::TurnArchive(PacedStore& store, const TurnArchiveOptions& options)
    : impl_(std::make_shared<Impl>(store, options))
{
    store.onCallEnded([weak = std::weak_ptr(impl_)] {
        if (auto self = weak.lock())
            self->sendQueued();
    });
}

TurnArchive::~TurnArchive() = default;

TurnArchive::WriteId TurnArchive::write(
    const KeptTurnPtr& turn, Milliseconds life, MonotonicTime deadline, OnWritten done)
{
    auto call = impl_->makeCall(turn->id_, deadline);
    call->record_
        = { fmt::format("{}.{}.{:x}", call->hash_, impl_->writerTag_, ++impl_->lastKey_), encode(*turn) };
    call->life_ = life;
    call->onWritten_ = std::move(done);
    return { impl_->enqueue(std::move(call)) };
}

void TurnArchive::cancel(WriteId write) { impl_->open_.erase(write.value_); }

void TurnArchive::read(const AttemptId& id, MonotonicTime deadline, OnRead done)
{
    auto call = impl_->makeCall(id, deadline);
    call->onRead_ = std::move(done);
    impl_->enqueue(std::move(call));
}

void TurnArchive::tick(MonotonicTime now)
{
    impl_->failOverdue(now);
    impl_->sendQueued();
    impl_->deleteExpired(now);
}

std::size_t TurnArchive::pendingWrites() const
{
    return static_cast<std::size_t>(std::count_if(
        impl_->open_.begin(), impl_->open_.end(), [](const auto& entry) { return !entry.second->onRead_; }));
}

std::size_t TurnArchive::records() const { return impl_->records_; }

} // namespace fescue
