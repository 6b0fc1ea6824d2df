#include "PacedStore.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"

#include <fmt/format.h>

namespace fescue {

namespace {

    constexpr int httpTooManyRequests = 429;

    StoreCallOutcome outcomeOf(const platform::StoreError* error)
    {
        if (!error)
            return StoreCallOutcome::Served;
        if (error->status_ == httpTooManyRequests)
            return StoreCallOutcome::OverRate;
        bool hasAnswer = error->failure_ != platform::StoreFailure::NoAnswer || error->status_ != 0;
        return hasAnswer ? StoreCallOutcome::Refused : StoreCallOutcome::TimedOut;
    }

    // A rejected sequence number or truncated history is an answer of a working store.
    bool isAnswer(const platform::StoreError* error)
    {
        return !error || error->failure_ == platform::StoreFailure::OutOfSequence
            || error->failure_ == platform::StoreFailure::HistoryTruncated;
    }

} // namespace

struct PacedStore::Impl : std::enable_shared_from_this<PacedStore::Impl> {
    platform::StoreClient& store_;
    StoreHealth& health_;
    StoreThrottle throttle_;
    Random random_;
    std::optional<MonotonicTime> servedAt_; ///< Time of the last served call.
    std::vector<std::function<void()>> onCallEnded_;
    Counter overRate_ { "store_calls_over_rate_total" };

    Impl(platform::StoreClient& store, StoreHealth& health, std::uint64_t seed)
        : store_(store)
        , health_(health)
        , random_(seed)
    {
    }

    template <typename Value> platform::OnStore<Value> start(const char* user, platform::OnStore<Value> done)
    {
        onStoreCallStarted(throttle_, bootNow());
        return [weak = weak_from_this(), user, done = std::move(done), startedAt = bootNow()](
                   tl::expected<Value, platform::StoreError> result) {
            auto self = weak.lock();
            if (!self)
                return;
            self->recordEnd(user, result ? nullptr : &result.error(), startedAt);
            done(std::move(result));
            for (const auto& callback : self->onCallEnded_)
                callback();
        };
    }

    void recordEnd(const char* user, const platform::StoreError* error, MonotonicTime startedAt)
    {
        // Refusals are faster than regular answers and would distort the latency estimate.
        if (!error) {
            recordStoreLatency(throttle_, bootNow() - startedAt);
            servedAt_ = bootNow();
        }
        int status = error ? error->status_ : 0;
        onStoreCallEnded(throttle_, outcomeOf(error), bootNow(), random_);
        // The store works but is over its rate limit. Reads show whether it refuses this VM altogether.
        if (status == httpTooManyRequests) {
            overRate_.add();
            logEvent("store-over-rate",
                { { "calls_per_s", fmt::format("{:.0f}", throttle_.rate_.value_) },
                    { "pauses", std::to_string(throttle_.failures_) } });
            return;
        }
        recordStoreOutcome(health_, isAnswer(error), user, status, bootNow());
    }
};

PacedStore::PacedStore(platform::StoreClient& store, StoreHealth& health, std::uint64_t seed)
    : impl_(std::make_shared<Impl>(store, health, seed))
{
}

PacedStore::~PacedStore() = default;

bool PacedStore::canCall() const { return canCallStore(impl_->throttle_, bootNow()); }

bool PacedStore::isFailing() const
{
    return !impl_->health_.isUp_ || isStoreFailing(impl_->throttle_, bootNow());
}

bool PacedStore::isBetterAvoided() const
{
    return isFailing() || isStoreRefusing(impl_->throttle_, bootNow());
}

bool PacedStore::isUnusable() const { return isFailing() && !canCall(); }

bool PacedStore::wasServedWithin(Milliseconds time) const
{
    return impl_->servedAt_ && bootNow() <= *impl_->servedAt_ + time;
}

const StoreHealth& PacedStore::health() const { return impl_->health_; }

const StoreThrottle& PacedStore::throttle() const { return impl_->throttle_; }

void PacedStore::append(const platform::StorePartition& partition,
    const std::vector<platform::KeyedRecord>& records, const std::optional<platform::StoreWriter>& writer,
    const char* user, platform::OnStore<std::uint64_t> done)
{
    Milliseconds timeout = storeTimeout(impl_->throttle_);
    impl_->store_.append(partition, records, writer, timeout, impl_->start(user, std::move(done)));
}

void PacedStore::readNewest(const platform::StorePartition& partition, const std::string& after,
    const char* user, platform::OnStore<platform::NewestPage> done)
{
    Milliseconds timeout = storeTimeout(impl_->throttle_);
    impl_->store_.readNewest(partition, after, timeout, impl_->start(user, std::move(done)));
}

void PacedStore::readFrom(const platform::StorePartition& partition, std::uint64_t from, std::size_t maxBytes,
    const char* user, platform::OnStore<platform::RecordPage> done)
{
    Milliseconds timeout = storeTimeout(impl_->throttle_);
    impl_->store_.readFrom(
        partition, from, maxBytes, Milliseconds { 0 }, timeout, impl_->start(user, std::move(done)));
}

void PacedStore::onCallEnded(std::function<void()> callback)
{
    impl_->onCallEnded_.push_back(std::move(callback));
}

} // namespace fescue
