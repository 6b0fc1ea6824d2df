#include "Scheduler.h"

#include "AdmitCall.h"
#include "CacheReclaimer.h"
#include "CallRunner.h"
#include "EventLog.h"
#include "FinishCall.h"
#include "FrameLink.h"
#include "HttpServer.h"
#include "ParseCall.h"
#include "PeerLinks.h"
#include "PlatformView.h"
#include "ProgramDocument.h"
#include "RecordEvents.h"
#include "SchedulerStatus.h"
#include "ShardMoves.h"
#include "ShardReconcile.h"
#include "WorkQueue.h"

#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace fescue {

namespace {

    constexpr Milliseconds tickInterval { 20 };
    constexpr Milliseconds shardCheckInterval { 500 };

    template <class... Ts> struct Overloaded : Ts... {
        using Ts::operator()...;
    };
    template <class... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

    PlatformOptions platformOptions(const SchedulerOptions& options)
    {
        PlatformOptions platform;
        platform.config_.log_.url_ = options.logUrl_;
        platform.config_.snapshotPeriod_ = options.configSnapshotPeriod_;
        platform.config_.seed_ = options.seed_ != 0 ? options.seed_ : std::random_device()();
        platform.vmsUrl_ = options.vmsUrl_;
        return platform;
    }

    ShardManagerOptions shardManagerOptions(const SchedulerOptions& options, const WriterId& writer)
    {
        ShardManagerOptions managerOptions;
        managerOptions.vm_ = options.vm_;
        managerOptions.writer_ = writer;
        managerOptions.log_.url_ = options.logUrl_;
        managerOptions.limits_ = options.limits_;
        managerOptions.flushInterval_ = options.flushInterval_;
        return managerOptions;
    }

    WriterId newWriterId(const SchedulerOptions& options)
    {
        std::random_device device;
        Random random(options.seed_ ^ (static_cast<std::uint64_t>(device()) << 32 | device()));
        return { options.vm_.value_ + "#" + std::to_string(random()) };
    }

} // namespace

struct Scheduler::Impl {
    SchedulerOptions options_;
    WriterId writer_;
    RequestTable requests_;
    WorkQueue work_;
    std::mutex linksMutex_;
    std::set<FrameLinkPtr> links_;
    std::atomic<bool> isDraining_ { false };
    std::atomic<bool> isReady_ { false }; ///< Gateways have the configuration.
    std::unique_ptr<HttpClient> client_ = std::make_unique<HttpClient>();
    CallRunner runner_;
    ShardManager shardManager_;
    CacheReclaimer cacheReclaimer_;
    PlatformView platform_;
    PeerLinks peers_;
    ShardMoves moves_;
    MonotonicTime nextShardCheckAt_;
    // Set when peers change: a VM that left may own shards that this VM believes it owns.
    std::atomic<bool> mustVerifyShards_ { false };
    UnownedShards unownedShards_;
    std::atomic<std::uint16_t> framesPort_ { 0 }; ///< 0 until the server listens; peers are rejected before.
    std::unique_ptr<FrameServer> frames_;
    std::unique_ptr<HttpServer> http_;

    explicit Impl(const SchedulerOptions& options)
        : options_(options)
        , writer_(newWriterId(options))
        , work_(2)
        , runner_(
              { options.zone_, options.seed_ }, *client_, requests_,
              [this](std::function<void()> task) { work_.post(std::move(task)); },
              [this](const ProgramId& program, ExecutionId id, const ExecutionResult& result) {
                  onCallExecuted(program, id, result);
              },
              [this](const ProgramId& program, ExecutionId id) { return reserveRetry(program, id); })
        , shardManager_(shardManagerOptions(options, writer_), *client_,
              [this](const ShardKey& shard, const Effect& effect) { applyEffect(shard, effect); })
        , cacheReclaimer_({ options.zone_, options.cacheCheckInterval_ }, *client_, shardManager_)
        , platform_(platformOptions(options), *client_,
              { [this](const Config& config) { onConfigChanged(config); },
                  [this](const Members& members) { onMembersListed(members); } })
        , peers_(options.vm_, options.zone_,
              { [this] { return announcement(); }, [this] { return toJson(*platform_.config()).dump(); },
                  [this](const std::string& text) { onPeerConfig(text); }, [this] { onPeersChanged(); } })
        , moves_(options.vm_, options.zone_, shardManager_, peers_, requests_,
              { [this] { return view(false).members_; }, [this] { return isReady_.load(); },
                  [this] { return isDraining_.load(); } })
    {
        FrameHandlers handlers { [](const FrameLinkPtr&) {},
            [this](const FrameLinkPtr& link, Frame frame) { onFrame(link, std::move(frame)); },
            [this](const FrameLinkPtr& link) { onLinkClosed(link); } };
        frames_ = std::make_unique<FrameServer>(
            options.address_, options.port_, options.threads_, FrameLimits {}, std::move(handlers));
        framesPort_ = frames_->port();
        HttpServerOptions http;
        http.address_ = options.address_;
        http.port_ = options.httpPort_;
        http.threads_ = 1;
        http_ = std::make_unique<HttpServer>(
            http, [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
                answerHttp(request, exchange);
            });
        platform_.start();
        work_.runEvery(tickInterval, [this] { tick(); });
    }

    // Shutdown order: HTTP server, timers, frame server, peer links, then calls in flight (`client_`). Calls
    // in flight end with answers over links, so the link objects must still exist.
    ~Impl()
    {
        http_.reset();
        work_.stop();
        frames_->stop();
        peers_.stop();
        client_.reset();
    }

    void tick()
    {
        shardManager_.tick();
        runner_.tick();
        cacheReclaimer_.tick();
        platform_.tick();
        peers_.tick();
        reconcileShards();
        moves_.tick();
        if (!isReady_ && platform_.isReady()) {
            isReady_ = true;
            broadcastView(true);
        }
    }

    void onConfigChanged(const Config& config)
    {
        runner_.setManifest(config.manifest_);
        cacheReclaimer_.setManifest(config.manifest_);
        broadcastView(platform_.isReady());
    }

    void onMembersListed(const Members& members)
    {
        peers_.setListedMembers(members);
        broadcastView(false);
    }

    std::string ownAddress() const { return options_.address_ + ":" + std::to_string(framesPort_); }

    PeerFrame announcement()
    {
        PeerFrame frame { options_.vm_, options_.zone_, ownAddress(), isDraining_,
            !platform_.status().isUpToDate_, platform_.lastReadOffset() };
        for (const ShardStatus& row : shardManager_.status()) {
            if (row.shard_.zone_ == options_.zone_ && row.epoch_.value_ != 0)
                frame.ownedShards_.push_back(row.shard_.index_.value_);
        }
        return frame;
    }

    void onPeerConfig(const std::string& text)
    {
        auto config = parseConfig(nlohmann::json::parse(text, nullptr, false));
        if (config)
            platform_.offer(*config);
    }

    void onPeersChanged()
    {
        mustVerifyShards_ = true;
        broadcastView(false);
    }

    void reconcileShards()
    {
        auto now = monotonicNow();
        if (now < nextShardCheckAt_ || isDraining_ || !isReady_ || !platform_.status().isUpToDate_)
            return;
        nextShardCheckAt_ = now + shardCheckInterval;
        ZoneOwnership ownership { options_.vm_, options_.zone_, view(false).members_ };
        for (std::uint32_t index = 0; index < shardsPerZone; ++index) {
            if (shardManager_.isOwned({ options_.zone_, { index } }))
                ownership.owned_.insert({ index });
            if (peers_.holderOf({ index }))
                ownership.heldElsewhere_.insert({ index });
        }
        auto actions
            = fescue::reconcileShards(unownedShards_, ownership, mustVerifyShards_.exchange(false), now);
        for (const ShardKey& shard : actions.verify_)
            shardManager_.verifyOwnership(shard);
        for (const ShardKey& shard : actions.takeOver_)
            shardManager_.takeOver(shard);
    }

    // The platform's list lags behind, so it may lack a VM that has just started.
    void addSelf(Members& members) const
    {
        bool isListed = std::any_of(members.begin(), members.end(),
            [this](const Member& member) { return member.vm_ == options_.vm_; });
        if (!isListed && framesPort_ != 0)
            members.push_back({ options_.vm_, options_.zone_, ownAddress() });
    }

    ViewFrame view(bool withConfig) const
    {
        ViewFrame frame { peers_.members(), {} };
        addSelf(frame.members_);
        for (Member& member : frame.members_) {
            if (member.vm_ == options_.vm_)
                member.isLeaving_ = member.isLeaving_ || isDraining_;
        }
        if (withConfig)
            frame.config_ = toJson(*platform_.config()).dump();
        return frame;
    }

    void broadcastView(bool withConfig)
    {
        ViewFrame frame = view(withConfig);
        std::lock_guard<std::mutex> lock(linksMutex_);
        for (const FrameLinkPtr& link : links_)
            link->send(frame);
    }

    // Registers the link before it sends the view, so that no change in between is missed.
    void watch(const FrameLinkPtr& link, const WatchFrame& frame)
    {
        {
            std::lock_guard<std::mutex> lock(linksMutex_);
            links_.insert(link);
        }
        link->send(view(platform_.isReady() && platform_.config()->version_ > frame.configVersion_));
    }

    void onLinkClosed(const FrameLinkPtr& link)
    {
        requests_.detachLink(link);
        peers_.onLinkClosed(link);
        std::lock_guard<std::mutex> lock(linksMutex_);
        links_.erase(link);
    }

    void onFrame(const FrameLinkPtr& link, Frame frame)
    {
        if (auto* request = std::get_if<RequestFrame>(&frame))
            onRequest(link, std::move(*request));
        else if (const auto* peer = std::get_if<PeerFrame>(&frame); peer && framesPort_ != 0)
            peers_.onFrame(link, *peer);
        else if (const auto* watched = std::get_if<WatchFrame>(&frame))
            watch(link, *watched);
        else
            link->close();
    }

    void onRequest(const FrameLinkPtr& link, RequestFrame frame)
    {
        switch (frame.operation_) {
        case Operation::ModelCall:
        case Operation::ServiceCall:
            return onCall(link, std::move(frame));
        case Operation::ListPrograms:
            return listPrograms(link, std::move(frame));
        case Operation::CreateProgram:
        case Operation::EndProgram:
        case Operation::ShowProgram:
            return onProgramRequest(link, std::move(frame));
        }
    }

    // Runs the decision here, or redirects the request to the VM that owns its shard.
    void submit(RequestId request, const RequestFrame& frame, const ShardManager::Decision& decision,
        const ShardManager::StalenessCheck& isStale)
    {
        auto shard = shardOf(frame.program_);
        if (!shard)
            return requests_.sendProblem(request,
                { ProblemKind::BadRequest, RunState::NotRun,
                    "malformed program id; use the id from the creation", std::nullopt });
        moves_.route(*shard, request, frame.isForced_, [this, shard = *shard, request, decision, isStale] {
            shardManager_.submit(shard, request, decision, isStale);
        });
    }

    void onCall(const FrameLinkPtr& link, RequestFrame frame)
    {
        auto parsed = parseCall(frame, platform_.config()->manifest_);
        RequestId request = requests_.add(link, frame, parsed && parsed->wantsStream_);
        if (!parsed)
            return requests_.sendProblem(request, parsed.error());
        Call call = parsed->call_;
        call.request_ = request;
        if (call.program_.empty())
            return runner_.runWithoutProgram(call);
        submit(
            request, frame,
            [call](Shard& state, const ShardContext& context) { return admitCall(state, call, context); },
            [call](const Shard& state) { return isPossiblyStale(state, call.program_, call.number_); });
    }

    void onProgramRequest(const FrameLinkPtr& link, RequestFrame frame)
    {
        RequestId request = requests_.add(link, frame, false);
        auto isStale
            = [program = frame.program_](const Shard& state) { return isPossiblyStale(state, program, {}); };
        if (frame.operation_ == Operation::ShowProgram)
            return submit(
                request, frame,
                [this, request, frame](Shard& state, const ShardContext& context) {
                    return showProgram(state, request, frame, context);
                },
                isStale);
        if (frame.operation_ == Operation::EndProgram)
            return submit(
                request, frame,
                [request, frame](Shard& state, const ShardContext& context) {
                    return endProgram(
                        state, { request, frame.workspace_, frame.program_, "ended by its caller" }, context);
                },
                isStale);
        auto create = parseCreation(frame, platform_.config()->manifest_);
        if (!create)
            return requests_.sendProblem(request, create.error());
        create->request_ = request;
        submit(
            request, frame,
            [create = *create](
                Shard& state, const ShardContext& context) { return createProgram(state, create, context); },
            nullptr);
    }

    Effects showProgram(
        Shard& state, RequestId request, const RequestFrame& frame, const ShardContext& context)
    {
        auto document = programDocument(state, frame.program_, frame.workspace_, context);
        if (!document)
            return { ReplyProblem { { request }, document.error() } };
        requests_.sendDocument(request, 200, *document);
        return {};
    }

    void listPrograms(const FrameLinkPtr& link, RequestFrame frame)
    {
        RequestId request = requests_.add(link, frame, false);
        requests_.sendDocument(request, 200, programsText(shardManager_, frame.workspace_));
    }

    void onCallExecuted(const ProgramId& program, ExecutionId id, const ExecutionResult& result)
    {
        auto shard = shardOf(program);
        if (!shard)
            return;
        shardManager_.applyDecision(*shard, [&](Shard& state, const ShardContext& context) {
            return finishCall(state, program, id, result, context);
        });
    }

    bool reserveRetry(const ProgramId& program, ExecutionId id)
    {
        bool isReserved = false;
        if (auto shard = shardOf(program))
            shardManager_.applyDecision(*shard, [&](Shard& state, const ShardContext&) -> Effects {
                isReserved = reserveAnotherAttempt(state, program, id);
                return {};
            });
        return isReserved;
    }

    void applyEffect(const ShardKey& shard, const Effect& effect)
    {
        logEffect(shard, effect);
        std::visit(Overloaded {
                       [&](const ReplyProblem& reply) {
                           for (RequestId request : reply.requests_)
                               requests_.sendProblem(request, reply.problem_);
                       },
                       [&](const ReplyOutcome& reply) {
                           for (RequestId request : reply.requests_)
                               requests_.sendOutcome(request, reply.outcome_, reply.durableCall_);
                       },
                       [&](const ReplyMoved& reply) {
                           for (RequestId request : reply.requests_)
                               requests_.sendMoved(request, reply.to_);
                       },
                       [](const ReplyFromLog&) { /* ShardManager answers it from the log. */ },
                       [&](const ReplyProgram& reply) {
                           requests_.sendDocument(reply.request_, 200,
                               nlohmann::json {
                                   { "program", reply.program_.value_ }, { "durable", reply.isDurable_ } }
                                   .dump());
                       },
                       [&](const AttachRequest& attach) { runner_.attach(attach.program_, attach.request_); },
                       [&](const ExecuteCall& execute) { runner_.run(execute); },
                       [&](const CancelCall& cancel) { runner_.cancel(cancel.program_, cancel.execution_); },
                       [&](const ReleaseCache& release) {
                           runner_.forget(release.program_);
                           cacheReclaimer_.release(release.program_, release.epoch_);
                       },
                   },
            effect);
    }

    void answerHttp(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        if (request.path_ == "/healthz")
            return exchange->answer({ 200, "text/plain", "ok\n" });
        if (request.path_ == "/readyz") {
            bool isReady = platform_.isReady() && !isDraining_;
            return exchange->answer(
                { isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n" });
        }
        if (request.path_ == "/metrics")
            return exchange->answer({ 200, "text/plain; version=0.0.4", metricsText(gaugesOf(state())) });
        if (request.path_ == "/status")
            return exchange->answer({ 200, "application/json", statusText(state()) });
        if (request.path_ == "/programs")
            return exchange->answer({ 200, "application/json", programsText(shardManager_, {}) });
        exchange->answer({ 404, "text/plain", "use /healthz, /readyz, /metrics, /status or /programs\n" });
    }

    SchedulerState state()
    {
        return { options_.vm_, options_.zone_, shardManager_.status(), runner_.load(), requests_.size(),
            platform_.isReady(), isDraining_, *platform_.config(), platform_.status(), view(false).members_ };
    }

    void drain()
    {
        isDraining_ = true;
        logEvent("drain_started", {});
        broadcastView(false);
        peers_.announceNow();
        auto deadline = monotonicNow() + options_.drainGrace_;
        shardManager_.flushNow();
        while (monotonicNow() < deadline && !isIdle())
            std::this_thread::sleep_for(tickInterval);
        moves_.refuseHeld();
        while (monotonicNow() < deadline + tickInterval && !areLinksFlushed())
            std::this_thread::sleep_for(tickInterval);
        logEvent("drain_ended", { { "open_requests", std::to_string(requests_.size()) } });
    }

    bool areLinksFlushed()
    {
        std::lock_guard<std::mutex> lock(linksMutex_);
        return std::all_of(
            links_.begin(), links_.end(), [](const FrameLinkPtr& link) { return link->isFlushed(); });
    }

    bool isIdle()
    {
        if (requests_.size() > 0 || runner_.size() > 0)
            return false;
        shardManager_.flushNow();
        for (const ShardStatus& row : shardManager_.status()) {
            if (row.unconfirmed_ > 0 && !row.isLogDown_)
                return false;
        }
        return true;
    }
};

Scheduler::Scheduler(const SchedulerOptions& options)
    : impl_(std::make_unique<Impl>(options))
{
}

Scheduler::~Scheduler() = default;

std::uint16_t Scheduler::port() const { return impl_->frames_->port(); }

std::uint16_t Scheduler::httpPort() const { return impl_->http_->port(); }

void Scheduler::drain() { impl_->drain(); }

} // namespace fescue
