#include "BudgetKeeper.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"
#include "StoreClient.h"
#include "StorePace.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <fmt/format.h>
#include <xxhash.h>

namespace fescue {

namespace {

    // Topics over which programs are spread; with the partitions of each one, a partition holds few programs.
    constexpr std::uint64_t topicCount = 32;
    constexpr int tooManyCalls = 429;
    // A claim of a program under way for which no turn waits is not worth a call after this; until then it
    // may be for the program's next turn.
    constexpr Milliseconds claimStaleAfter { 300 };
    // A turn that would wait longer for the pace is refused at once, and served sooner by another VM.
    constexpr double longestClaimWaitSeconds = 0.5;
    constexpr double callsPerClaim = 2; // A write and a read.
    // Records of writers that are gone are dropped this long after the program's return became impossible.
    constexpr std::int64_t foreignExpirySeconds = 300;

    std::int64_t wallSeconds()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::seconds>(now).count();
    }

    // A claim on its way to the store.
    struct Write {
        ProgramId program_;
        BudgetClaim claim_;
        bool isNeeded_ = false;
        bool isDrop_ = false;
        MonotonicTime since_; ///< When it was entered.
    };

    // Writes to one partition, one call after another.
    struct Lane {
        std::vector<Write> pending_;
        std::vector<Write> underWay_;
        std::vector<std::string>
            expired_; ///< Keys of writers that are gone, to be dropped with the next write.
        std::vector<platform::KeyedRecord> records_; ///< Of the call under way; repeated unchanged.
        std::vector<ClaimRecord> read_;
        Sequence next_ { 1 };
        bool isBusy_ = false; ///< From the first call of a write to the end of its read.
        bool wantsCall_ = false; ///< Its next call waits for the pace.
        bool mayBeDone_ = false; ///< A try without an answer may have been taken, or be taken later.
        bool isWritten_ = false; ///< Only the read is left to do.
    };

} // namespace

struct BudgetKeeper::Impl : std::enable_shared_from_this<BudgetKeeper::Impl> {
    platform::StoreClient& store_;
    StoreHealth& health_;
    std::uint32_t partitions_;
    OnDecision decide_;
    BudgetEscrow escrow_;
    std::map<platform::StorePartition, Lane> lanes_;
    std::deque<platform::StorePartition> urgent_; ///< Lanes that want a call and have turns waiting.
    std::deque<platform::StorePartition> idle_; ///< Other lanes that want a call.
    StorePace pace_;
    Random random_;
    Counter writes_ { "budget_writes_total" };
    Counter reads_ { "budget_reads_total" };
    Counter tooMany_ { "budget_calls_over_rate_total" };

    Impl(platform::StoreClient& store, StoreHealth& health, const WriterId& writer, std::uint32_t partitions,
        OnDecision decide)
        : store_(store)
        , health_(health)
        , partitions_(partitions)
        , decide_(std::move(decide))
        , random_(XXH64(writer.value_.data(), writer.value_.size(), 0))
    {
    }

    platform::StorePartition partitionOf(const ProgramId& program) const
    {
        std::uint64_t hash = XXH64(program.value_.data(), program.value_.size(), 0);
        return { fmt::format("{}budget-{}", platform::keyedTopicPrefix, hash % topicCount),
            static_cast<std::uint32_t>(hash / topicCount % partitions_) };
    }

    void carryOut(const EscrowEffects& effects)
    {
        for (const EscrowEffect& effect : effects) {
            if (const auto* decided = std::get_if<DecideTurn>(&effect))
                decide_(decided->turn_, decided->decision_);
            else if (const auto* write = std::get_if<WriteClaim>(&effect))
                enter(*write);
            else if (const auto* drop = std::get_if<DropClaim>(&effect))
                enter({ drop->program_, {}, false, true, bootNow() });
        }
        if (!health_.isUp_)
            refuseWaiting();
    }

    void refuseWaiting() { tell(storeUnavailable(escrow_)); }

    void tell(const EscrowEffects& effects)
    {
        for (const EscrowEffect& effect : effects) {
            if (const auto* decided = std::get_if<DecideTurn>(&effect))
                decide_(decided->turn_, decided->decision_);
        }
    }

    void enter(const WriteClaim& effect)
    {
        constexpr std::int64_t msPerSecond = 1000;
        BudgetClaim claim = effect.claim_;
        claim.expiresAt_ = wallSeconds() + effect.keepFor_.count() / msPerSecond + 1;
        enter({ effect.program_, claim, effect.isNeeded_, false, bootNow() });
    }

    void enter(Write write)
    {
        auto partition = partitionOf(write.program_);
        Lane& lane = lanes_[partition];
        bool isNeeded = write.isNeeded_;
        lane.pending_.push_back(std::move(write));
        // A lane whose call still waits sends this write with it, and sooner when a turn needs it.
        if (!lane.isBusy_ || (isNeeded && lane.wantsCall_))
            want(partition, lane);
    }

    // Enters a lane for its next call.
    void want(const platform::StorePartition& partition, Lane& lane)
    {
        lane.isBusy_ = true;
        lane.wantsCall_ = true;
        bool isUrgent = isNeeded(lane.underWay_) || isNeeded(lane.pending_);
        (isUrgent ? urgent_ : idle_).push_back(partition);
        pump();
    }

    static bool isNeeded(const std::vector<Write>& writes)
    {
        return std::any_of(writes.begin(), writes.end(), [](const Write& write) { return write.isNeeded_; });
    }

    // Makes the calls that the pace allows.
    void pump()
    {
        while (mayCallStore(pace_, bootNow()) && !(urgent_.empty() && idle_.empty())) {
            auto& queue = urgent_.empty() ? idle_ : urgent_;
            platform::StorePartition partition = queue.front();
            queue.pop_front();
            Lane& lane = lanes_[partition];
            if (!lane.wantsCall_)
                continue; // It stood in both queues.
            lane.wantsCall_ = false;
            dropStale(lane);
            if (lane.pending_.empty() && lane.underWay_.empty()) {
                lane.isBusy_ = false;
                continue;
            }
            callNext(partition, lane);
        }
    }

    // Drops claims that were never sent and that no turn waits for any more.
    void dropStale(Lane& lane)
    {
        MonotonicTime oldest = bootNow() - claimStaleAfter;
        auto isStale = [this, oldest](const Write& write) {
            const ProgramBudget* budget = find(write.program_);
            if (!write.isNeeded_ || !budget || !budget->waiting_.empty())
                return false;
            bool hasBegun = (budget->usable_ + budget->reserved_).value_ > 0;
            return !hasBegun || write.since_ < oldest;
        };
        auto stale = std::stable_partition(
            lane.pending_.begin(), lane.pending_.end(), [&](const Write& write) { return !isStale(write); });
        for (auto write = stale; write != lane.pending_.end(); ++write)
            claimDropped(escrow_, write->program_);
        lane.pending_.erase(stale, lane.pending_.end());
    }

    const ProgramBudget* find(const ProgramId& program) const
    {
        auto found = escrow_.programs_.find(program);
        return found == escrow_.programs_.end() ? nullptr : &found->second;
    }

    // Whether claims wait for the pace for longer than a turn should.
    bool isBehind() const
    {
        return static_cast<double>(urgent_.size()) * callsPerClaim
            > pace_.rate_.value_ * longestClaimWaitSeconds;
    }

    void turnArrived(
        const ProgramId& program, TokenCount budget, Milliseconds retention, const WaitingTurn& turn)
    {
        carryOut(fescue::turnArrived(escrow_, program, budget, retention, turn, bootNow()));
        if (isBehind())
            tell(storeUnavailable(escrow_, program));
    }

    void callNext(const platform::StorePartition& partition, Lane& lane)
    {
        if (lane.isWritten_)
            return sendRead(partition, {});
        if (lane.underWay_.empty())
            return append(partition, lane);
        sendAppend(partition, lane); // A repeat, unchanged.
    }

    void append(const platform::StorePartition& partition, Lane& lane)
    {
        lane.underWay_ = std::move(lane.pending_);
        lane.pending_.clear();
        lane.records_.clear();
        for (const Write& write : lane.underWay_)
            lane.records_.push_back({ claimKey(write.program_, escrow_.writer_),
                write.isDrop_ ? std::string() : claimValue(write.claim_) });
        for (std::string& key : lane.expired_)
            lane.records_.push_back({ std::move(key), {} });
        lane.expired_.clear();
        sendAppend(partition, lane);
    }

    void sendAppend(const platform::StorePartition& partition, Lane& lane)
    {
        writes_.add();
        storeCallBegan(pace_, bootNow());
        store_.append(partition, lane.records_, { escrow_.writer_, lane.next_ }, storeTimeout(pace_),
            [weak = weak_from_this(), partition, began = bootNow()](
                tl::expected<std::uint64_t, platform::StoreError> offset) {
                auto self = weak.lock();
                if (!self)
                    return;
                self->noteTime(began, offset ? nullptr : &offset.error());
                self->appended(partition, offset);
            });
    }

    void appended(const platform::StorePartition& partition,
        const tl::expected<std::uint64_t, platform::StoreError>& offset)
    {
        Lane& lane = lanes_[partition];
        noteOutcome(offset ? nullptr : &offset.error());
        if (!offset) {
            if (offset.error().failure_ == platform::StoreFailure::OutOfSequence) {
                // The store has seen a later append of ours; only the next number can be taken.
                logWarning("budget-sequence", "the store refused a sequence number; the next one is tried",
                    { { "topic", partition.topic_ }, { "sequence", std::to_string(lane.next_.value_) } });
                lane.next_.value_ += 1;
            }
            bool didNothing = offset.error().failure_ == platform::StoreFailure::Refused;
            lane.mayBeDone_ = lane.mayBeDone_ || !didNothing;
            if (!lane.mayBeDone_)
                takeBack(lane);
            return want(partition, lane);
        }
        lane.next_.value_ += 1;
        lane.mayBeDone_ = false;
        lane.read_.clear();
        lane.isWritten_ = isNeeded(lane.underWay_);
        if (lane.isWritten_)
            return sendRead(partition, {});
        finish(partition, lane, false);
    }

    // No try was taken, so the next one may hold other records under the same number.
    static void takeBack(Lane& lane)
    {
        lane.pending_.insert(lane.pending_.begin(), std::make_move_iterator(lane.underWay_.begin()),
            std::make_move_iterator(lane.underWay_.end()));
        lane.underWay_.clear();
    }

    void sendRead(const platform::StorePartition& partition, const std::string& after)
    {
        reads_.add();
        storeCallBegan(pace_, bootNow());
        store_.readNewest(partition, after, storeTimeout(pace_),
            [weak = weak_from_this(), partition, began = bootNow()](
                tl::expected<platform::NewestPage, platform::StoreError> page) {
                auto self = weak.lock();
                if (!self)
                    return;
                self->noteTime(began, page ? nullptr : &page.error());
                self->readPage(partition, page);
            });
    }

    // Refusals come sooner than answers and tell nothing of their time.
    void noteTime(MonotonicTime began, const platform::StoreError* error)
    {
        if (!error)
            storeAnswered(pace_, bootNow() - began);
    }

    void readPage(const platform::StorePartition& partition,
        const tl::expected<platform::NewestPage, platform::StoreError>& page)
    {
        Lane& lane = lanes_[partition];
        noteOutcome(page ? nullptr : &page.error());
        if (!page) {
            lane.read_.clear();
            return want(partition, lane);
        }
        std::int64_t now = wallSeconds();
        for (const platform::KeyedRecord& record : page->records_) {
            auto claim = parseClaim(record.key_, record.value_);
            if (claim && claim->writer_ != escrow_.writer_) {
                if (now > claim->claim_.expiresAt_ + foreignExpirySeconds)
                    lane.expired_.push_back(record.key_);
                lane.read_.push_back(std::move(*claim));
            }
        }
        if (page->hasMore_ && !page->records_.empty())
            return sendRead(partition, page->records_.back().key_);
        finish(partition, lane, true);
    }

    // `lane` may get new writes meanwhile; they wait until the last effect is carried out.
    void finish(const platform::StorePartition& partition, Lane& lane, bool wasRead)
    {
        auto writes = std::move(lane.underWay_);
        auto read = std::move(lane.read_);
        lane.underWay_.clear();
        lane.read_.clear();
        lane.isWritten_ = false;
        for (const Write& write : writes) {
            if (write.isDrop_)
                continue;
            if (!wasRead || !write.isNeeded_) {
                carryOut(claimLowered(escrow_, write.program_));
                continue;
            }
            std::vector<ClaimRecord> others;
            for (const ClaimRecord& record : read) {
                if (record.program_ == write.program_)
                    others.push_back(record);
            }
            logClaim(write, others);
            carryOut(claimWritten(escrow_, write.program_, write.claim_, others, bootNow()));
        }
        lane.isBusy_ = false;
        if (!lane.pending_.empty())
            return want(partition, lane);
        pump();
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

    static StoreCallEnd endOf(const platform::StoreError& error)
    {
        if (error.status_ == tooManyCalls)
            return StoreCallEnd::OverRate;
        bool hasAnswer = error.failure_ != platform::StoreFailure::NoAnswer || error.status_ != 0;
        return hasAnswer ? StoreCallEnd::Refused : StoreCallEnd::TimedOut;
    }

    void noteOutcome(const platform::StoreError* error)
    {
        // A refused sequence number or lost history is an answer of a store that works.
        bool isAnswered = !error || error->failure_ == platform::StoreFailure::OutOfSequence
            || error->failure_ == platform::StoreFailure::HistoryGone;
        int status = error ? error->status_ : 0;
        storeCallEnded(pace_, error ? endOf(*error) : StoreCallEnd::Served, bootNow(), random_);
        // The store works and has too many calls; whether it turns this VM away altogether, reads will tell.
        if (status == tooManyCalls) {
            tooMany_.add();
            logEvent("store-over-rate",
                { { "calls_per_s", fmt::format("{:.0f}", pace_.rate_.value_) },
                    { "pauses", std::to_string(pace_.failures_) } });
            return;
        }
        if (noteStoreOutcome(health_, isAnswered, "budget", status, bootNow()) && !health_.isUp_)
            refuseWaiting();
    }

    void tick(bool isDraining, MonotonicTime now)
    {
        if (!health_.isUp_ || isStoreFailing(pace_, now))
            refuseWaiting();
        pump();
        if (health_.isUp_)
            carryOut(escrowTick(escrow_, isDraining, now));
    }
};

BudgetKeeper::BudgetKeeper(platform::StoreClient& store, StoreHealth& health, WriterId writer,
    std::uint32_t partitions, OnDecision decide)
    : impl_(std::make_shared<Impl>(store, health, writer, partitions, std::move(decide)))
{
    impl_->escrow_.writer_ = std::move(writer);
}

BudgetKeeper::~BudgetKeeper() = default;

void BudgetKeeper::turnArrived(
    const ProgramId& program, TokenCount budget, Milliseconds retention, const WaitingTurn& turn)
{
    impl_->turnArrived(program, budget, retention, turn);
}

void BudgetKeeper::turnAbandoned(const ProgramId& program, TurnId turn)
{
    fescue::turnAbandoned(impl_->escrow_, program, turn);
}

void BudgetKeeper::turnEnded(const ProgramId& program, TokenCount most, TokenCount used)
{
    impl_->carryOut(fescue::turnEnded(impl_->escrow_, program, most, used, bootNow()));
}

void BudgetKeeper::tick(bool isDraining, MonotonicTime now) { impl_->tick(isDraining, now); }

bool BudgetKeeper::isQuiet() const
{
    return std::none_of(
        impl_->lanes_.begin(), impl_->lanes_.end(), [](const auto& entry) { return entry.second.isBusy_; });
}

std::size_t BudgetKeeper::programs() const { return impl_->escrow_.programs_.size(); }

std::string BudgetKeeper::describe(const ProgramId& program) const
{
    const ProgramBudget* budget = find(program);
    if (!budget)
        return "nothing";
    if (!budget->isWriting_)
        return "other turns of the program";
    return fmt::format("a claim, {} calls of the store under way, {:.0f} a second allowed, {} lanes wait",
        impl_->pace_.underWay_, impl_->pace_.rate_.value_, impl_->urgent_.size() + impl_->idle_.size());
}

const ProgramBudget* BudgetKeeper::find(const ProgramId& program) const { return impl_->find(program); }

} // namespace fescue
