#include "CacheKeeper.h"

#include "EventLog.h"
#include "TargetRequest.h"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>

namespace fescue {

using nlohmann::json;

namespace {

    constexpr Milliseconds firstRetry { 200 };
    constexpr Milliseconds longestRetry { 5000 };
    constexpr int otherZonesRarer = 10;
    // With many engines each is asked less often, so that a VM asks for one list or so a second.
    constexpr Milliseconds shortestBetweenLists { 1000 };
    constexpr std::size_t mostOrders = 8192; // More are left to the comparison with the engines' lists.
    constexpr int statusNotFound = 404;
    constexpr int statusOldFencingToken = 412;

    using OrderKey = std::pair<ProgramId, TargetId>;

    // An order to free memory that the engine has not confirmed.
    struct Order {
        Epoch epoch_;
        MonotonicTime sendAt_;
        Milliseconds retryDelay_ = firstRetry;
        bool isSent_ = false; ///< An answer may still come.
    };

    struct EngineState {
        Target target_;
        MonotonicTime listAt_;
        bool isListing_ = false;
    };

    using ProgramsByShard = std::map<ShardKey, std::vector<ProgramId>>;

    ProgramsByShard programsOf(const std::string& list, const ZoneId& zone)
    {
        ProgramsByShard programs;
        json document = json::parse(list, nullptr, false);
        if (!document.is_object() || !document.contains("entries") || !document["entries"].is_array())
            return programs;
        for (const json& entry : document["entries"]) {
            ProgramId program { entry.is_object() ? entry.value("key", "") : std::string() };
            auto shard = shardOf(program);
            if (shard && shard->zone_ == zone)
                programs[*shard].push_back(program);
        }
        return programs;
    }

    // Whether the engine has nothing of the program any more, or takes orders only of a newer owner.
    bool isSettled(const HttpResult& result)
    {
        if (result.fate_ != HttpResult::Fate::Answered)
            return false;
        return (result.status_ >= 200 && result.status_ < 300) || result.status_ == statusNotFound
            || result.status_ == statusOldFencingToken;
    }

} // namespace

struct CacheKeeper::Impl {
    CacheKeeperOptions options_;
    HttpClient& client_;
    ShardHomes& homes_;
    mutable std::mutex mutex_; ///< Guards the tables; taken after a shard's lock, never before one.
    std::map<TargetId, EngineState> engines_;
    std::map<OrderKey, Order> orders_;

    Impl(const CacheKeeperOptions& options, HttpClient& client, ShardHomes& homes)
        : options_(options)
        , client_(client)
        , homes_(homes)
    {
    }

    // Precondition: the lock is held.
    void order(const ProgramId& program, Epoch epoch, const TargetId& engine)
    {
        if (orders_.size() >= mostOrders)
            return;
        Order& order = orders_[{ program, engine }];
        order.epoch_ = std::max(order.epoch_, epoch);
    }

    void orderOne(const ProgramId& program, Epoch epoch, const TargetId& engine)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        order(program, epoch, engine);
    }

    // Precondition: the lock is held.
    void sendOrders(MonotonicTime now)
    {
        for (auto next = orders_.begin(); next != orders_.end();) {
            auto current = next++;
            Order& order = current->second;
            auto engine = engines_.find(current->first.second);
            if (engine == engines_.end()) {
                orders_.erase(current);
                continue;
            }
            if (order.isSent_ || now < order.sendAt_)
                continue;
            order.isSent_ = true;
            client_.start(releaseRequest(current->first.first, order.epoch_, engine->second.target_),
                [this, key = current->first](const HttpResult& result) { orderAnswered(key, result); });
        }
    }

    void orderAnswered(const OrderKey& key, const HttpResult& result)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = orders_.find(key);
        if (found == orders_.end())
            return;
        logEvent("cache_release_answered",
            { { "program", key.first.value_ }, { "target", key.second.value_ },
                { "status", std::to_string(result.status_) } });
        if (isSettled(result)) {
            orders_.erase(found);
            return;
        }
        Order& order = found->second;
        order.isSent_ = false;
        order.sendAt_ = monotonicNow() + order.retryDelay_;
        order.retryDelay_ = std::min(2 * order.retryDelay_, longestRetry);
    }

    // Precondition: the lock is held.
    void askForLists(MonotonicTime now)
    {
        for (auto& [id, engine] : engines_) {
            if (engine.isListing_ || now < engine.listAt_)
                continue;
            engine.isListing_ = true;
            client_.start({ "GET", engine.target_.url_ + "/v1/cache" },
                [this, id = id](const HttpResult& result) { listCame(id, result); });
        }
    }

    void listCame(const TargetId& engine, const HttpResult& result)
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            auto found = engines_.find(engine);
            if (found == engines_.end())
                return;
            bool isOwnZone = found->second.target_.zone_ == options_.zone_;
            found->second.isListing_ = false;
            found->second.listAt_ = monotonicNow() + listInterval(isOwnZone);
        }
        if (result.fate_ != HttpResult::Fate::Answered || result.status_ != 200)
            return;
        for (const auto& [shard, programs] : programsOf(result.body_, options_.zone_))
            compare(shard, programs, engine);
    }

    // Precondition: the lock is held.
    Milliseconds listInterval(bool isOwnZone) const
    {
        auto engines = std::count_if(engines_.begin(), engines_.end(),
            [&](const auto& entry) { return (entry.second.target_.zone_ == options_.zone_) == isOwnZone; });
        int factor = isOwnZone ? 1 : otherZonesRarer;
        return std::max(options_.listInterval_ * factor, shortestBetweenLists * engines);
    }

    void compare(const ShardKey& shard, const std::vector<ProgramId>& programs, const TargetId& engine)
    {
        bool hasGone = false;
        homes_.inspect(shard, [&](const Shard& state) {
            hasGone = std::any_of(programs.begin(), programs.end(),
                [&state](const ProgramId& program) { return isGone(state, program); });
        });
        if (!hasGone)
            return;
        homes_.whenRead(shard, [this, programs, engine](const Shard& state) {
            for (const ProgramId& program : programs) {
                if (isGone(state, program))
                    orderOne(program, state.epoch_, engine);
            }
        });
    }
};

bool isGone(const Shard& shard, const ProgramId& program)
{
    if (shard.epoch_.value_ == 0)
        return false;
    auto known = shard.ledger_.programs_.find(program);
    if (known != shard.ledger_.programs_.end())
        return known->second.ended_;
    return shard.ledger_.complete_ && shard.active_.count(program) == 0;
}

CacheKeeper::CacheKeeper(const CacheKeeperOptions& options, HttpClient& client, ShardHomes& homes)
    : impl_(std::make_unique<Impl>(options, client, homes))
{
}

CacheKeeper::~CacheKeeper() = default;

void CacheKeeper::setManifest(const Manifest& manifest)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    std::map<TargetId, EngineState> engines;
    for (const auto& [id, target] : manifest.targets_) {
        if (target.models_.empty())
            continue;
        auto known = impl_->engines_.find(id);
        if (known != impl_->engines_.end())
            engines[id] = known->second;
        engines[id].target_ = target;
    }
    impl_->engines_ = std::move(engines);
}

void CacheKeeper::release(const ProgramId& program, Epoch epoch)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    for (const auto& [id, engine] : impl_->engines_) {
        if (engine.target_.zone_ == impl_->options_.zone_)
            impl_->order(program, epoch, id);
    }
    impl_->sendOrders(monotonicNow());
}

void CacheKeeper::tick()
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    auto now = monotonicNow();
    impl_->sendOrders(now);
    impl_->askForLists(now);
}

std::size_t CacheKeeper::unconfirmed() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->orders_.size();
}

} // namespace fescue
