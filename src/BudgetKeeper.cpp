#include "BudgetKeeper.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"
#include "StoreClient.h"

#include <chrono>
#include <fmt/format.h>
#include <xxhash.h>

namespace fescue {

namespace {

    // Topics over which programs are spread; with the partitions of each one, a partition holds few programs.
    constexpr std::uint64_t topicCount = 32;
    // A store that is slow, but answers in this time, still serves; longer waits cost callers their
    // deadlines.
    constexpr Milliseconds callTimeout { 800 };
    constexpr Milliseconds retryPause { 150 };
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
        bool isBusy_ = false;
        bool isWritten_ = false; ///< Only the read is left to do.
        std::optional<MonotonicTime> retryAt_;
    };

} // namespace

struct BudgetKeeper::Impl : std::enable_shared_from_this<BudgetKeeper::Impl> {
    platform::StoreClient& store_;
    StoreHealth& health_;
    std::uint32_t partitions_;
    OnDecision decide_;
    BudgetEscrow escrow_;
    std::map<platform::StorePartition, Lane> lanes_;
    Counter writes_ { "budget_writes_total" };
    Counter reads_ { "budget_reads_total" };

    Impl(platform::StoreClient& store, StoreHealth& health, std::uint32_t partitions, OnDecision decide)
        : store_(store)
        , health_(health)
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

    void carryOut(const EscrowEffects& effects)
    {
        for (const EscrowEffect& effect : effects) {
            if (const auto* decided = std::get_if<DecideTurn>(&effect))
                decide_(decided->turn_, decided->decision_);
            else if (const auto* write = std::get_if<WriteClaim>(&effect))
                enter(*write);
            else if (const auto* drop = std::get_if<DropClaim>(&effect))
                enter({ drop->program_, {}, false, true });
        }
        if (!health_.isUp_)
            refuseWaiting();
    }

    void refuseWaiting()
    {
        for (const EscrowEffect& effect : storeUnavailable(escrow_)) {
            if (const auto* decided = std::get_if<DecideTurn>(&effect))
                decide_(decided->turn_, decided->decision_);
        }
    }

    void enter(const WriteClaim& effect)
    {
        constexpr std::int64_t msPerSecond = 1000;
        BudgetClaim claim = effect.claim_;
        claim.expiresAt_ = wallSeconds() + effect.keepFor_.count() / msPerSecond + 1;
        enter({ effect.program_, claim, effect.isNeeded_, false });
    }

    void enter(Write write)
    {
        auto partition = partitionOf(write.program_);
        Lane& lane = lanes_[partition];
        lane.pending_.push_back(std::move(write));
        if (!lane.isBusy_)
            append(partition, lane);
    }

    void append(const platform::StorePartition& partition, Lane& lane)
    {
        lane.isBusy_ = true;
        lane.isWritten_ = false;
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
        store_.append(partition, lane.records_, { escrow_.writer_, lane.next_ }, callTimeout,
            [weak = weak_from_this(), partition](tl::expected<std::uint64_t, platform::StoreError> offset) {
                if (auto self = weak.lock())
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
            lane.retryAt_ = bootNow() + retryPause;
            return;
        }
        lane.next_.value_ += 1;
        lane.isWritten_ = true;
        lane.read_.clear();
        bool needsRead = std::any_of(
            lane.underWay_.begin(), lane.underWay_.end(), [](const Write& write) { return write.isNeeded_; });
        if (needsRead)
            return sendRead(partition, {});
        finish(partition, lane, false);
    }

    void sendRead(const platform::StorePartition& partition, const std::string& after)
    {
        reads_.add();
        store_.readNewest(partition, after, callTimeout,
            [weak = weak_from_this(), partition](
                tl::expected<platform::NewestPage, platform::StoreError> page) {
                if (auto self = weak.lock())
                    self->readPage(partition, page);
            });
    }

    void readPage(const platform::StorePartition& partition,
        const tl::expected<platform::NewestPage, platform::StoreError>& page)
    {
        Lane& lane = lanes_[partition];
        noteOutcome(page ? nullptr : &page.error());
        if (!page) {
            lane.read_.clear();
            lane.retryAt_ = bootNow() + retryPause;
            return;
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
        for (const Write& write : writes) {
            if (write.isDrop_)
                continue;
            if (!wasRead || !write.isNeeded_) {
                carryOut(claimLowered(escrow_, write.program_, bootNow()));
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
            append(partition, lane);
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

    void noteOutcome(const platform::StoreError* error)
    {
        // A refused sequence number or lost history is an answer of a store that works.
        bool isAnswered = !error || error->failure_ == platform::StoreFailure::OutOfSequence
            || error->failure_ == platform::StoreFailure::HistoryGone;
        int status = error ? error->status_ : 0;
        if (noteStoreOutcome(health_, isAnswered, "budget", status, bootNow()) && !health_.isUp_)
            refuseWaiting();
    }

    void tick(bool isDraining, MonotonicTime now)
    {
        if (!health_.isUp_)
            refuseWaiting();
        for (auto& [partition, lane] : lanes_) {
            if (!lane.retryAt_ || now < *lane.retryAt_)
                continue;
            lane.retryAt_.reset();
            if (lane.isWritten_)
                sendRead(partition, {});
            else
                sendAppend(partition, lane);
        }
        if (health_.isUp_)
            carryOut(escrowTick(escrow_, isDraining, now));
    }
};

BudgetKeeper::BudgetKeeper(platform::StoreClient& store, StoreHealth& health, WriterId writer,
    std::uint32_t partitions, OnDecision decide)
    : impl_(std::make_shared<Impl>(store, health, partitions, std::move(decide)))
{
    impl_->escrow_.writer_ = std::move(writer);
}

BudgetKeeper::~BudgetKeeper() = default;

void BudgetKeeper::turnArrived(
    const ProgramId& program, TokenCount budget, Milliseconds retention, const WaitingTurn& turn)
{
    impl_->carryOut(fescue::turnArrived(impl_->escrow_, program, budget, retention, turn, bootNow()));
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

const ProgramBudget* BudgetKeeper::find(const ProgramId& program) const
{
    auto found = impl_->escrow_.programs_.find(program);
    return found == impl_->escrow_.programs_.end() ? nullptr : &found->second;
}

} // namespace fescue
