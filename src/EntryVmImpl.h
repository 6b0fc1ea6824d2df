#pragma once

/** \file
 * EntryVmImpl: the state of an `EntryVm`, for its source files only.
 *
 * `EntryVmRequests.cpp` has the way of a request through the VM, `EntryVm.cpp` the life of the process.
 */

#include "EntryVm.h"

#include "Authentication.h"
#include "BootClock.h"
#include "CallForwarder.h"
#include "CallRelay.h"
#include "CallerRoomMetrics.h"
#include "DrainPeriod.h"
#include "EventLog.h"
#include "FrontServer.h"
#include "Headers.h"
#include "ListenLog.h"
#include "LoopWatch.h"
#include "MemoryWatch.h"
#include "Metrics.h"
#include "RefuseCall.h"
#include "Release.h"
#include "SettingsFile.h"
#include "StartSignals.h"
#include "StorableId.h"
#include "StoreClient.h"
#include "StoreFollower.h"
#include "StreamResumption.h"
#include "TcpLink.h"
#include "TurnAdmission.h"
#include "TurnContinuation.h"
#include "WorkspaceCaps.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <random>
#include <xxhash.h>

namespace fescue {

// Bounds the lateness of timeouts and retries. Each tick costs a wake-up.
constexpr Milliseconds tickInterval { 25 };
// A shorter outage of the store would end before the platform's health checks react to it.
constexpr Milliseconds storeOutageTolerance { 700 };
constexpr Milliseconds minStreamRetention { 10000 };
constexpr Milliseconds maxStreamRetention { 120000 };
constexpr std::size_t bytesPerMb = 1024 * 1024;
// Part of the VM's memory for the text of recent turns.
constexpr std::size_t conversationMemoryDivisor = 4;
constexpr Milliseconds notReadyRetryAfter { 300 };
constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;

/** Confined to the thread of the event loop. */
struct EntryVm::Impl {
    EntryVmOptions options_;
    asio::io_context io_ { 1 };
    asio::signal_set signals_ { io_, SIGTERM, SIGINT, SIGHUP };
    asio::steady_timer timer_ { io_ };
    Random random_;
    std::optional<ServingConfig> config_;
    StoreHealth health_;
    platform::StoreClient store_;
    WriterId writer_;
    PacedStore pacedStore_;
    PeerExchange exchange_;
    WorkspaceCaps caps_;
    CallForwarder forwarder_;
    ConversationStore
        conversations_; ///< Before the broker: what waits for a turn's end calls the store first.
    TurnBroker broker_;
    TurnAdmission admission_;
    TurnContinuation continuation_;
    StoreFollower follower_;
    StreamResumption resumption_;
    FrontServer callerServer_;
    FrontServer readinessServer_;
    std::unique_ptr<FrontServer> metricsServer_;
    LoopWatch loop_;
    MonotonicTime lastRequest_;
    DrainPeriod drain_;
    std::optional<SettingsFile> reloading_; ///< After SIGHUP.
    bool isAnnounced_ = false;
    bool wasReady_ = false;
    ListenLog callerListenLog_;
    ListenLog readinessListenLog_;
    ListenLog peerListenLog_;
    ListenLog metricsListenLog_;
    MemoryWatch memory_;
    CallerRoomMetrics callerRoom_;
    Counter unroutedCounter_ { "unrouted_total" };
    Counter unknownKeys_ { "unauthenticated_total", { "reason", "unknown-key" } };
    Counter uncertainKeys_ { "unauthenticated_total", { "reason", "outdated-configuration" } };

    explicit Impl(EntryVmOptions options)
        : options_(std::move(options))
        , random_(options_.seed_)
        , store_(io_, *parseEndpoint(options_.settings_.store_.address_))
        , writer_(makeWriterId(options_.settings_.vm_))
        , pacedStore_(store_, health_, XXH64(writer_.value_.data(), writer_.value_.size(), 0))
        , exchange_(io_, options_.settings_.vm_, options_.settings_.peerAddress_)
        , caps_(exchange_, options_.settings_, writer_)
        , forwarder_(io_, store_, exchange_, options_.settings_.zone_, writer_, options_.seed_)
        , conversations_(io_, pacedStore_, exchange_, conversationOptions(options_.settings_, writer_))
        , broker_(exchange_, pacedStore_, brokerOptions(options_.settings_, writer_))
        , admission_(broker_, forwarder_, health_, random_)
        , continuation_(conversations_)
        , follower_(store_, health_, followIntervals(options_.settings_),
              { [this](const ServingConfig& config) { applyConfig(config); },
                  [this](const TargetList& list) { applyTargets(list); },
                  [this](const std::map<VmId, PeerEntry>& peers) { exchange_.setPeers(peers); },
                  [this](const auto& records, bool isAll) { forwarder_.applyCrashRecords(records, isAll); } })
        , resumption_(exchange_, follower_.targets(), follower_.routes(), options_.settings_.zone_,
              [this](std::function<void(bool)> done) { follower_.refresh(std::move(done)); })
        , callerServer_(
              io_, options_.settings_.callerAddress_,
              [this](FrontRequest request, std::shared_ptr<FrontReply> reply) {
                  handleRequest(std::move(request), std::move(reply));
              },
              logRejection)
        , readinessServer_(
              io_, options_.settings_.readyAddress_,
              [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                  answerReady(request, *reply);
              },
              [](int, const char*, const HttpHead*) {})
    {
        setGrace(drain_, options_.settings_.drainGrace_);
        if (options_.settings_.cpuQuota_ > 0)
            loop_.share_ = options_.settings_.cpuQuota_;
        memory_.limit_ = { options_.settings_.memoryMb_ * static_cast<std::int64_t>(bytesPerMb) };
        callerServer_.onEvent(
            [this](FrontEvent event, std::size_t bytes) { callerRoom_.record(event, bytes); });
        callerServer_.setLimits(callerLimits());
        exchange_.setLimits(peerLimits(options_.settings_.memoryMb_));
        readinessServer_.setLimits(monitoringLimits());
        forwarder_.serveRelayed([this](ForwardedCall call) { handleRelayed(std::move(call)); });
        if (!options_.metricsAddress_.empty())
            serveMetrics();
    }

    // Callers do not need metrics, so the VM serves without them if it must.
    void serveMetrics()
    {
        try {
            metricsServer_ = std::make_unique<FrontServer>(
                io_, options_.metricsAddress_,
                [this](const FrontRequest&, const std::shared_ptr<FrontReply>& reply) {
                    reply->answer(plainTextHead(ok), metricsText(gauges()));
                },
                [](int, const char*, const HttpHead*) {});
            metricsServer_->setLimits(monitoringLimits());
        } catch (const std::system_error& error) {
            logWarning("metrics-unavailable", "correct --metrics_port, or set it to 0",
                { { "address", options_.metricsAddress_ }, { "reason", error.what() } });
        }
    }

    // A name that is unique to this start of this process.
    static WriterId makeWriterId(const VmId& vm)
    {
        std::random_device device;
        return { fmt::format("{}{}{:08x}{:08x}", vm.value_, writerIdSeparator, device(), device()) };
    }

    static HttpHead plainTextHead(int status)
    {
        HttpHead head;
        head.status_ = status;
        head.headers_.push_back({ "Content-Type", "text/plain" });
        return head;
    }

    static TurnBrokerOptions brokerOptions(const VmSettings& settings, const WriterId& writer)
    {
        return { settings.vm_, settings.zone_, writer, settings.store_.partitions_ };
    }

    static ConversationOptions conversationOptions(const VmSettings& settings, const WriterId& writer)
    {
        auto memoryBytes = static_cast<std::size_t>(settings.memoryMb_) * bytesPerMb;
        return { settings.vm_, settings.zone_, writer, settings.store_.partitions_,
            memoryBytes / conversationMemoryDivisor, settings.store_.maxRecordBytes_ };
    }

    static FollowIntervals followIntervals(const VmSettings& settings)
    {
        FollowIntervals followIntervals;
        // A leaving target must be noticed in time even if one read fails.
        followIntervals.targetInterval_
            = std::min(followIntervals.targetInterval_, settings.targetDrainTimeout_ / 3);
        // An entry lapses after three heartbeat intervals of silence, one of which may have passed before.
        followIntervals.minLapse_ = 2 * settings.targetHeartbeat_;
        return followIntervals;
    }

    static void logRejection(int status, const char* reason, const HttpHead* head)
    {
        std::string request = head ? platform::decodeCallTags(*head).attempt_.value_ : std::string();
        logEvent("request",
            { { "request", request }, { "outcome", "refused" }, { "status", std::to_string(status) },
                { "reason", reason } });
    }

    std::vector<Gauge> gauges() const
    {
        auto age = follower_.configAge(bootNow());
        SocketBytes sockets = socketBytes();
        std::vector<Gauge> all { { "release", { "commit", releaseName() }, 1 },
            { "connections", {}, static_cast<double>(callerServer_.connections()) },
            { "callers_held_bytes", {}, static_cast<double>(callerServer_.heldMemory().total_) },
            { "calls_under_way", {}, static_cast<double>(forwarder_.openCallCount()) },
            { "calls_waiting", {}, static_cast<double>(forwarder_.queuedCallCount()) },
            { "turns_waiting_for_budget", {}, static_cast<double>(admission_.waitingCount()) },
            { "programs", {}, static_cast<double>(broker_.programs()) },
            { "programs_placed", {}, static_cast<double>(forwarder_.knownProgramCount()) },
            { "stream_origins", {}, static_cast<double>(resumption_.streams()) },
            { "turns_cached", {}, static_cast<double>(conversations_.cachedTurns()) },
            { "turns_cached_bytes", {}, static_cast<double>(conversations_.cachedBytes()) },
            { "turn_records", {}, static_cast<double>(conversations_.records()) },
            { "targets", {}, static_cast<double>(follower_.targets().entries_.size()) },
            { "config_version", {}, static_cast<double>(config_ ? config_->version_ : 0) },
            { "config_age_seconds", {}, age ? std::chrono::duration<double>(*age).count() : -1 },
            { "resident_bytes", {}, static_cast<double>(memory_.use_.resident_.value_) },
            { "socket_unread_bytes", {}, static_cast<double>(sockets.unread_) },
            { "socket_unsent_bytes", {}, static_cast<double>(sockets.unsent_) },
            { "loop_busy_max_seconds", {}, std::chrono::duration<double>(loop_.longestBusy_).count() },
            { "store_up", {}, health_.isUp_ ? 1.0 : 0.0 },
            { "links_lost", {}, forwarder_.isStranded() ? 1.0 : 0.0 },
            { "store_calls", {}, static_cast<double>(store_.calls()) },
            { "link_write_errors", {}, static_cast<double>(TcpLink::writeErrors()) },
            { "target_connections_made", {}, static_cast<double>(forwarder_.connectionsMade()) } };
        std::vector<Gauge> caps = caps_.gauges();
        all.insert(all.end(), caps.begin(), caps.end());
        return all;
    }

    // No program can start while the store is unreachable. When no VM of a zone is ready, the platform sends
    // the zone's callers to the next zone, so they are served even if their own zone is cut off from the
    // store.
    bool isReady() const
    {
        bool hasStore = health_.isUp_ || bootNow() < health_.changedAt_ + storeOutageTolerance;
        bool isListening = !callerServer_.listenWait() && !exchange_.listenWait();
        return config_ && follower_.targets().isComplete_ && !drain_.startedAt_ && hasStore && isListening;
    }

    void answerReady(const FrontRequest& request, FrontReply& reply) const
    {
        constexpr std::string_view path = "/readyz";
        if (pathOf(request.head_) != path)
            return reply.answer(plainTextHead(notFound), "this port serves only /readyz\n");
        reply.answer(
            plainTextHead(isReady() ? ok : serviceUnavailable), isReady() ? "ready\n" : "not ready\n");
    }

    void applyConfig(const ServingConfig& config)
    {
        logEvent("config",
            { { "version", std::to_string(config.version_) },
                { "before", std::to_string(config_ ? config_->version_ : 0) },
                { "routes", std::to_string(config.routes_.size()) } });
        config_ = config;
        caps_.setConfig(config);
        FrontLimits limits = callerLimits();
        limits.message_ = { config.limits_.maxHeadBytes_, config.limits_.maxBodyBytes_ };
        limits.headTimeout_ = config.limits_.headTimeout_;
        limits.idleTimeout_ = config.limits_.idleTimeout_;
        callerServer_.setLimits(limits);
        resumption_.setRetention(streamRetention(config));
        forwarder_.setTargets(follower_.targets(), *config_);
    }

    FrontLimits callerLimits() const
    {
        FrontLimits limits;
        limits.memory_ = callerBudget(options_.settings_.memoryMb_);
        limits.maxConnections_ = maxCallerConnections(options_.settings_.maxSockets_, limits.memory_);
        return limits;
    }

    // A caller takes a stream up again within its deadline, which is about the timeout of the route.
    static Milliseconds streamRetention(const ServingConfig& config)
    {
        Milliseconds longest { 0 };
        for (const Route& route : config.routes_)
            longest = std::max(longest, route.isStream_ ? route.timeout_ : Milliseconds { 0 });
        return std::clamp(2 * longest, minStreamRetention, maxStreamRetention);
    }

    void applyTargets(const TargetList& list)
    {
        if (config_)
            forwarder_.setTargets(list, *config_);
    }

    // Defined in EntryVmRequests.cpp.
    void readTags(ForwardedCall& call) const;
    bool isAuthenticated(ForwardedCall& call);
    ConfigCertainty configCertainty() const;
    void handleRequest(FrontRequest request, std::shared_ptr<FrontReply> reply);
    void takeCapPermit(ForwardedCall call);
    void beginRoute(ForwardedCall call);
    void beginOrResume(ForwardedCall call);
    void handleRelayed(ForwardedCall call);
    void resume(ForwardedCall call);
    bool allowsService(const HttpHead& request, const ServiceId& service) const;
    ServiceTraits traitsOf(const ServiceId& service) const;
    void admit(ForwardedCall call);
    void rejectUnrouted(ForwardedCall& call);

    void tick()
    {
        MonotonicTime now = bootNow();
        watchLoop(now);
        announceOnceListening();
        continueReload(now);
        store_.tick(now);
        follower_.tick(now);
        admission_.tick(now);
        forwarder_.tick(follower_.targets(), now);
        exchange_.tick(now);
        caps_.tick(now);
        resumption_.tick(now);
        broker_.tick(drain_.startedAt_.has_value(), now);
        conversations_.tick(drain_.startedAt_.has_value(), now);
        callerServer_.tick(now);
        readinessServer_.tick(now);
        if (metricsServer_)
            metricsServer_->tick(now);
        if (!drain_.startedAt_)
            logListenWaits(now);
        logReadinessChange();
        watchMemory(now);
        flushEventLog();
        if (drain_.startedAt_ && isDrained(now))
            return shutDown();
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

    // Others would reach the predecessor of this process while that still listens.
    void announceOnceListening()
    {
        if (isAnnounced_ || drain_.startedAt_ || exchange_.listenWait())
            return;
        isAnnounced_ = true;
        const VmSettings& settings = options_.settings_;
        follower_.announce({ settings.vm_, settings.zone_, settings.peerAddress_, writer_ });
    }

    void logListenWaits(MonotonicTime now)
    {
        logListenWait(callerListenLog_, callerServer_.listenWait(), now);
        logListenWait(readinessListenLog_, readinessServer_.listenWait(), now);
        logListenWait(peerListenLog_, exchange_.listenWait(), now);
        if (metricsServer_)
            logListenWait(metricsListenLog_, metricsServer_->listenWait(), now);
    }

    void logReadinessChange()
    {
        if (isReady() == wasReady_)
            return;
        wasReady_ = isReady();
        logEvent(wasReady_ ? "ready" : "not-ready", {});
    }

    SocketBytes socketBytes() const
    {
        SocketBytes sum = callerServer_.socketBytes();
        sum += readinessServer_.socketBytes();
        sum += exchange_.socketBytes();
        sum += forwarder_.socketBytes();
        sum += store_.socketBytes();
        return sum;
    }

    void watchMemory(MonotonicTime now)
    {
        if (!isReadDue(memory_, now))
            return;
        auto resident = residentMemory();
        if (!resident)
            return;
        // Reading all sockets takes time. What callers hold includes the most that theirs may.
        auto held = static_cast<std::int64_t>(callerServer_.heldMemory().total_);
        bool isLow = 2 * (resident->value_ + held) < memory_.limit_.value_;
        if (!takeUse(memory_, { *resident, isLow ? SocketBytes {} : socketBytes() }))
            return;
        logWarning("memory-high", "the process is killed when it exceeds the memory of its VM",
            { { "resident_bytes", std::to_string(resident->value_) },
                { "unread_bytes", std::to_string(memory_.use_.sockets_.unread_) },
                { "unsent_bytes", std::to_string(memory_.use_.sockets_.unsent_) },
                { "limit_bytes", std::to_string(memory_.limit_.value_) },
                { "connections", std::to_string(callerServer_.connections()) },
                { "callers_held_bytes", std::to_string(callerServer_.heldMemory().total_) },
                { "turns_cached_bytes", std::to_string(conversations_.cachedBytes()) },
                { "under_way", std::to_string(forwarder_.openCallCount()) },
                { "waiting", std::to_string(forwarder_.queuedCallCount()) } });
    }

    // Defined in EntryVm.cpp.
    void watchLoop(MonotonicTime now);
    void drain();

    bool isDrained(MonotonicTime now) const
    {
        if (now > lastAnswerAt(drain_))
            return true;
        bool hasOpenRequests = callerServer_.hasOpenRequests() || forwarder_.openCallCount() > 0;
        bool hasUnsentBytes = callerServer_.hasUnsentBytes() || exchange_.hasUnsentBytes();
        return isTrafficStopped(drain_, lastRequest_, now) && !hasOpenRequests && !hasUnsentBytes
            && broker_.isIdle() && conversations_.isIdle();
    }

    void shutDown()
    {
        logEvent("stop",
            { { "under_way", std::to_string(forwarder_.openCallCount()) },
                { "drained_ms", std::to_string((bootNow() - *drain_.startedAt_).count()) } });
        flushEventLog();
        callerServer_.shutDown();
        io_.stop();
    }

    void waitForSignal()
    {
        signals_.async_wait([this](const asio::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                drain();
            waitForSignal();
        });
    }

    // A file that is still being written is read again by later ticks.
    void reload()
    {
        reloading_ = SettingsFile { options_.settingsPath_, options_.settings_ };
        continueReload(bootNow());
    }

    void continueReload(MonotonicTime now)
    {
        if (!reloading_)
            return;
        auto settings = readSettingsFile(*reloading_, now);
        if (!settings)
            return;
        reloading_.reset();
        if (!*settings)
            logWarning("settings-unreadable", settings->error().field_ + ": " + settings->error().remedy_);
        logEvent("reload", { { "outcome", *settings ? "taken" : "kept the last settings" } });
        if (*settings)
            logDefaultedSettings(**settings);
        if (*settings)
            takeSettings((*settings)->settings_);
    }

    // Addresses and names cannot change while the process runs; the time limits can.
    void takeSettings(const VmSettings& settings)
    {
        options_.settings_.drainGrace_ = settings.drainGrace_;
        setGrace(drain_, settings.drainGrace_);
        if (drain_.startedAt_)
            forwarder_.endBy(lastAnswerAt(drain_));
        options_.settings_.configApplyTimeout_ = settings.configApplyTimeout_;
    }
};

} // namespace fescue
