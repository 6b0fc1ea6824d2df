#include "TurnArchive.h"

#include "AppendLane.h"
#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <deque>
#include <fmt/format.h>
#include <xxhash.h>

namespace fescue {

namespace {

    constexpr const char* topicName = "turns";
    // Pointers sort after turns.
    constexpr const char* turnPrefix = "d";
    constexpr const char* pointerPrefix = "t";
    constexpr std::size_t maxBatchBytes = 512 * 1024;
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

    // The key of the write before that of a key, which ends with its number. Precondition: it is positive.
    std::string keyBefore(std::string key)
    {
        for (auto digit = key.rbegin(); digit != key.rend(); ++digit) {
            if (*digit != '0') {
                *digit = *digit == 'a' ? '9' : static_cast<char>(*digit - 1);
                break;
            }
            *digit = 'f';
        }
        return key;
    }

    // A record to be deleted.
    struct Expiry {
        MonotonicTime at_;
        std::string turnKey_;
        std::string pointerKey_;
    };

    // Where a record of a turn is.
    struct Location {
        std::uint64_t offset_ = 0;
        std::uint64_t bytes_ = 0;
        std::string key_;
    };

    // A write or a read that is queued or in flight.
    struct ArchiveCall {
        AttemptId turn_;
        platform::StorePartition partition_;
        std::string pointerKey_; ///< Of a read, all keys of pointers to the turn begin with it.
        std::string turnKey_; ///< Of a write.
        std::string value_; ///< Of a write.
        Milliseconds life_ { 0 }; ///< Of a write.
        MonotonicTime deadline_;
        TurnArchive::OnWritten onWritten_; ///< Of a write.
        TurnArchive::OnRead onRead_; ///< Of a read.
        std::vector<Location> locations_; ///< Of a read, where the turn may be.
        bool isReadByKey_ = false; ///< Of a read; the store has dropped its history.
        std::uint32_t attempts_ = 0;
    };
    using ArchiveCallPtr = std::shared_ptr<ArchiveCall>;
    using Batch = std::vector<std::pair<std::uint64_t, ArchiveCallPtr>>;

    // The writes to one partition.
    struct Lane {
        std::deque<std::uint64_t> queue_;
        std::deque<Expiry> expiries_; ///< Of own records, earliest first.
        AppendLane appends_;
    };

} // namespace

struct TurnArchive::Impl : std::enable_shared_from_this<TurnArchive::Impl> {
    PacedStore& store_;
    TurnArchiveOptions options_;
    std::string writerTag_;
    std::uint64_t lastId_ = 0;
    std::uint64_t lastKey_ = 0;
    std::map<std::uint64_t, ArchiveCallPtr> open_; ///< Queued or in flight.
    std::deque<std::uint64_t> reads_;
    std::map<platform::StorePartition, Lane> lanes_;
    asio::steady_timer timer_; ///< For the next append of a lane.
    std::size_t records_ = 0;
    MonotonicTime nextDeletionAt_;
    Counter writeCalls_ { "turn_writes_total" };
    Counter readCalls_ { "turn_reads_total" };
    Counter deleted_ { "turn_records_deleted_total" };

    Impl(asio::io_context& io, PacedStore& store, const TurnArchiveOptions& options)
        : store_(store)
        , options_(options)
        , writerTag_(writerTag(options.writer_))
        , timer_(io)
    {
    }

    platform::StorePartition partitionOf(const AttemptId& turn) const
    {
        std::uint64_t hash = XXH64(turn.value_.data(), turn.value_.size(), 0);
        return { std::string(platform::keyedTopicPrefix) + topicName,
            static_cast<std::uint32_t>(hash % options_.partitions_) };
    }

    ArchiveCallPtr makeCall(const AttemptId& turn, MonotonicTime deadline) const
    {
        auto call = std::make_shared<ArchiveCall>();
        call->turn_ = turn;
        call->pointerKey_ = pointerPrefix + hashOf(turn);
        call->partition_ = partitionOf(turn);
        call->deadline_ = deadline;
        return call;
    }

    std::uint64_t enqueue(ArchiveCallPtr call)
    {
        std::uint64_t id = ++lastId_;
        (call->onRead_ ? reads_ : lanes_[call->partition_].queue_).push_back(id);
        open_[id] = std::move(call);
        sendQueued();
        return id;
    }

    void sendQueued()
    {
        while (!reads_.empty() && store_.canCall()) {
            std::uint64_t id = reads_.front();
            reads_.pop_front();
            auto found = open_.find(id);
            if (found != open_.end()) // Otherwise its deadline has passed.
                sendRead(id, found->second);
        }
        std::optional<MonotonicTime> next;
        for (auto& [partition, lane] : lanes_) {
            if (lane.queue_.empty() || !hasRoom(lane.appends_))
                continue;
            if (canAppend(lane.appends_, bootNow()) && store_.canCall())
                sendBatch(partition, lane);
            else
                next = std::min(next.value_or(lane.appends_.nextAt_), lane.appends_.nextAt_);
        }
        if (next)
            sendAt(*next);
    }

    // Calls that wait for the throttle are sent when other calls end, or by `tick`.
    void sendAt(MonotonicTime time)
    {
        if (time <= bootNow())
            return;
        timer_.expires_after(time - bootNow());
        timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            auto self = weak.lock();
            if (self && !error)
                self->sendQueued();
        });
    }

    void sendBatch(const platform::StorePartition& partition, Lane& lane)
    {
        Batch batch;
        std::size_t bytes = 0;
        while (!lane.queue_.empty() && bytes < maxBatchBytes) {
            std::uint64_t id = lane.queue_.front();
            lane.queue_.pop_front();
            auto found = open_.find(id);
            if (found == open_.end())
                continue; // Cancelled, or past its deadline.
            const ArchiveCallPtr& call = found->second;
            if (++call->attempts_ == 1)
                recordExpiry(lane, *call);
            bytes += call->value_.size();
            batch.emplace_back(id, call);
        }
        if (batch.empty())
            return;
        std::vector<platform::KeyedRecord> records = recordsOf(batch);
        auto deletions = addDeletions(lane, bootNow(), records);
        append(partition, lane, records,
            [this, partition, batch = std::move(batch), deletions = std::move(deletions)](
                const platform::StoreError* error) { handleAppended(partition, batch, deletions, error); });
    }

    // The turns, and then in the same order the pointers to them.
    static std::vector<platform::KeyedRecord> recordsOf(const Batch& batch)
    {
        constexpr std::size_t headBytes = 5; // Of a record: its length, and that of its key.
        std::vector<platform::KeyedRecord> records;
        for (const auto& [id, call] : batch)
            records.push_back({ call->turnKey_, call->value_ });
        for (const auto& [id, call] : batch) {
            std::size_t bytes = headBytes + call->turnKey_.size() + call->value_.size();
            records.push_back(
                { call->pointerKey_, encode(TurnPointer { batch.size(), bytes, call->turnKey_ }) });
        }
        return records;
    }

    // Precondition: the store can be called. `done` gets null after a success.
    void append(const platform::StorePartition& partition, Lane& lane,
        const std::vector<platform::KeyedRecord>& records,
        std::function<void(const platform::StoreError*)> done)
    {
        writeCalls_.add();
        onAppendStarted(lane.appends_, bootNow());
        store_.append(partition, records, std::nullopt, storeUser,
            [weak = weak_from_this(), partition, done = std::move(done)](
                tl::expected<std::uint64_t, platform::StoreError> offset) {
                auto self = weak.lock();
                if (!self)
                    return;
                onAppendEnded(self->lanes_[partition].appends_);
                done(offset ? nullptr : &offset.error());
            });
    }

    void handleAppended(const platform::StorePartition& partition, const Batch& batch,
        const std::vector<std::string>& deletions, const platform::StoreError* error)
    {
        Lane& lane = lanes_[partition];
        if (error) {
            // In their order, before those that came later.
            for (auto entry = batch.rbegin(); entry != batch.rend(); ++entry) {
                logFailure(*entry->second, *error);
                lane.queue_.push_front(entry->first);
            }
            return;
        }
        recordDeleted(lane, deletions);
        for (const auto& [id, call] : batch) {
            if (open_.erase(id) > 0)
                call->onWritten_(true);
        }
    }

    static void logFailure(const ArchiveCall& call, const platform::StoreError& error)
    {
        logEvent("turn-call-failed",
            { { "turn", call.turn_.value_ }, { "call", call.onRead_ ? "read" : "write" },
                { "status", std::to_string(error.status_) },
                { "attempts", std::to_string(call.attempts_) } });
    }

    // Adds deletions of the lane's expired records. Returns the keys of the turns.
    static std::vector<std::string> addDeletions(
        const Lane& lane, MonotonicTime now, std::vector<platform::KeyedRecord>& records)
    {
        std::vector<std::string> keys;
        for (const Expiry& expiry : lane.expiries_) {
            if (now < expiry.at_)
                break;
            records.push_back({ expiry.turnKey_, {} });
            records.push_back({ expiry.pointerKey_, {} });
            keys.push_back(expiry.turnKey_);
        }
        return keys;
    }

    void recordDeleted(Lane& lane, const std::vector<std::string>& keys)
    {
        // What was deleted has expired, so it is at the front.
        auto expiredEnd = std::find_if(lane.expiries_.begin(), lane.expiries_.end(),
            [now = bootNow()](const Expiry& expiry) { return now < expiry.at_; });
        auto kept = std::remove_if(lane.expiries_.begin(), expiredEnd, [&keys](const Expiry& expiry) {
            return std::find(keys.begin(), keys.end(), expiry.turnKey_) != keys.end();
        });
        auto count = static_cast<std::size_t>(std::distance(kept, expiredEnd));
        lane.expiries_.erase(kept, expiredEnd);
        records_ -= count;
        deleted_.add(count);
    }

    // Also if the write fails, since the store may apply it later.
    void recordExpiry(Lane& lane, const ArchiveCall& call)
    {
        Expiry expiry { bootNow() + call.life_, call.turnKey_, call.pointerKey_ };
        auto at = std::upper_bound(lane.expiries_.begin(), lane.expiries_.end(), expiry,
            [](const Expiry& a, const Expiry& b) { return a.at_ < b.at_; });
        lane.expiries_.insert(at, std::move(expiry));
        ++records_;
    }

    // The callback of either read of a turn's record.
    auto onRecords(std::uint64_t id, const ArchiveCallPtr& call)
    {
        return [weak = weak_from_this(), id, call](const auto& page) {
            if (auto self = weak.lock())
                self->handleRead(id, call, page ? &page->records_ : nullptr, page ? nullptr : &page.error());
        };
    }

    void sendRead(std::uint64_t id, const ArchiveCallPtr& call)
    {
        readCalls_.add();
        ++call->attempts_;
        if (call->locations_.empty())
            return readPointers(id, call);
        if (call->isReadByKey_)
            return readByKey(id, call);
        const Location& location = call->locations_.back();
        store_.readFrom(call->partition_, location.offset_, location.bytes_, storeUser, onRecords(id, call));
    }

    void readPointers(std::uint64_t id, const ArchiveCallPtr& call)
    {
        // Sorts before all pointers to this turn and after those to turns with smaller hashes.
        store_.readNewest(call->partition_, call->pointerKey_, storeUser,
            [weak = weak_from_this(), id, call](
                const tl::expected<platform::NewestPage, platform::StoreError>& page) {
                auto self = weak.lock();
                if (!self || !self->open_.count(id))
                    return;
                if (!page)
                    return self->readAgain(id, call, page.error());
                for (const platform::KeyedRecord& record : page->records_)
                    addLocation(*call, record);
                if (call->locations_.empty())
                    return self->finishRead(id, call, ChainStatus::Absent, nullptr);
                self->reads_.push_front(id);
            });
    }

    static void addLocation(ArchiveCall& call, const platform::KeyedRecord& record)
    {
        if (record.key_.compare(0, call.pointerKey_.size(), call.pointerKey_) != 0)
            return;
        auto pointer = parseTurnPointer(record.value_);
        if (pointer && pointer->distance_ <= record.offset_)
            call.locations_.push_back(
                { record.offset_ - pointer->distance_, pointer->bytes_, std::move(pointer->key_) });
    }

    void readByKey(std::uint64_t id, const ArchiveCallPtr& call)
    {
        // The page begins after that key, so with the record.
        store_.readNewest(
            call->partition_, keyBefore(call->locations_.back().key_), storeUser, onRecords(id, call));
    }

    void handleRead(std::uint64_t id, const ArchiveCallPtr& call,
        const std::vector<platform::KeyedRecord>* records, const platform::StoreError* error)
    {
        if (!open_.count(id))
            return;
        if (error && error->failure_ == platform::StoreFailure::HistoryTruncated && !call->isReadByKey_) {
            call->isReadByKey_ = true;
            reads_.push_front(id);
            return;
        }
        if (error)
            return readAgain(id, call, *error);
        for (const platform::KeyedRecord& record : *records) {
            if (record.key_ != call->locations_.back().key_)
                continue;
            auto turn = parseKeptTurn(record.value_);
            if (turn && turn->id_ == call->turn_)
                return finishRead(id, call, ChainStatus::Found, std::make_shared<KeptTurn>(std::move(*turn)));
        }
        // Another turn with the same hash, or one that was deleted meanwhile.
        call->locations_.pop_back();
        if (call->locations_.empty())
            return finishRead(id, call, ChainStatus::Unknown, nullptr);
        reads_.push_front(id);
    }

    void readAgain(std::uint64_t id, const ArchiveCallPtr& call, const platform::StoreError& error)
    {
        logFailure(*call, error);
        reads_.push_front(id);
    }

    void finishRead(std::uint64_t id, const ArchiveCallPtr& call, ChainStatus status, const KeptTurnPtr& turn)
    {
        open_.erase(id);
        call->onRead_(status, turn);
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
        auto overdue = std::find_if(lanes_.begin(), lanes_.end(), [now](const auto& entry) {
            const auto& expiries = entry.second.expiries_;
            return !expiries.empty() && now >= expiries.front().at_ + maxDeletionDelay;
        });
        if (overdue == lanes_.end())
            return;
        std::vector<platform::KeyedRecord> records;
        auto deletions = addDeletions(overdue->second, now, records);
        append(overdue->first, overdue->second, records,
            [this, partition = overdue->first, deletions = std::move(deletions)](
                const platform::StoreError* error) {
                if (!error)
                    recordDeleted(lanes_[partition], deletions);
            });
    }
};

TurnArchive::TurnArchive(asio::io_context& io, PacedStore& store, const TurnArchiveOptions& options)
    : impl_(std::make_shared<Impl>(io, store, options))
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
    std::string write = fmt::format("{}.{:016x}", impl_->writerTag_, ++impl_->lastKey_);
    call->turnKey_ = turnPrefix + write;
    call->pointerKey_ += "." + write;
    call->value_ = encode(*turn);
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

std::string TurnArchive::partitionOf(const AttemptId& turn) const
{
    auto partition = impl_->partitionOf(turn);
    return fmt::format("{}/{}", partition.topic_, partition.index_);
}

std::size_t TurnArchive::records() const { return impl_->records_; }

} // namespace fescue
