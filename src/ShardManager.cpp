#include "ShardManager.h"

#include "AdmitCall.h"
#include "EventLog.h"
#include "LedgerSnapshot.h"
#include "Metrics.h"
#include "RecordEvents.h"
#include "ShardLog.h"

#include <map>
#include <mutex>

namespace fescue {

namespace {

    constexpr Milliseconds initialRetryDelay { 100 };
    constexpr Milliseconds maxRetryDelay { 2000 };
    constexpr Milliseconds ownerRetryAfter { 1000 };
    constexpr Milliseconds evictAfter { 60000 };

    // A request that waits until this VM owns the shard, or has verified that it still does.
    struct QueuedRequest {
        RequestId request_;
        ShardManager::Decision decision_;
        MonotonicTime queuedAt_;
    };

    struct ManagedShard {
        std::mutex mutex_;
        Shard shard_;
        std::vector<QueuedRequest> waiting_;
        std::vector<QueuedRequest> pendingVerify_; ///< Wait for a read that has not started.
        std::vector<QueuedRequest> verifying_; ///< Wait for the read in flight.
        std::vector<ShardManager::Inspect> pendingInspections_; ///< Wait for a read that has not started.
        std::vector<ShardManager::Inspect> activeInspections_; ///< Wait for the read in flight.
        bool isBusy_ = false; ///< A log operation is in flight.
        bool isReleasing_ = false; ///< It is being released and returns its unspent tranches.
        bool needsRead_ = true; ///< The stream may have entries after `ledger_.lastReadOffset_`.
        bool wantsOwnership_ = false;
        MonotonicTime retryAt_;
        Milliseconds retryDelay_ = initialRetryDelay;
        MonotonicTime flushAt_;
        MonotonicTime lastUsedAt_;
        std::uint64_t appends_ = 0;
    };

    using ManagedShardPtr = std::shared_ptr<ManagedShard>;

    Problem takeOverTimedOut()
    {
        return { ProblemKind::LogUnavailable, RunState::NotRun,
            "this VM could not take over the program's shard because the log service does not answer; it is "
            "not known whether an earlier attempt of the call ran; retry the same call",
            ownerRetryAfter, true };
    }

} // namespace

struct ShardManager::Impl {
    ShardManagerOptions options_;
    HttpClient& client_;
    EffectHandler handleEffect_;
    mutable std::mutex mutex_; ///< Guards `shards_`, not the shards themselves.
    std::map<ShardKey, ManagedShardPtr> shards_;

    Impl(const ShardManagerOptions& options, HttpClient& client, EffectHandler handleEffect)
        : options_(options)
        , client_(client)
        , handleEffect_(std::move(handleEffect))
    {
    }

    ManagedShardPtr findOrAdd(const ShardKey& shard)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        ManagedShardPtr& managed = shards_[shard];
        if (!managed) {
            managed = std::make_shared<ManagedShard>();
            managed->shard_.ledger_.shard_ = shard;
        }
        return managed;
    }

    ManagedShardPtr find(const ShardKey& shard) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = shards_.find(shard);
        return found == shards_.end() ? nullptr : found->second;
    }

    std::vector<ManagedShardPtr> all() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::vector<ManagedShardPtr> shards;
        shards.reserve(shards_.size());
        for (const auto& [key, managed] : shards_)
            shards.push_back(managed);
        return shards;
    }

    ShardContext context() const { return { monotonicNow(), options_.limits_ }; }

    // Precondition of the functions below: `managed.mutex_` is held.
    void handleEffects(ManagedShard& managed, const Effects& effects)
    {
        for (const Effect& effect : effects) {
            if (const auto* reply = std::get_if<ReplyFromLog>(&effect))
                replyFromLog(managed.shard_.ledger_.shard_, *reply);
            else
                handleEffect_(managed.shard_.ledger_.shard_, effect);
        }
    }

    // This read may run in parallel with the shard's log operation, since it does not change the shard's
    // state.
    void replyFromLog(const ShardKey& shard, const ReplyFromLog& reply)
    {
        readLog(client_, options_.log_, streamOf(shard), reply.offset_, Milliseconds { 0 },
            [this, shard, reply](const tl::expected<LogPage, LogError>& page) {
                for (const Effect& effect : answerFromLog(reply, batchAt(page, reply.offset_)))
                    handleEffect_(shard, effect);
            });
    }

    static std::optional<Batch> batchAt(const tl::expected<LogPage, LogError>& page, LogOffset offset)
    {
        if (!page || page->entries_.empty() || page->entries_.front().offset_ != offset)
            return std::nullopt;
        auto batch = parseBatch(page->entries_.front().data_);
        return batch ? std::optional<Batch>(std::move(*batch)) : std::nullopt;
    }

    void decide(ManagedShard& managed, const Decision& decision)
    {
        handleEffects(managed, decision(managed.shard_, context()));
    }

    void runWaiting(ManagedShard& managed)
    {
        std::vector<QueuedRequest> ready;
        ready.swap(managed.waiting_);
        for (const QueuedRequest& waiting : ready)
            decide(managed, waiting.decision_);
    }

    void startNextOperation(const ManagedShardPtr& managed)
    {
        if (managed->isBusy_ || monotonicNow() < managed->retryAt_)
            return;
        Shard& shard = managed->shard_;
        bool isStateNeeded = shard.epoch_.value_ != 0 || managed->wantsOwnership_ || shard.inFlight_;
        bool hasReadWaiters = !managed->pendingInspections_.empty() || !managed->pendingVerify_.empty();
        if ((managed->needsRead_ && isStateNeeded) || hasReadWaiters)
            return read(managed);
        if (shard.epoch_.value_ == 0 && managed->wantsOwnership_ && !shard.inFlight_)
            startClaim(shard, options_.writer_, options_.vm_);
        bool isDue = shard.isFlushRequested_ || monotonicNow() >= managed->flushAt_;
        ByteCount sizeThreshold = options_.limits_.batchSizeThreshold_;
        if (!shard.inFlight_ && (!isDue || !takeBatch(shard, options_.writer_, sizeThreshold)))
            return;
        append(managed);
    }

    void append(const ManagedShardPtr& managed)
    {
        managed->isBusy_ = true;
        managed->flushAt_ = monotonicNow() + options_.flushInterval_;
        ++managed->appends_;
        Batch batch = *managed->shard_.inFlight_;
        logBatchAppended(managed->shard_.ledger_.shard_, batch);
        appendToLog(client_, options_.log_, streamOf(managed->shard_.ledger_.shard_), toJsonText(batch),
            [this, managed, batch, sent = Stopwatch()](const tl::expected<LogOffset, LogError>& offset) {
                observeLatency("scheduler_append_seconds", sent.elapsed());
                onAppended(managed, batch, offset);
            });
    }

    void onAppended(
        const ManagedShardPtr& managed, const Batch& batch, const tl::expected<LogOffset, LogError>& offset)
    {
        std::lock_guard<std::mutex> lock(managed->mutex_);
        managed->isBusy_ = false;
        if (!offset) {
            managed->needsRead_ = managed->needsRead_ || offset.error().mayHaveTakenEffect_;
            return onLogFailed(*managed, offset.error());
        }
        onLogAnswered(*managed);
        bool isNext = offset->value_ == managed->shard_.ledger_.lastReadOffset_.value_ + 1;
        if (isNext)
            applyBatchAt(*managed, *offset, batch);
        else
            managed->needsRead_ = true;
        startNextOperation(managed);
    }

    void read(const ManagedShardPtr& managed)
    {
        managed->isBusy_ = true;
        std::move(managed->pendingInspections_.begin(), managed->pendingInspections_.end(),
            std::back_inserter(managed->activeInspections_));
        managed->pendingInspections_.clear();
        std::move(managed->pendingVerify_.begin(), managed->pendingVerify_.end(),
            std::back_inserter(managed->verifying_));
        managed->pendingVerify_.clear();
        LogOffset from { managed->shard_.ledger_.lastReadOffset_.value_ + 1 };
        readLog(client_, options_.log_, streamOf(managed->shard_.ledger_.shard_), from, Milliseconds { 0 },
            [this, managed](const tl::expected<LogPage, LogError>& page) { onPageRead(managed, page); });
    }

    void onPageRead(const ManagedShardPtr& managed, const tl::expected<LogPage, LogError>& page)
    {
        std::lock_guard<std::mutex> lock(managed->mutex_);
        managed->isBusy_ = false;
        if (!page)
            return onLogFailed(*managed, page.error());
        onLogAnswered(*managed);
        if (page->first_.value_ > managed->shard_.ledger_.lastReadOffset_.value_ + 1)
            startRecovery(*managed, page->first_);
        for (const LogEntry& entry : page->entries_)
            applyEntry(*managed, entry);
        managed->needsRead_ = managed->shard_.ledger_.lastReadOffset_.value_ + 1 < page->next_.value_;
        if (!managed->needsRead_) {
            runInspections(*managed);
            runVerified(*managed, managed->verifying_);
        }
        startNextOperation(managed);
    }

    // Decides on the current state. If the shard was lost, the requests wait for its takeover.
    void runVerified(ManagedShard& managed, std::vector<QueuedRequest>& requests)
    {
        std::vector<QueuedRequest> ready;
        ready.swap(requests);
        for (QueuedRequest& request : ready) {
            if (managed.shard_.epoch_.value_ != 0) {
                decide(managed, request.decision_);
                continue;
            }
            managed.waiting_.push_back(std::move(request));
            managed.wantsOwnership_ = true;
        }
    }

    void startRecovery(ManagedShard& managed, LogOffset first)
    {
        bool wasOwned = managed.shard_.epoch_.value_ != 0;
        logEvent("log_gap",
            { { "shard", streamOf(managed.shard_.ledger_.shard_) },
                { "offset", std::to_string(first.value_) } });
        handleEffects(managed, startGapRecovery(managed.shard_, first));
        if (wasOwned)
            managed.wantsOwnership_ = !managed.waiting_.empty();
    }

    void runInspections(ManagedShard& managed)
    {
        std::vector<Inspect> readers;
        readers.swap(managed.activeInspections_);
        for (const Inspect& inspection : readers)
            inspection(managed.shard_);
    }

    void applyEntry(ManagedShard& managed, const LogEntry& entry)
    {
        auto batch = parseBatch(entry.data_);
        if (batch)
            applyBatchAt(managed, entry.offset_, *batch);
        else
            managed.shard_.ledger_.lastReadOffset_ = entry.offset_;
    }

    void applyBatchAt(ManagedShard& managed, LogOffset offset, const Batch& batch)
    {
        Epoch before = managed.shard_.epoch_;
        std::size_t unwritten = managed.shard_.outbox_.size();
        bool isConfirmed = batch.writer_ == options_.writer_ && batch.epoch_ == before;
        logBatchRead(managed.shard_.ledger_.shard_, offset, batch, isConfirmed && before.value_ != 0);
        handleEffects(managed, applyLogEntry(managed.shard_, offset, batch, context()));
        if (managed.shard_.epoch_ == before)
            return;
        const Ledger& ledger = managed.shard_.ledger_;
        bool isOwned = managed.shard_.epoch_.value_ != 0;
        logEvent(isOwned ? "shard_owned" : "shard_lost",
            { { "shard", streamOf(ledger.shard_) }, { "epoch", std::to_string(ledger.epoch_.value_) },
                { "offset", std::to_string(offset.value_) }, { "owner", ledger.owner_.value_ },
                { "records_dropped", std::to_string(isOwned ? 0 : unwritten) } });
        managed.wantsOwnership_ = !isOwned && !managed.waiting_.empty();
        if (isOwned)
            runWaiting(managed);
    }

    void onLogAnswered(ManagedShard& managed)
    {
        if (managed.shard_.isLogDown_)
            logEvent("log_back", { { "shard", streamOf(managed.shard_.ledger_.shard_) } });
        managed.shard_.isLogDown_ = false;
        managed.retryDelay_ = initialRetryDelay;
    }

    void onLogFailed(ManagedShard& managed, const LogError& error)
    {
        if (!managed.shard_.isLogDown_)
            logWarning("log_down", error.detail_, { { "shard", streamOf(managed.shard_.ledger_.shard_) } });
        managed.shard_.isLogDown_ = true;
        managed.retryAt_ = monotonicNow() + managed.retryDelay_;
        managed.retryDelay_ = std::min(2 * managed.retryDelay_, maxRetryDelay);
        runVerified(managed, managed.verifying_);
        runVerified(managed, managed.pendingVerify_);
    }

    // Evicts the ledger of an unused shard that another VM owns; it is read again when needed.
    void evictUnused(ManagedShard& managed)
    {
        const Shard& shard = managed.shard_;
        bool isUsed = shard.epoch_.value_ != 0 || managed.wantsOwnership_ || shard.inFlight_
            || managed.isBusy_ || !managed.waiting_.empty();
        if (isUsed)
            managed.lastUsedAt_ = monotonicNow();
        if (isUsed || shard.ledger_.lastReadOffset_.value_ == 0
            || monotonicNow() - managed.lastUsedAt_ < evictAfter)
            return;
        evictState(managed.shard_);
        managed.needsRead_ = true;
    }

    void expireWaiting(ManagedShard& managed)
    {
        auto timeout = options_.claimTimeout_;
        auto now = monotonicNow();
        std::vector<QueuedRequest> remaining;
        for (QueuedRequest& waiting : managed.waiting_) {
            if (now - waiting.queuedAt_ < timeout)
                remaining.push_back(std::move(waiting));
            else
                handleEffect_(
                    managed.shard_.ledger_.shard_, ReplyProblem { { waiting.request_ }, takeOverTimedOut() });
        }
        managed.waiting_ = std::move(remaining);
    }
};

ShardManager::ShardManager(const ShardManagerOptions& options, HttpClient& client, EffectHandler handleEffect)
    : impl_(std::make_unique<Impl>(options, client, std::move(handleEffect)))
{
}

ShardManager::~ShardManager() = default;

void ShardManager::submit(
    const ShardKey& shard, RequestId request, Decision decision, const StalenessCheck& isPossiblyStale)
{
    ManagedShardPtr managed = impl_->findOrAdd(shard);
    std::lock_guard<std::mutex> lock(managed->mutex_);
    bool isOwned = managed->shard_.epoch_.value_ != 0;
    if (isOwned && !managed->shard_.isLogDown_ && isPossiblyStale && isPossiblyStale(managed->shard_)) {
        managed->pendingVerify_.push_back({ request, std::move(decision), monotonicNow() });
    } else if (isOwned) {
        impl_->decide(*managed, decision);
    } else {
        managed->waiting_.push_back({ request, std::move(decision), monotonicNow() });
        managed->wantsOwnership_ = true;
    }
    impl_->startNextOperation(managed);
}

void ShardManager::applyDecision(const ShardKey& shard, const Decision& decision)
{
    ManagedShardPtr managed = impl_->findOrAdd(shard);
    std::lock_guard<std::mutex> lock(managed->mutex_);
    impl_->decide(*managed, decision);
    impl_->startNextOperation(managed);
}

void ShardManager::takeOver(const ShardKey& shard)
{
    ManagedShardPtr managed = impl_->findOrAdd(shard);
    std::lock_guard<std::mutex> lock(managed->mutex_);
    if (managed->shard_.epoch_.value_ != 0)
        return;
    managed->wantsOwnership_ = true;
    impl_->startNextOperation(managed);
}

void ShardManager::verifyOwnership(const ShardKey& shard)
{
    ManagedShardPtr managed = impl_->findOrAdd(shard);
    std::lock_guard<std::mutex> lock(managed->mutex_);
    if (managed->shard_.epoch_.value_ == 0)
        return;
    managed->needsRead_ = true;
    impl_->startNextOperation(managed);
}

void ShardManager::inspectAfterRead(const ShardKey& shard, Inspect inspection)
{
    ManagedShardPtr managed = impl_->findOrAdd(shard);
    std::lock_guard<std::mutex> lock(managed->mutex_);
    managed->pendingInspections_.push_back(std::move(inspection));
    impl_->startNextOperation(managed);
}

ShardManager::ReleaseState ShardManager::release(const ShardKey& shard)
{
    ManagedShardPtr managed = impl_->findOrAdd(shard);
    std::lock_guard<std::mutex> lock(managed->mutex_);
    Shard& state = managed->shard_;
    if (state.epoch_.value_ == 0)
        return ReleaseState::NotOwned;
    bool hasPendingWork
        = !managed->waiting_.empty() || !managed->pendingVerify_.empty() || !managed->verifying_.empty();
    for (const auto& [program, active] : state.active_)
        hasPendingWork = hasPendingWork || active.running_;
    // While the log is down no VM could take over the shard, so it is kept, with its tranches.
    managed->isReleasing_ = managed->isReleasing_ && !hasPendingWork && !state.isLogDown_;
    if (hasPendingWork || state.isLogDown_ || !state.outbox_.empty() || state.inFlight_) {
        // Requests are held during the release, so a snapshot recorded meanwhile is flushed immediately.
        state.isFlushRequested_
            = state.isFlushRequested_ || (managed->isReleasing_ && !state.outbox_.empty());
        impl_->startNextOperation(managed);
        return managed->isReleasing_ ? ReleaseState::Releasing : ReleaseState::Busy;
    }
    returnUnspentTranches(state);
    managed->isReleasing_ = !state.outbox_.empty();
    if (managed->isReleasing_) {
        impl_->startNextOperation(managed);
        return ReleaseState::Releasing;
    }
    logEvent(
        "shard_let_go", { { "shard", streamOf(shard) }, { "epoch", std::to_string(state.epoch_.value_) } });
    impl_->handleEffects(*managed, loseOwnership(state));
    managed->wantsOwnership_ = false;
    return ReleaseState::NotOwned;
}

bool ShardManager::isOwned(const ShardKey& shard) const
{
    ManagedShardPtr managed = impl_->find(shard);
    if (!managed)
        return false;
    std::lock_guard<std::mutex> lock(managed->mutex_);
    return managed->shard_.epoch_.value_ != 0;
}

void ShardManager::tick()
{
    for (const ManagedShardPtr& managed : impl_->all()) {
        std::lock_guard<std::mutex> lock(managed->mutex_);
        impl_->handleEffects(*managed, tickShard(managed->shard_, impl_->context()));
        impl_->expireWaiting(*managed);
        impl_->evictUnused(*managed);
        impl_->startNextOperation(managed);
    }
}

void ShardManager::flushNow()
{
    for (const ManagedShardPtr& managed : impl_->all()) {
        std::lock_guard<std::mutex> lock(managed->mutex_);
        managed->shard_.isFlushRequested_ = true;
        impl_->startNextOperation(managed);
    }
}

void ShardManager::inspect(const ShardKey& shard, const Inspect& inspection) const
{
    ManagedShardPtr managed = impl_->findOrAdd(shard);
    std::lock_guard<std::mutex> lock(managed->mutex_);
    inspection(managed->shard_);
}

std::vector<ShardStatus> ShardManager::status() const
{
    std::vector<ShardStatus> rows;
    for (const ManagedShardPtr& managed : impl_->all()) {
        std::lock_guard<std::mutex> lock(managed->mutex_);
        const Shard& shard = managed->shard_;
        ShardStatus row { shard.ledger_.shard_, shard.epoch_, shard.ledger_.owner_ };
        row.programs_ = shard.ledger_.programs_.size() - shard.ledger_.ended_.size();
        for (const auto& [program, active] : shard.active_)
            row.running_ += active.running_ ? 1 : 0;
        row.unconfirmed_
            = shard.outbox_.size() + (shard.inFlight_ ? 1 + shard.inFlight_->records_.size() : 0);
        row.isLogDown_ = shard.isLogDown_;
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace fescue
