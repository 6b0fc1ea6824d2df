#include "CacheReclaimer.h"

#include "EventLog.h"
#include "TargetRequest.h"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>

namespace fescue {

using nlohmann::json;

namespace {

    constexpr Milliseconds initialRetryDelay { 200 };
    constexpr Milliseconds maxRetryDelay { 5000 };
    constexpr int otherZoneIntervalFactor = 10;
    // With many engines each is listed less often, so that a VM requests about one list per second.
    constexpr Milliseconds minIntervalPerEngine { 1000 };
    // Releases beyond it are found again when the engines are listed.
    constexpr std::size_t maxPendingReleases = 8192;
    constexpr int statusNotFound = 404;
    constexpr int statusStaleFencingToken = 412;

    using ReleaseKey = std::pair<ProgramId, TargetId>;

    // A release that the engine has not confirmed.
    struct PendingRelease {
        Epoch epoch_;
        MonotonicTime sendAt_;
        Milliseconds retryDelay_ = initialRetryDelay;
        bool isSent_ = false; ///< An answer is outstanding.
    };

    struct EngineState {
        Target target_;
        MonotonicTime nextListAt_;
        bool isListing_ = false;
    };

    using ProgramsByShard = std::map<ShardKey, std::vector<ProgramId>>;

    ProgramsByShard groupByShard(const std::string& list, const ZoneId& zone)
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

    // Whether the engine has nothing cached for the program, or accepts requests only from a newer owner.
    bool isReleaseSettled(const HttpResult& result)
    {
        if (result.outcome_ != HttpResult::Outcome::Answered)
            return false;
        return (result.status_ >= 200 && result.status_ < 300) || result.status_ == statusNotFound
            || result.status_ == statusStaleFencingToken;
    }

} // namespace

struct CacheReclaimer::Impl {
    CacheReclaimerOptions options_;
    HttpClient& client_;
    ShardManager& shardManager_;
    mutable std::mutex mutex_; ///< Guards the tables; acquired after a shard's lock, never before it.
    std::map<TargetId, EngineState> engines_;
    std::map<ReleaseKey, PendingRelease> pendingReleases_;

    Impl(const CacheReclaimerOptions& options, HttpClient& client, ShardManager& shardManager)
        : options_(options)
        , client_(client)
        , shardManager_(shardManager)
    {
    }

    // Precondition: the lock is held.
    void addReleaseLocked(const ProgramId& program, Epoch epoch, const TargetId& engine)
    {
        if (pendingReleases_.size() >= maxPendingReleases)
            return;
        PendingRelease& release = pendingReleases_[{ program, engine }];
        release.epoch_ = std::max(release.epoch_, epoch);
    }

    void addRelease(const ProgramId& program, Epoch epoch, const TargetId& engine)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        addReleaseLocked(program, epoch, engine);
    }

    // Precondition: the lock is held.
    void sendReleases(MonotonicTime now)
    {
        for (auto next = pendingReleases_.begin(); next != pendingReleases_.end();) {
            auto current = next++;
            PendingRelease& release = current->second;
            auto engine = engines_.find(current->first.second);
            if (engine == engines_.end()) {
                pendingReleases_.erase(current);
                continue;
            }
            if (release.isSent_ || now < release.sendAt_)
                continue;
            release.isSent_ = true;
            client_.start(releaseRequest(current->first.first, release.epoch_, engine->second.target_),
                [this, key = current->first](const HttpResult& result) { handleReleaseResult(key, result); });
        }
    }

    void handleReleaseResult(const ReleaseKey& key, const HttpResult& result)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = pendingReleases_.find(key);
        if (found == pendingReleases_.end())
            return;
        logEvent("cache_release_answered",
            { { "program", key.first.value_ }, { "target", key.second.value_ },
                { "status", std::to_string(result.status_) } });
        if (isReleaseSettled(result)) {
            pendingReleases_.erase(found);
            return;
        }
        PendingRelease& release = found->second;
        release.isSent_ = false;
        release.sendAt_ = monotonicNow() + release.retryDelay_;
        release.retryDelay_ = std::min(2 * release.retryDelay_, maxRetryDelay);
    }

    // Precondition: the lock is held.
    void requestLists(MonotonicTime now)
    {
        for (auto& [id, engine] : engines_) {
            if (engine.isListing_ || now < engine.nextListAt_)
                continue;
            engine.isListing_ = true;
            client_.start({ "GET", engine.target_.url_ + "/v1/cache" },
                [this, id = id](const HttpResult& result) { handleList(id, result); });
        }
    }

    void handleList(const TargetId& engine, const HttpResult& result)
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            auto found = engines_.find(engine);
            if (found == engines_.end())
                return;
            bool isOwnZone = found->second.target_.zone_ == options_.zone_;
            found->second.isListing_ = false;
            found->second.nextListAt_ = monotonicNow() + listInterval(isOwnZone);
        }
        if (result.outcome_ != HttpResult::Outcome::Answered || result.status_ != 200)
            return;
        for (const auto& [shard, programs] : groupByShard(result.body_, options_.zone_))
            releaseEndedPrograms(shard, programs, engine);
    }

    // Precondition: the lock is held.
    Milliseconds listInterval(bool isOwnZone) const
    {
        auto engines = std::count_if(engines_.begin(), engines_.end(),
            [&](const auto& entry) { return (entry.second.target_.zone_ == options_.zone_) == isOwnZone; });
        int factor = isOwnZone ? 1 : otherZoneIntervalFactor;
        return std::max(options_.listInterval_ * factor, minIntervalPerEngine * engines);
    }

    void releaseEndedPrograms(
        const ShardKey& shard, const std::vector<ProgramId>& programs, const TargetId& engine)
    {
        bool hasEndedProgram = false;
        shardManager_.inspect(shard, [&](const Shard& state) {
            hasEndedProgram = std::any_of(programs.begin(), programs.end(),
                [&state](const ProgramId& program) { return hasProgramEnded(state, program); });
        });
        if (!hasEndedProgram)
            return;
        shardManager_.inspectAfterRead(shard, [this, programs, engine](const Shard& state) {
            for (const ProgramId& program : programs) {
                if (hasProgramEnded(state, program))
                    addRelease(program, state.epoch_, engine);
            }
        });
    }
};

bool hasProgramEnded(const Shard& shard, const ProgramId& program)
{
    if (shard.epoch_.value_ == 0)
        return false;
    auto known = shard.ledger_.programs_.find(program);
    if (known != shard.ledger_.programs_.end())
        return known->second.hasEnded_;
    return shard.ledger_.isComplete_ && shard.active_.count(program) == 0;
}

CacheReclaimer::CacheReclaimer(
    const CacheReclaimerOptions& options, HttpClient& client, ShardManager& shardManager)
    : impl_(std::make_unique<Impl>(options, client, shardManager))
{
}

CacheReclaimer::~CacheReclaimer() = default;

void CacheReclaimer::setManifest(const Manifest& manifest)
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

void CacheReclaimer::release(const ProgramId& program, Epoch epoch)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    for (const auto& [id, engine] : impl_->engines_) {
        if (engine.target_.zone_ == impl_->options_.zone_)
            impl_->addReleaseLocked(program, epoch, id);
    }
    impl_->sendReleases(monotonicNow());
}

void CacheReclaimer::tick()
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    auto now = monotonicNow();
    impl_->sendReleases(now);
    impl_->requestLists(now);
}

std::size_t CacheReclaimer::pendingReleaseCount() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->pendingReleases_.size();
}

} // namespace fescue
