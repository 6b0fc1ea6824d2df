#include "EntryVm.h"

#include "BootClock.h"
#include "CallForwarder.h"
#include "EventLog.h"
#include "FrontServer.h"
#include "Headers.h"
#include "Metrics.h"
#include "ProgramAdmission.h"
#include "StoreClient.h"
#include "StoreFollower.h"
#include "TcpLink.h"
#include "TurnBroker.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <random>
#include <xxhash.h>

namespace fescue {

namespace {

    // Bounds how late time-outs and retries are; each tick costs a wake-up.
    constexpr Milliseconds tickInterval { 25 };
    // A tick that is later than this means that the VM stood still, and all beliefs are old.
    constexpr Milliseconds stoodStill { 1500 };
    // The platform's balancer asks once a second and turns away after two misses.
    constexpr Milliseconds turnedAwayAfter { 2600 };
    // A drain ends when no request has come for this long.
    constexpr Milliseconds quietBeforeEnd { 400 };
    // Kept out of the platform's grace for the end of the process.
    constexpr Milliseconds endMargin { 700 };
    constexpr Milliseconds retryBudgetHeld { 300 };
    // Shorter outages end sooner than the platform's health checks would notice them.
    constexpr Milliseconds notReadyWithoutStore { 700 };
    constexpr Milliseconds retryNotReady { 300 };
    constexpr Milliseconds retryElsewhere { 50 }; // Another VM takes it at once.

    constexpr int ok = 200;
    constexpr int notFound = 404;
    constexpr int budgetSpent = 402;
    constexpr int unavailable = 503;

    // A name that no other start of any process has.
    WriterId writerOf(const VmId& vm)
    {
        std::random_device device;
        return { fmt::format("{}{}{:08x}{:08x}", vm.value_, writerIdSeparator, device(), device()) };
    }

    HttpHead plainHead(int status)
    {
        HttpHead head;
        head.status_ = status;
        head.headers_.push_back({ "Content-Type", "text/plain" });
        return head;
    }

} // namespace

struct EntryVm::Impl {
    // A turn that waits for its budget.
    struct PendingTurn {
        ForwardedCall call_;
        std::optional<TurnId> ask_; ///< At the broker; nothing while it is being asked.
    };
    using PendingId = std::uint64_t;

    EntryVmOptions options_;
    asio::io_context io_ { 1 };
    asio::signal_set signals_ { io_, SIGTERM, SIGINT, SIGHUP };
    asio::steady_timer timer_ { io_ };
    Random random_;
    AdmissionOptions admission_;
    std::optional<ServingConfig> config_;
    StoreHealth health_;
    platform::StoreClient store_;
    CallForwarder forwarder_;
    WriterId writer_;
    TurnBroker broker_;
    StoreFollower follower_;
    FrontServer front_;
    FrontServer ready_;
    std::unique_ptr<FrontServer> metrics_;
    std::map<PendingId, PendingTurn> turns_;
    PendingId lastTurn_ = 0;
    MonotonicTime lastTick_;
    MonotonicTime lastRequest_;
    std::optional<MonotonicTime> drainingSince_;
    bool wasReady_ = false;
    Counter unrouted_ { "unrouted_total" };
    Counter budgetRefused_ { "budget_refusals_total" };

    explicit Impl(EntryVmOptions options)
        : options_(std::move(options))
        , random_(options_.seed_)
        , store_(io_, *parseEndpoint(options_.settings_.store_.address_))
        , forwarder_(io_, options_.settings_.zone_, options_.seed_)
        , writer_(writerOf(options_.settings_.vm_))
        , broker_(io_, store_, health_, brokerOptions(options_.settings_, writer_))
        , follower_(store_, health_, intervals(options_.settings_),
              { [this](const ServingConfig& config) { takeConfig(config); },
                  [this](const TargetList& list) { takeTargets(list); },
                  [this](const std::map<VmId, PeerEntry>& peers) { broker_.setPeers(peers); } })
        , front_(
              io_, options_.settings_.callerAddress_,
              [this](FrontRequest request, std::shared_ptr<FrontReply> reply) {
                  take(std::move(request), std::move(reply));
              },
              logRefusal)
        , ready_(
              io_, options_.settings_.readyAddress_,
              [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                  answerReady(request, *reply);
              },
              [](int, const char*, const HttpHead*) {})
    {
        if (!options_.metricsAddress_.empty())
            metrics_ = std::make_unique<FrontServer>(
                io_, options_.metricsAddress_,
                [this](const FrontRequest&, const std::shared_ptr<FrontReply>& reply) {
                    reply->answer(plainHead(ok), metricsText(gauges()));
                },
                [](int, const char*, const HttpHead*) {});
    }

    static TurnBrokerOptions brokerOptions(const VmSettings& settings, const WriterId& writer)
    {
        return { settings.vm_, settings.zone_, writer, settings.store_.partitions_, settings.peerAddress_ };
    }

    static FollowIntervals intervals(const VmSettings& settings)
    {
        FollowIntervals intervals;
        // A leaving target must be known in time although one read in between is lost.
        intervals.targetInterval_ = std::min(intervals.targetInterval_, settings.targetDrain_ / 3);
        return intervals;
    }

    static void logRefusal(int status, const char* reason, const HttpHead* head)
    {
        std::string request = head ? platform::decodeCallTags(*head).attempt_.value_ : std::string();
        logEvent("request",
            { { "request", request }, { "outcome", "refused" }, { "status", std::to_string(status) },
                { "reason", reason } });
    }

    std::vector<Gauge> gauges() const
    {
        auto age = follower_.configAge(bootNow());
        return { { "connections", {}, static_cast<double>(front_.connections()) },
            { "calls_under_way", {}, static_cast<double>(forwarder_.openCallCount()) },
            { "calls_waiting", {}, static_cast<double>(forwarder_.queuedCallCount()) },
            { "turns_waiting_for_budget", {}, static_cast<double>(turns_.size()) },
            { "programs", {}, static_cast<double>(broker_.programs()) },
            { "targets", {}, static_cast<double>(follower_.targets().entries_.size()) },
            { "config_version", {}, static_cast<double>(config_ ? config_->version_ : 0) },
            { "config_age_seconds", {}, age ? std::chrono::duration<double>(*age).count() : -1 },
            { "store_up", {}, health_.isUp_ ? 1.0 : 0.0 },
            { "store_calls", {}, static_cast<double>(store_.calls()) },
            { "target_connections_made", {}, static_cast<double>(forwarder_.connectionsMade()) } };
    }

    // Without the store no program can begin here. While no VM of a zone is ready, the platform sends its
    // callers to the next zone, so a zone that is cut off from the store serves them there.
    bool isReady() const
    {
        bool hasStore = health_.isUp_ || bootNow() < health_.changedAt_ + notReadyWithoutStore;
        return config_ && follower_.targets().isComplete_ && !drainingSince_ && hasStore;
    }

    void answerReady(const FrontRequest& request, FrontReply& reply) const
    {
        constexpr std::string_view path = "/readyz";
        if (pathOf(request.head_) != path)
            return reply.answer(plainHead(notFound), "only /readyz is served here\n");
        reply.answer(plainHead(isReady() ? ok : unavailable), isReady() ? "ready\n" : "not ready\n");
    }

    void takeConfig(const ServingConfig& config)
    {
        logEvent("config",
            { { "version", std::to_string(config.version_) },
                { "before", std::to_string(config_ ? config_->version_ : 0) },
                { "routes", std::to_string(config.routes_.size()) } });
        config_ = config;
        FrontLimits limits;
        limits.message_ = { config.limits_.maxHeadBytes_, config.limits_.maxBodyBytes_ };
        limits.headTimeout_ = config.limits_.headTimeout_;
        limits.idleTimeout_ = config.limits_.idleTimeout_;
        front_.setLimits(limits);
        forwarder_.setTargets(follower_.targets(), *config_);
    }

    void takeTargets(const TargetList& list)
    {
        if (config_)
            forwarder_.setTargets(list, *config_);
    }

    void take(FrontRequest request, std::shared_ptr<FrontReply> reply)
    {
        lastRequest_ = bootNow();
        ForwardedCall call { std::move(request), std::move(reply), {} };
        call.tags_ = platform::decodeCallTags(call.request_.head_);
        if (!config_ || !follower_.targets().isComplete_)
            return refuse(call, unavailable, "no configuration has been read yet", retryNotReady);
        const Route* route
            = findRoute(*config_, *findHeader(call.request_.head_, "Host"), pathOf(call.request_.head_));
        if (!route)
            return refuseUnrouted(call);
        call.route_ = *route;
        ServiceId service = chooseService(*route, shareKey(call.tags_));
        auto traits = config_->services_.find(service);
        call.service_ = traits == config_->services_.end() ? ServiceTraits { service } : traits->second;
        call.deadline_ = call.request_.arrived_
            + std::min(route->timeout_, call.tags_.deadline_.value_or(route->timeout_));
        if (drainingSince_ && call.deadline_ > drainEnd())
            return refuse(call, unavailable, "this VM stops before the request could end", retryElsewhere);
        if (route->isTurn_ && call.tags_.programBudget_ && !call.tags_.program_.empty())
            return askBudget(std::move(call));
        forwarder_.forward(std::move(call));
    }

    // A program keeps its service for as long as the shares do not change, and with it its cached prompts.
    static std::uint64_t shareKey(const CallTags& tags)
    {
        const std::string& key = tags.program_.empty() ? tags.attempt_.value_ : tags.program_.value_;
        return XXH64(key.data(), key.size(), 0);
    }

    void refuseUnrouted(ForwardedCall& call)
    {
        unrouted_.add();
        auto age = follower_.configAge(bootNow());
        if (!age || *age > options_.settings_.configApply_ + intervals(options_.settings_).configPollWait_)
            return refuse(call, unavailable, "no route matches, but the configuration may be out of date",
                retryNotReady);
        refuse(call, notFound, "no route matches this host and path", std::nullopt);
    }

    static void refuse(ForwardedCall& call, int status, const std::string& reason,
        std::optional<Milliseconds> retryAfter, const Facts& facts = {})
    {
        Facts all { { "request", call.tags_.attempt_.value_ }, { "program", call.tags_.program_.value_ },
            { "route", call.route_.name_ }, { "outcome", "refused" }, { "status", std::to_string(status) },
            { "reason", reason } };
        all.insert(all.end(), facts.begin(), facts.end());
        logEvent("request", all);
        refuseCall(*call.reply_, call.tags_.attempt_, status, reason, retryAfter);
    }

    void askBudget(ForwardedCall call)
    {
        PendingId id = ++lastTurn_;
        TurnRequest request { call.tags_.program_, *call.tags_.programBudget_, call.tags_.maxTokens_,
            call.route_.programRetention_ };
        request.timeLeft_ = call.deadline_ - bootNow();
        request.canStartProgram_ = shouldAdmitProgram(
            forwarder_.occupancy(call.service_.id_), call.route_.priority_, admission_, random_);
        call.reply_->onDisconnect([this, id] { turnGone(id); });
        turns_.emplace(id, PendingTurn { std::move(call), std::nullopt });
        TurnId ask = broker_.requestTurn(request, [this, id](const TurnGrant& grant) { decided(id, grant); });
        auto found = turns_.find(id);
        if (found != turns_.end())
            found->second.ask_ = ask;
    }

    void turnGone(PendingId id)
    {
        auto found = turns_.find(id);
        if (found == turns_.end())
            return;
        const CallTags& tags = found->second.call_.tags_;
        logEvent("request",
            { { "request", tags.attempt_.value_ }, { "program", tags.program_.value_ },
                { "outcome", "caller-gone" }, { "reason", "while it waited for its program's budget" },
                { "waited_for", found->second.ask_ ? broker_.describe(*found->second.ask_) : "" },
                { "waited_ms",
                    std::to_string((bootNow() - found->second.call_.request_.arrived_).count()) } });
        if (found->second.ask_)
            broker_.abandonTurn(*found->second.ask_);
        turns_.erase(found);
    }

    void decided(PendingId id, const TurnGrant& grant)
    {
        auto found = turns_.find(id);
        if (found == turns_.end()) {
            if (grant.reply_.decision_ == TurnDecision::Granted)
                broker_.endTurn(grant, {}, {});
            return;
        }
        ForwardedCall call = std::move(found->second.call_);
        turns_.erase(found);
        if (grant.reply_.decision_ != TurnDecision::Granted) {
            budgetRefused_.add();
            return refuseTurn(call, grant);
        }
        call.cachingTarget_ = grant.reply_.lastTarget_;
        call.onEnd_
            = [this, grant](TokenCount used, const TargetId& at) { broker_.endTurn(grant, used, at); };
        forwarder_.forward(std::move(call));
    }

    void refuseTurn(ForwardedCall& call, const TurnGrant& grant)
    {
        const TurnReply& reply = grant.reply_;
        Facts facts { { "turn_most", std::to_string(grant.maxTokens_.value_) },
            { "budget", std::to_string(call.tags_.programBudget_->value_) },
            { "home", grant.granter_.value_ }, { "spent", std::to_string(reply.spent_.value_) },
            { "claimed", std::to_string(reply.claimed_.value_) },
            { "others_claimed", std::to_string(reply.othersClaimed_.value_) } };
        if (reply.decision_ == TurnDecision::NotAdmitted) {
            facts.emplace_back("occupancy", fmt::format("{:.2f}", forwarder_.occupancy(call.service_.id_)));
            return refuse(call, unavailable, "the engines are nearly full and no program may begin now",
                jittered(admission_.retryAfter_), facts);
        }
        if (reply.decision_ == TurnDecision::BudgetSpent)
            return refuse(call, budgetSpent, "the program's token budget is spent", std::nullopt, facts);
        if (reply.decision_ == TurnDecision::HeldElsewhere)
            return refuse(call, unavailable, "other VMs hold the rest of the program's token budget",
                jittered(retryBudgetHeld), facts);
        if (reply.decision_ == TurnDecision::InUse)
            return refuse(call, unavailable,
                "other turns of the program reserve the rest of its token budget", jittered(retryBudgetHeld),
                facts);
        refuse(call, unavailable, "the platform's store, which keeps token budgets, does not answer",
            jittered(outageRetryAfter(health_, bootNow())), facts);
    }

    Milliseconds jittered(Milliseconds middle)
    {
        std::uniform_int_distribution<std::int64_t> spread(middle.count() / 2, middle.count() * 3 / 2);
        return Milliseconds { spread(random_) };
    }

    void tick()
    {
        MonotonicTime now = bootNow();
        if (now - lastTick_ > stoodStill && lastTick_ != MonotonicTime {}) {
            logWarning("stood-still", "the VM stood still; all that it knows is read again",
                { { "for_ms", std::to_string((now - lastTick_).count()) } });
            store_.reconnect();
            follower_.resync();
            forwarder_.closeIdleConnections();
        }
        lastTick_ = now;
        store_.tick(now);
        follower_.tick(now);
        expireTurns(now);
        forwarder_.tick(now);
        broker_.tick(drainingSince_.has_value(), now);
        front_.tick(now);
        ready_.tick(now);
        if (metrics_)
            metrics_->tick(now);
        noteReadiness();
        flushEventLog();
        if (drainingSince_ && isDrained(now))
            return end();
        scheduleTick();
    }

    void scheduleTick()
    {
        timer_.expires_after(tickInterval);
        timer_.async_wait([this](const asio::error_code& error) {
            if (!error)
                tick();
        });
    }

    void expireTurns(MonotonicTime now)
    {
        std::vector<PendingId> late;
        for (const auto& [id, turn] : turns_) {
            if (now >= turn.call_.deadline_)
                late.push_back(id);
        }
        for (PendingId id : late) {
            auto turn = std::move(turns_.at(id));
            turns_.erase(id);
            if (turn.ask_)
                broker_.abandonTurn(*turn.ask_);
            refuse(turn.call_, unavailable, "its program's budget was not known in its time",
                jittered(retryBudgetHeld));
        }
    }

    void noteReadiness()
    {
        if (isReady() == wasReady_)
            return;
        wasReady_ = isReady();
        logEvent(wasReady_ ? "ready" : "not-ready", {});
    }

    void drain()
    {
        if (drainingSince_)
            return;
        drainingSince_ = bootNow();
        logEvent("drain", { { "under_way", std::to_string(forwarder_.openCallCount()) } });
        front_.drain();
        follower_.withdraw();
    }

    // Precondition: a drain has begun.
    MonotonicTime drainEnd() const { return *drainingSince_ + options_.settings_.drainGrace_ - endMargin; }

    bool isDrained(MonotonicTime now) const
    {
        if (now > drainEnd())
            return true;
        bool isTurnedAway = now > *drainingSince_ + turnedAwayAfter && now > lastRequest_ + quietBeforeEnd;
        return isTurnedAway && forwarder_.openCallCount() == 0 && turns_.empty() && broker_.isIdle();
    }

    void end()
    {
        logEvent("stop",
            { { "under_way", std::to_string(forwarder_.openCallCount()) },
                { "drained_ms", std::to_string((bootNow() - *drainingSince_).count()) } });
        flushEventLog();
        front_.closeIdleConnections();
        io_.stop();
    }

    void awaitSignal()
    {
        signals_.async_wait([this](const asio::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                drain();
            awaitSignal();
        });
    }

    void reload()
    {
        auto settings = options_.reload_ ? options_.reload_() : std::nullopt;
        logEvent("reload", { { "outcome", settings ? "taken" : "kept the last settings" } });
        if (!settings)
            return;
        // Addresses and names hold for the life of the process; bounds and grace may change.
        options_.settings_.drainGrace_ = settings->drainGrace_;
        options_.settings_.configApply_ = settings->configApply_;
    }
};

EntryVm::EntryVm(EntryVmOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

EntryVm::~EntryVm() = default;

void EntryVm::run()
{
    const VmSettings& settings = impl_->options_.settings_;
    logEvent("start",
        { { "listen", settings.callerAddress_ }, { "store", settings.store_.address_ },
            { "memory_mb", std::to_string(settings.memoryMb_) },
            { "processor_share", fmt::format("{}", settings.processorShare_) } });
    impl_->follower_.announce({ settings.vm_, settings.zone_, settings.peerAddress_, impl_->writer_ });
    impl_->awaitSignal();
    impl_->tick();
    impl_->io_.run();
}

} // namespace fescue
