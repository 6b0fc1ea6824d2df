#include "ShardHome.h"

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

    constexpr Milliseconds firstRetry { 100 };
    constexpr Milliseconds longestRetry { 2000 };
    constexpr Milliseconds ownerRetryAfter { 1000 };
    constexpr Milliseconds forgetAfter { 60000 };

    // A request that waits until this VM owns the shard, or has looked whether it still does.
    struct Waiting {
        RequestId request_;
        ShardHomes::Decision decision_;
        MonotonicTime since_;
    };

    struct Home {
        std::mutex mutex_;
        Shard shard_;
        std::vector<Waiting> waiting_;
        std::vector<Waiting> doubtful_; ///< Wait for a read that has not begun.
        std::vector<Waiting> verifying_; ///< Wait for the end of the read under way.
        std::vector<ShardHomes::Inspect> lookers_; ///< Wait for a read that has not begun.
        std::vector<ShardHomes::Inspect> readers_; ///< Wait for the end of the read under way.
        bool isBusy_ = false; ///< A log operation is under way.
        bool isSettling_ = false; ///< It is being let go and has told the log what it did not spend.
        bool needsRead_ = true; ///< What is in the stream after `ledger_.readTo_` is not known.
        bool wantsOwnership_ = false;
        MonotonicTime retryAt_;
        Milliseconds retryDelay_ = firstRetry;
        MonotonicTime flushAt_;
        MonotonicTime usedAt_;
        std::uint64_t appends_ = 0;
    };

    using HomePtr = std::shared_ptr<Home>;

    Problem notTakenOver()
    {
        return { ProblemKind::LogUnavailable, RunState::NotRun,
            "this VM could not take the program's shard over because the log service does not answer; "
            "whether an "
            "earlier attempt of the call ran is not known here; send the same call again",
            ownerRetryAfter, true };
    }

} // namespace

struct ShardHomes::Impl {
    ShardHomeOptions options_;
    HttpClient& client_;
    CarryOut carryOut_;
    mutable std::mutex mutex_; ///< Guards the table, not the homes.
    std::map<ShardKey, HomePtr> homes_;

    Impl(const ShardHomeOptions& options, HttpClient& client, CarryOut carryOut)
        : options_(options)
        , client_(client)
        , carryOut_(std::move(carryOut))
    {
    }

    HomePtr homeOf(const ShardKey& shard)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        HomePtr& home = homes_[shard];
        if (!home) {
            home = std::make_shared<Home>();
            home->shard_.ledger_.shard_ = shard;
        }
        return home;
    }

    HomePtr find(const ShardKey& shard) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = homes_.find(shard);
        return found == homes_.end() ? nullptr : found->second;
    }

    std::vector<HomePtr> all() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::vector<HomePtr> homes;
        homes.reserve(homes_.size());
        for (const auto& [key, home] : homes_)
            homes.push_back(home);
        return homes;
    }

    ShardContext context() const { return { monotonicNow(), options_.limits_ }; }

    // Precondition for all below: the home's lock is held.
    void carryOutAll(Home& home, const Effects& effects)
    {
        for (const Effect& effect : effects) {
            if (const auto* reply = std::get_if<ReplyFromLog>(&effect))
                replyFromLog(home.shard_.ledger_.shard_, *reply);
            else
                carryOut_(home.shard_.ledger_.shard_, effect);
        }
    }

    // Beside the shard's own traffic with the log, since nothing of its state depends on the answer.
    void replyFromLog(const ShardKey& shard, const ReplyFromLog& reply)
    {
        readLog(client_, options_.log_, streamOf(shard), reply.offset_, Milliseconds { 0 },
            [this, shard, reply](const tl::expected<LogPage, LogError>& page) {
                for (const Effect& effect : answerFromLog(reply, batchAt(page, reply.offset_)))
                    carryOut_(shard, effect);
            });
    }

    static std::optional<Batch> batchAt(const tl::expected<LogPage, LogError>& page, LogOffset offset)
    {
        if (!page || page->entries_.empty() || page->entries_.front().offset_ != offset)
            return std::nullopt;
        auto batch = parseBatch(page->entries_.front().data_);
        return batch ? std::optional<Batch>(std::move(*batch)) : std::nullopt;
    }

    void decide(Home& home, const Decision& decision) { carryOutAll(home, decision(home.shard_, context())); }

    void runWaiting(Home& home)
    {
        std::vector<Waiting> ready;
        ready.swap(home.waiting_);
        for (const Waiting& waiting : ready)
            decide(home, waiting.decision_);
    }

    void pump(const HomePtr& home)
    {
        if (home->isBusy_ || monotonicNow() < home->retryAt_)
            return;
        Shard& shard = home->shard_;
        bool isConcerned = shard.epoch_.value_ != 0 || home->wantsOwnership_ || shard.inFlight_;
        bool isAwaited = !home->lookers_.empty() || !home->doubtful_.empty();
        if ((home->needsRead_ && isConcerned) || isAwaited)
            return read(home);
        if (shard.epoch_.value_ == 0 && home->wantsOwnership_ && !shard.inFlight_)
            takeClaim(shard, options_.writer_, options_.vm_);
        bool isDue = shard.isUrgent_ || monotonicNow() >= home->flushAt_;
        ByteCount mostBytes = options_.limits_.batchBytes_;
        if (!shard.inFlight_ && (!isDue || !takeBatch(shard, options_.writer_, mostBytes)))
            return;
        append(home);
    }

    void append(const HomePtr& home)
    {
        home->isBusy_ = true;
        home->flushAt_ = monotonicNow() + options_.flushInterval_;
        ++home->appends_;
        Batch batch = *home->shard_.inFlight_;
        logBatchAppended(home->shard_.ledger_.shard_, batch);
        appendToLog(client_, options_.log_, streamOf(home->shard_.ledger_.shard_), toJsonText(batch),
            [this, home, batch, sent = Stopwatch()](const tl::expected<LogOffset, LogError>& offset) {
                observeLatency("scheduler_append_seconds", sent.elapsed());
                appended(home, batch, offset);
            });
    }

    void appended(const HomePtr& home, const Batch& batch, const tl::expected<LogOffset, LogError>& offset)
    {
        std::lock_guard<std::mutex> lock(home->mutex_);
        home->isBusy_ = false;
        if (!offset) {
            home->needsRead_ = home->needsRead_ || offset.error().mayHaveTakenEffect_;
            return logFailed(*home, offset.error());
        }
        logAnswered(*home);
        bool isNext = offset->value_ == home->shard_.ledger_.readTo_.value_ + 1;
        if (isNext)
            fold(*home, *offset, batch);
        else
            home->needsRead_ = true;
        pump(home);
    }

    void read(const HomePtr& home)
    {
        home->isBusy_ = true;
        std::move(home->lookers_.begin(), home->lookers_.end(), std::back_inserter(home->readers_));
        home->lookers_.clear();
        std::move(home->doubtful_.begin(), home->doubtful_.end(), std::back_inserter(home->verifying_));
        home->doubtful_.clear();
        LogOffset from { home->shard_.ledger_.readTo_.value_ + 1 };
        readLog(client_, options_.log_, streamOf(home->shard_.ledger_.shard_), from, Milliseconds { 0 },
            [this, home](const tl::expected<LogPage, LogError>& page) { pageRead(home, page); });
    }

    void pageRead(const HomePtr& home, const tl::expected<LogPage, LogError>& page)
    {
        std::lock_guard<std::mutex> lock(home->mutex_);
        home->isBusy_ = false;
        if (!page)
            return logFailed(*home, page.error());
        logAnswered(*home);
        if (page->first_.value_ > home->shard_.ledger_.readTo_.value_ + 1)
            skipGap(*home, page->first_);
        for (const LogEntry& entry : page->entries_)
            foldEntry(*home, entry);
        home->needsRead_ = home->shard_.ledger_.readTo_.value_ + 1 < page->next_.value_;
        if (!home->needsRead_) {
            letReadersLook(*home);
            decideVerified(*home, home->verifying_);
        }
        pump(home);
    }

    // By what is known now; without the shard they wait for it like any other request.
    void decideVerified(Home& home, std::vector<Waiting>& requests)
    {
        std::vector<Waiting> ready;
        ready.swap(requests);
        for (Waiting& request : ready) {
            if (home.shard_.epoch_.value_ != 0) {
                decide(home, request.decision_);
                continue;
            }
            home.waiting_.push_back(std::move(request));
            home.wantsOwnership_ = true;
        }
    }

    void skipGap(Home& home, LogOffset first)
    {
        bool wasOwned = home.shard_.epoch_.value_ != 0;
        logEvent("log_gap",
            { { "shard", streamOf(home.shard_.ledger_.shard_) },
                { "offset", std::to_string(first.value_) } });
        carryOutAll(home, startBeyondGap(home.shard_, first));
        if (wasOwned)
            home.wantsOwnership_ = !home.waiting_.empty();
    }

    void letReadersLook(Home& home)
    {
        std::vector<Inspect> readers;
        readers.swap(home.readers_);
        for (const Inspect& look : readers)
            look(home.shard_);
    }

    void foldEntry(Home& home, const LogEntry& entry)
    {
        auto batch = parseBatch(entry.data_);
        if (batch)
            fold(home, entry.offset_, *batch);
        else
            home.shard_.ledger_.readTo_ = entry.offset_;
    }

    void fold(Home& home, LogOffset offset, const Batch& batch)
    {
        Epoch before = home.shard_.epoch_;
        bool isConfirmed = batch.writer_ == options_.writer_ && batch.epoch_ == before;
        logBatchRead(home.shard_.ledger_.shard_, offset, batch, isConfirmed && before.value_ != 0);
        carryOutAll(home, entryRead(home.shard_, offset, batch, context()));
        if (home.shard_.epoch_ == before)
            return;
        const Ledger& ledger = home.shard_.ledger_;
        bool isOwned = home.shard_.epoch_.value_ != 0;
        logEvent(isOwned ? "shard_owned" : "shard_lost",
            { { "shard", streamOf(ledger.shard_) }, { "epoch", std::to_string(ledger.epoch_.value_) },
                { "offset", std::to_string(offset.value_) }, { "owner", ledger.owner_.value_ } });
        home.wantsOwnership_ = !isOwned && !home.waiting_.empty();
        if (isOwned)
            runWaiting(home);
    }

    void logAnswered(Home& home)
    {
        if (home.shard_.isLogDown_)
            logEvent("log_back", { { "shard", streamOf(home.shard_.ledger_.shard_) } });
        home.shard_.isLogDown_ = false;
        home.retryDelay_ = firstRetry;
    }

    void logFailed(Home& home, const LogError& error)
    {
        if (!home.shard_.isLogDown_)
            logWarning("log_down", error.detail_, { { "shard", streamOf(home.shard_.ledger_.shard_) } });
        home.shard_.isLogDown_ = true;
        home.retryAt_ = monotonicNow() + home.retryDelay_;
        home.retryDelay_ = std::min(2 * home.retryDelay_, longestRetry);
        decideVerified(home, home.verifying_);
        decideVerified(home, home.doubtful_);
    }

    // The ledger of a shard that another VM owns is read again when it is needed.
    void forgetUnused(Home& home)
    {
        const Shard& shard = home.shard_;
        bool isUsed = shard.epoch_.value_ != 0 || home.wantsOwnership_ || shard.inFlight_ || home.isBusy_
            || !home.waiting_.empty();
        if (isUsed)
            home.usedAt_ = monotonicNow();
        if (isUsed || shard.ledger_.readTo_.value_ == 0 || monotonicNow() - home.usedAt_ < forgetAfter)
            return;
        forgetState(home.shard_);
        home.needsRead_ = true;
    }

    void giveUpWaiting(Home& home)
    {
        auto patience = options_.claimPatience_;
        auto now = monotonicNow();
        std::vector<Waiting> patient;
        for (Waiting& waiting : home.waiting_) {
            if (now - waiting.since_ < patience)
                patient.push_back(std::move(waiting));
            else
                carryOut_(home.shard_.ledger_.shard_, ReplyProblem { { waiting.request_ }, notTakenOver() });
        }
        home.waiting_ = std::move(patient);
    }
};

ShardHomes::ShardHomes(const ShardHomeOptions& options, HttpClient& client, CarryOut carryOut)
    : impl_(std::make_unique<Impl>(options, client, std::move(carryOut)))
{
}

ShardHomes::~ShardHomes() = default;

void ShardHomes::submit(const ShardKey& shard, RequestId request, Decision decision, const Doubt& doubt)
{
    HomePtr home = impl_->homeOf(shard);
    std::lock_guard<std::mutex> lock(home->mutex_);
    bool isOwned = home->shard_.epoch_.value_ != 0;
    if (isOwned && !home->shard_.isLogDown_ && doubt && doubt(home->shard_)) {
        home->doubtful_.push_back({ request, std::move(decision), monotonicNow() });
    } else if (isOwned) {
        impl_->decide(*home, decision);
    } else {
        home->waiting_.push_back({ request, std::move(decision), monotonicNow() });
        home->wantsOwnership_ = true;
    }
    impl_->pump(home);
}

void ShardHomes::report(const ShardKey& shard, const Decision& decision)
{
    HomePtr home = impl_->homeOf(shard);
    std::lock_guard<std::mutex> lock(home->mutex_);
    impl_->decide(*home, decision);
    impl_->pump(home);
}

void ShardHomes::takeOver(const ShardKey& shard)
{
    HomePtr home = impl_->homeOf(shard);
    std::lock_guard<std::mutex> lock(home->mutex_);
    if (home->shard_.epoch_.value_ != 0)
        return;
    home->wantsOwnership_ = true;
    impl_->pump(home);
}

void ShardHomes::verify(const ShardKey& shard)
{
    HomePtr home = impl_->homeOf(shard);
    std::lock_guard<std::mutex> lock(home->mutex_);
    if (home->shard_.epoch_.value_ == 0)
        return;
    home->needsRead_ = true;
    impl_->pump(home);
}

void ShardHomes::whenRead(const ShardKey& shard, Inspect look)
{
    HomePtr home = impl_->homeOf(shard);
    std::lock_guard<std::mutex> lock(home->mutex_);
    home->lookers_.push_back(std::move(look));
    impl_->pump(home);
}

ShardHomes::LetGo ShardHomes::letGo(const ShardKey& shard)
{
    HomePtr home = impl_->homeOf(shard);
    std::lock_guard<std::mutex> lock(home->mutex_);
    Shard& state = home->shard_;
    if (state.epoch_.value_ == 0)
        return LetGo::Gone;
    bool isWaitedFor = !home->waiting_.empty() || !home->doubtful_.empty() || !home->verifying_.empty();
    for (const auto& [program, active] : state.active_)
        isWaitedFor = isWaitedFor || active.running_;
    home->isSettling_ = home->isSettling_ && !isWaitedFor;
    if (isWaitedFor || !state.outbox_.empty() || state.inFlight_)
        return home->isSettling_ ? LetGo::Settling : LetGo::Busy;
    prepareHandOver(state);
    home->isSettling_ = !state.outbox_.empty();
    if (home->isSettling_) {
        impl_->pump(home);
        return LetGo::Settling;
    }
    logEvent(
        "shard_let_go", { { "shard", streamOf(shard) }, { "epoch", std::to_string(state.epoch_.value_) } });
    impl_->carryOutAll(*home, loseOwnership(state));
    home->wantsOwnership_ = false;
    return LetGo::Gone;
}

bool ShardHomes::isOwned(const ShardKey& shard) const
{
    HomePtr home = impl_->find(shard);
    if (!home)
        return false;
    std::lock_guard<std::mutex> lock(home->mutex_);
    return home->shard_.epoch_.value_ != 0;
}

void ShardHomes::tick()
{
    for (const HomePtr& home : impl_->all()) {
        std::lock_guard<std::mutex> lock(home->mutex_);
        impl_->carryOutAll(*home, shardTick(home->shard_, impl_->context()));
        impl_->giveUpWaiting(*home);
        impl_->forgetUnused(*home);
        impl_->pump(home);
    }
}

void ShardHomes::flushNow()
{
    for (const HomePtr& home : impl_->all()) {
        std::lock_guard<std::mutex> lock(home->mutex_);
        home->shard_.isUrgent_ = true;
        impl_->pump(home);
    }
}

void ShardHomes::inspect(const ShardKey& shard, const Inspect& look) const
{
    HomePtr home = impl_->homeOf(shard);
    std::lock_guard<std::mutex> lock(home->mutex_);
    look(home->shard_);
}

std::vector<ShardStatus> ShardHomes::status() const
{
    std::vector<ShardStatus> rows;
    for (const HomePtr& home : impl_->all()) {
        std::lock_guard<std::mutex> lock(home->mutex_);
        const Shard& shard = home->shard_;
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
