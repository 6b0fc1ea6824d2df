#include "BudgetStore.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"
#include "PagedRead.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <fmt/format.h>
#include <xxhash.h>

namespace fescue {

namespace {

    // Number of topics that programs are hashed to, so that each partition holds few programs.
    constexpr std::uint64_t topicCount = 32;
    // A queued claim that no turn waits for is dropped after this time. Until then the next turn of its
    // running program may need it.
    constexpr Milliseconds claimStaleAfter { 300 };
    // A turn that the throttle would delay for longer is refused at once; another VM can serve it sooner.
    constexpr double maxClaimWaitSeconds = 0.5;
    constexpr double callsPerClaim = 2; // A write and a read.
    // Before pages without an end are read once more.
    constexpr Milliseconds endlessReadDelay { 500 };
    // Turns do not wait for a read of so many pages that it takes longer.
    constexpr Milliseconds maxReadWait { 500 };
    constexpr const char* storeUser = "budget"; // In logs.

    std::int64_t wallSeconds()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::seconds>(now).count();
    }

    // A claim that is queued or in flight.
    struct Write {
        enum class Kind {
            Claim,
            Drop, ///< Deletes the claim.
            ReadOnly, ///< Writes nothing, but reads the claims.
        };
        ProgramId program_;
        BudgetClaim claim_;
        bool isNeeded_ = false;
        Kind kind_ = Kind::Claim;
        MonotonicTime queuedAt_; ///< When it was queued.
    };

    // The writes to one partition, which are sent sequentially.
    struct PartitionQueue {
        std::vector<Write> pending_;
        std::vector<Write> inFlight_;
        std::vector<std::string> expiredKeys_; ///< Of expired records, to be deleted with the next write.
        std::vector<platform::KeyedRecord> records_; ///< Of the call in flight; a retry sends them unchanged.
        std::vector<ClaimRecord> readClaims_; ///< With those of this VM.
        PagedRead read_; ///< Of the claims.
        MonotonicTime readStartedAt_;
        Sequence nextSequence_ { 1 };
        bool isBusy_ = false; ///< From the first call of a write until the end of its read.
        bool isScheduled_ = false; ///< Its next call waits for the throttle.
        bool isOutcomeUnknown_ = false; ///< An unanswered attempt may be applied already, or may be later.
        bool isWritten_ = false; ///< Only the read remains.
    };

} // namespace

struct BudgetStore::Impl : std::enable_shared_from_this<BudgetStore::Impl> {
    PacedStore& store_;
    std::uint32_t partitions_;
    OnDecision decide_;
    BudgetEscrow escrow_;
    std::map<platform::StorePartition, PartitionQueue> partitionQueues_;
    std::deque<platform::StorePartition> urgent_; ///< Queues with a call to send that turns wait for.
    std::deque<platform::StorePartition> deferrable_; ///< Other queues with a call to send.
    std::deque<std::pair<MonotonicTime, platform::StorePartition>>
        delayed_; ///< Busy queues that are scheduled again at a time; the first one is the earliest.
    Counter writes_ { "budget_writes_total" };
    Counter reads_ { "budget_reads_total" };

    Impl(PacedStore& store, std::uint32_t partitions, OnDecision decide)
        : store_(store)
        , partitions_(partitions)
        , decide_(std::move(decide))
    {
    }

    platform::StorePartition partitionOf(const ProgramId& program) const
    {
        std::uint64_t hash = XXH64(program.value_.data(), program.value_.size(), 0);
        return { fmt::format("{}budget-{}", platform::keyedTopicPrefix, hash % topicCount),
            static_cast<std::uint32_t>(hash / topicCount % partitions_) };
    }

    void applyEffects(const EscrowEffects& effects)
    {
        for (const EscrowEffect& effect : effects) {
            if (const auto* decided = std::get_if<DecideTurn>(&effect))
                decide_(decided->turn_, decided->decision_);
            else if (const auto* write = std::get_if<WriteClaim>(&effect))
                enqueue(*write);
            else if (const auto* drop = std::get_if<DropClaim>(&effect))
                enqueue({ drop->program_, {}, false, Write::Kind::Drop, bootNow() });
            else if (const auto* read = std::get_if<ReadClaims>(&effect))
                enqueue({ read->program_, {}, false, Write::Kind::ReadOnly, bootNow() });
        }
        refuseWaitingTurnsIfDown();
    }

    void refuseWaitingTurnsIfDown()
    {
        if (store_.isBetterAvoided())
            refuseWaitingTurns();
    }

    void refuseWaitingTurns() { deliverDecisions(onStoreUnavailable(escrow_)); }

    void deliverDecisions(const EscrowEffects& effects)
    {
        for (const EscrowEffect& effect : effects) {
            if (const auto* decided = std::get_if<DecideTurn>(&effect))
                decide_(decided->turn_, decided->decision_);
        }
    }

    void enqueue(const WriteClaim& effect)
    {
        constexpr std::int64_t msPerSecond = 1000;
        BudgetClaim claim = effect.claim_;
        claim.expiresAt_ = wallSeconds() + effect.timeToLive_.count() / msPerSecond + 1;
        enqueue({ effect.program_, claim, effect.isNeeded_, Write::Kind::Claim, bootNow() });
    }

    void enqueue(Write write)
    {
        auto partition = partitionOf(write.program_);
        PartitionQueue& queue = partitionQueues_[partition];
        bool isNeeded = write.isNeeded_;
        queue.pending_.push_back(std::move(write));
        // A queued call will include this write; it moves to the urgent queue if a turn needs it.
        if (!queue.isBusy_ || (isNeeded && queue.isScheduled_))
            schedule(partition, queue);
    }

    // Schedules the next call of a partition queue.
    void schedule(const platform::StorePartition& partition, PartitionQueue& queue)
    {
        queue.isBusy_ = true;
        queue.isScheduled_ = true;
        bool isUrgent = isNeeded(queue.inFlight_) || isNeeded(queue.pending_);
        (isUrgent ? urgent_ : deferrable_).push_back(partition);
        sendScheduled();
    }

    static bool isNeeded(const std::vector<Write>& writes)
    {
        return std::any_of(writes.begin(), writes.end(), [](const Write& write) { return write.isNeeded_; });
    }

    static bool needsRead(const std::vector<Write>& writes)
    {
        return std::any_of(writes.begin(), writes.end(),
            [](const Write& write) { return write.isNeeded_ || write.kind_ == Write::Kind::ReadOnly; });
    }

    // Sends the calls that the throttle allows.
    void sendScheduled()
    {
        while (store_.canCall() && !(urgent_.empty() && deferrable_.empty())) {
            auto& scheduled = urgent_.empty() ? deferrable_ : urgent_;
            platform::StorePartition partition = scheduled.front();
            scheduled.pop_front();
            PartitionQueue& queue = partitionQueues_[partition];
            if (!queue.isScheduled_)
                continue; // It was scheduled in both queues.
            queue.isScheduled_ = false;
            dropStaleClaims(queue);
            if (queue.pending_.empty() && queue.inFlight_.empty()) {
                queue.isBusy_ = false;
                continue;
            }
            sendNext(partition, queue);
        }
    }

    // Drops claims that were never sent and that no turn waits for.
    void dropStaleClaims(PartitionQueue& queue)
    {
        MonotonicTime oldest = bootNow() - claimStaleAfter;
        auto isStale = [this, oldest](const Write& write) {
            const ProgramBudget* budget = find(write.program_);
            if (!write.isNeeded_ || !budget || !budget->waiting_.empty())
                return false;
            bool hasClaim = (budget->usable_ + budget->reserved_).value_ > 0;
            return !hasClaim || write.queuedAt_ < oldest;
        };
        auto stale = std::stable_partition(queue.pending_.begin(), queue.pending_.end(),
            [&](const Write& write) { return !isStale(write); });
        for (auto write = stale; write != queue.pending_.end(); ++write)
            onClaimDropped(escrow_, write->program_);
        queue.pending_.erase(stale, queue.pending_.end());
    }

    const ProgramBudget* find(const ProgramId& program) const
    {
        auto found = escrow_.programs_.find(program);
        return found == escrow_.programs_.end() ? nullptr : &found->second;
    }

    // Whether urgent claims would wait for the throttle longer than a turn should.
    bool isOverloaded() const
    {
        return static_cast<double>(urgent_.size()) * callsPerClaim
            > store_.throttle().rate_.value_ * maxClaimWaitSeconds;
    }

    void onTurnRequested(
        const ProgramId& program, TokenCount budget, Milliseconds retention, const WaitingTurn& turn)
    {
        applyEffects(fescue::onTurnRequested(escrow_, program, budget, retention, turn, bootNow()));
        if (isOverloaded())
            deliverDecisions(onStoreUnavailable(escrow_, program));
    }

    void sendNext(const platform::StorePartition& partition, PartitionQueue& queue)
    {
        if (queue.isWritten_)
            return sendRead(partition, queue);
        if (queue.inFlight_.empty())
            return append(partition, queue);
        sendAppend(partition, queue); // An unchanged retry.
    }

    void append(const platform::StorePartition& partition, PartitionQueue& queue)
    {
        queue.inFlight_ = std::move(queue.pending_);
        queue.pending_.clear();
        queue.records_.clear();
        for (const Write& write : queue.inFlight_) {
            if (write.kind_ != Write::Kind::ReadOnly)
                queue.records_.push_back({ claimKey(write.program_, escrow_.writer_),
                    write.kind_ == Write::Kind::Drop ? std::string() : claimValue(write.claim_) });
        }
        for (std::string& key : queue.expiredKeys_)
            queue.records_.push_back({ std::move(key), {} });
        queue.expiredKeys_.clear();
        if (!queue.records_.empty())
            return sendAppend(partition, queue);
        queue.isWritten_ = true;
        startRead(partition, queue);
    }

    void sendAppend(const platform::StorePartition& partition, PartitionQueue& queue)
    {
        writes_.add();
        platform::StoreWriter writer { escrow_.writer_, queue.nextSequence_ };
        store_.append(partition, queue.records_, writer, storeUser,
            [weak = weak_from_this(), partition](tl::expected<std::uint64_t, platform::StoreError> offset) {
                if (auto self = weak.lock())
                    self->onAppended(partition, offset);
            });
    }

    void onAppended(const platform::StorePartition& partition,
        const tl::expected<std::uint64_t, platform::StoreError>& offset)
    {
        PartitionQueue& queue = partitionQueues_[partition];
        refuseWaitingTurnsIfDown();
        if (!offset) {
            if (offset.error().failure_ == platform::StoreFailure::OutOfSequence) {
                // The store has applied a later append of this writer and accepts only the next number.
                logWarning("budget-sequence",
                    "the store rejected a sequence number; retrying with the next one",
                    { { "topic", partition.topic_ },
                        { "sequence", std::to_string(queue.nextSequence_.value_) } });
                queue.nextSequence_.value_ += 1;
            }
            bool wasNotApplied = offset.error().failure_ == platform::StoreFailure::Refused;
            queue.isOutcomeUnknown_ = queue.isOutcomeUnknown_ || !wasNotApplied;
            if (!queue.isOutcomeUnknown_)
                requeue(queue);
            return schedule(partition, queue);
        }
        queue.nextSequence_.value_ += 1;
        queue.isOutcomeUnknown_ = false;
        queue.isWritten_ = needsRead(queue.inFlight_);
        if (queue.isWritten_)
            return startRead(partition, queue);
        finishWrite(partition, queue, false);
    }

    // No attempt was applied, so the next one may send other records under the same number.
    static void requeue(PartitionQueue& queue)
    {
        queue.pending_.insert(queue.pending_.begin(), std::make_move_iterator(queue.inFlight_.begin()),
            std::make_move_iterator(queue.inFlight_.end()));
        queue.inFlight_.clear();
    }

    static void forgetRead(PartitionQueue& queue)
    {
        queue.readClaims_.clear();
        queue.read_ = {};
    }

    void startRead(const platform::StorePartition& partition, PartitionQueue& queue)
    {
        forgetRead(queue);
        queue.readStartedAt_ = bootNow();
        sendRead(partition, queue);
    }

    void sendRead(const platform::StorePartition& partition, const PartitionQueue& queue)
    {
        reads_.add();
        store_.readNewest(partition, queue.read_.after_, storeUser,
            [weak = weak_from_this(), partition](
                tl::expected<platform::NewestPage, platform::StoreError> page) {
                if (auto self = weak.lock())
                    self->onPageRead(partition, page);
            });
    }

    void onPageRead(const platform::StorePartition& partition,
        const tl::expected<platform::NewestPage, platform::StoreError>& page)
    {
        PartitionQueue& queue = partitionQueues_[partition];
        refuseWaitingTurnsIfDown();
        if (!page) {
            forgetRead(queue);
            return schedule(partition, queue);
        }
        PageOutcome outcome = takePage(queue.read_, *page);
        if (outcome == PageOutcome::Endless)
            return delayRead(partition, queue);
        for (const platform::KeyedRecord& record : page->records_) {
            if (auto claim = parseClaim(record.key_, record.value_))
                queue.readClaims_.push_back(std::move(*claim));
        }
        if (outcome == PageOutcome::More) {
            if (bootNow() - queue.readStartedAt_ > maxReadWait)
                refuseTurnsOf(queue);
            return schedule(partition, queue);
        }
        finishWrite(partition, queue, true);
    }

    // The store serves calls, but not this read, so turns that wait for it are refused.
    void delayRead(const platform::StorePartition& partition, PartitionQueue& queue)
    {
        logWarning("budget-pages-repeat", "the store's pages have no end; check the store",
            { { "topic", partition.topic_ }, { "records", std::to_string(queue.read_.records_) } });
        forgetRead(queue);
        delayed_.emplace_back(bootNow() + endlessReadDelay, partition);
        refuseTurnsOf(queue);
    }

    void refuseTurnsOf(const PartitionQueue& queue)
    {
        std::vector<ProgramId> programs;
        for (const Write& write : queue.inFlight_)
            programs.push_back(write.program_);
        for (const Write& write : queue.pending_)
            programs.push_back(write.program_);
        for (const ProgramId& program : programs)
            deliverDecisions(onStoreUnavailable(escrow_, program));
    }

    void scheduleDelayed(MonotonicTime now)
    {
        while (!delayed_.empty() && delayed_.front().first <= now) {
            platform::StorePartition partition = delayed_.front().second;
            delayed_.pop_front();
            schedule(partition, partitionQueues_[partition]);
        }
    }

    // New writes may be queued meanwhile; they are sent after the last effect has been applied.
    void finishWrite(const platform::StorePartition& partition, PartitionQueue& queue, bool wasRead)
    {
        auto writes = std::move(queue.inFlight_);
        auto read = std::move(queue.readClaims_);
        queue.inFlight_.clear();
        forgetRead(queue);
        queue.isWritten_ = false;
        if (wasRead)
            queue.expiredKeys_ = expiredClaims(escrow_, read, wallSeconds());
        for (const Write& write : writes)
            finishWrite(write, read, wasRead);
        queue.isBusy_ = false;
        if (!queue.pending_.empty())
            return schedule(partition, queue);
        sendScheduled();
    }

    void finishWrite(const Write& write, const std::vector<ClaimRecord>& read, bool wasRead)
    {
        if (write.kind_ == Write::Kind::Drop)
            return;
        bool isReadOnly = write.kind_ == Write::Kind::ReadOnly;
        if (!wasRead || !(write.isNeeded_ || isReadOnly))
            return applyEffects(onClaimLowered(escrow_, write.program_));
        std::vector<ClaimRecord> others;
        for (const ClaimRecord& record : read) {
            if (record.program_ == write.program_ && record.writer_ != escrow_.writer_)
                others.push_back(record);
        }
        if (isReadOnly)
            return applyEffects(onClaimsRead(escrow_, write.program_, others, wallSeconds(), bootNow()));
        logClaim(write, others);
        applyEffects(onClaimWritten(escrow_, write.program_, write.claim_, others, bootNow()));
    }

    void logClaim(const Write& write, const std::vector<ClaimRecord>& others) const
    {
        TokenCount claimed;
        for (const ClaimRecord& other : others)
            claimed += other.claim_.claimed_;
        logEvent("budget-claimed",
            { { "program", write.program_.value_ },
                { "claimed", std::to_string(write.claim_.claimed_.value_) },
                { "spent", std::to_string(write.claim_.spent_.value_) },
                { "others", std::to_string(others.size()) },
                { "others_claimed", std::to_string(claimed.value_) } });
    }

    void tick(bool isDraining, MonotonicTime now)
    {
        refuseWaitingTurnsIfDown();
        scheduleDelayed(now);
        sendScheduled();
        if (store_.health().isUp_)
            applyEffects(tickEscrow(escrow_, isDraining, now));
    }
};

BudgetStore::BudgetStore(PacedStore& store, WriterId writer, std::uint32_t partitions, OnDecision decide)
    : impl_(std::make_shared<Impl>(store, partitions, std::move(decide)))
{
    impl_->escrow_.writer_ = std::move(writer);
    store.onCallEnded([weak = std::weak_ptr(impl_)] {
        if (auto self = weak.lock())
            self->sendScheduled();
    });
}

BudgetStore::~BudgetStore() = default;

void BudgetStore::onTurnRequested(
    const ProgramId& program, TokenCount budget, Milliseconds retention, const WaitingTurn& turn)
{
    impl_->onTurnRequested(program, budget, retention, turn);
}

void BudgetStore::onTurnAbandoned(const ProgramId& program, TurnId turn)
{
    fescue::onTurnAbandoned(impl_->escrow_, program, turn);
}

void BudgetStore::onTurnEnded(const ProgramId& program, TokenCount maxTokens, TokenCount used)
{
    impl_->applyEffects(fescue::onTurnEnded(impl_->escrow_, program, maxTokens, used, bootNow()));
}

void BudgetStore::tick(bool isDraining, MonotonicTime now) { impl_->tick(isDraining, now); }

bool BudgetStore::isIdle() const
{
    return std::none_of(impl_->partitionQueues_.begin(), impl_->partitionQueues_.end(),
        [](const auto& entry) { return entry.second.isBusy_; });
}

std::size_t BudgetStore::programs() const { return impl_->escrow_.programs_.size(); }

std::string BudgetStore::describe(const ProgramId& program) const
{
    const ProgramBudget* budget = find(program);
    if (!budget)
        return "nothing";
    if (!budget->isWriting_)
        return "other turns of the program";
    return fmt::format("a claim, {} calls of the store under way, {:.0f} a second allowed, {} lanes wait",
        impl_->store_.throttle().inFlight_, impl_->store_.throttle().rate_.value_,
        impl_->urgent_.size() + impl_->deferrable_.size());
}

const ProgramBudget* BudgetStore::find(const ProgramId& program) const { return impl_->find(program); }

} // namespace fescue
