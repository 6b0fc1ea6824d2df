#include "Gateway.h"

#include "BoundedJson.h"
#include "EventLog.h"
#include "HttpServer.h"
#include "Metrics.h"
#include "ParseHttp.h"
#include "ProgramId.h"
#include "SchedulerLinks.h"
#include "WorkQueue.h"

#include <atomic>
#include <thread>

namespace fescue {

namespace {

    constexpr Milliseconds tickInterval { 20 };
    constexpr Milliseconds retryDelay { 50 };
    constexpr Milliseconds defaultRetryAfter { 1000 };
    constexpr std::uint32_t maxUndelayedHops = 2;
    constexpr Milliseconds maxShardHandover { 3000 }; ///< Duration of a handover between two live VMs.
    // After /readyz has turned to 503, the load balancer still sends requests until its next health check.
    constexpr Milliseconds balancerDetectionTime { 1000 };

    // An open request of a caller. `mutex_` serializes the frames of its response.
    struct Pending {
        HttpExchangePtr exchange_;
        RequestFrame frame_;
        MonotonicTime arrived_;
        Stopwatch stopwatch_;

        std::mutex mutex_;
        std::string address_; ///< Scheduler that it was sent to.
        bool isRouted_ = false; ///< It has been sent to a scheduler whose response is awaited.
        bool wasSent_ = false; ///< A scheduler may have received this or an earlier attempt.
        std::uint32_t hops_ = 0;
        VmId movedTo_;
        std::optional<MonotonicTime> redirectedSince_; ///< Start of an uninterrupted series of redirects.
        MonotonicTime retryAt_;
        HeadFrame head_;
        bool hasStartedStream_ = false; ///< The head of a streamed response has been sent to the caller.
        bool hasHead_ = false;
        std::string body_; ///< Buffered body of a response that is not streamed.
        std::uint64_t chunks_ = 0;
    };

    using PendingPtr = std::shared_ptr<Pending>;

    bool isStream(const HeadFrame& head) { return head.contentType_ == "text/event-stream"; }

    Problem homeUnreachableProblem(const Pending& pending)
    {
        bool isNew = pending.frame_.operation_ == Operation::CreateProgram || pending.frame_.program_.empty();
        return { ProblemKind::HomeUnreachable,
            isNew && !pending.wasSent_ ? RunState::NotRun : RunState::Unknown,
            "no scheduler of the program's availability zone is reachable from this gateway; retry the same "
            "call",
            defaultRetryAfter };
    }

    // For a program's call the run state is unknown: another gateway may have forwarded an earlier attempt.
    Problem notAcceptingProblem(const RequestFrame& frame)
    {
        bool isRepeatPossible = !frame.program_.empty();
        return { ProblemKind::ShuttingDown, isRepeatPossible ? RunState::Unknown : RunState::NotRun,
            "this gateway is not accepting requests; retry the same request at another gateway",
            defaultRetryAfter };
    }

    // A random start keeps ids unique across gateways and restarts, so that the timeline can pair events.
    std::uint64_t randomFirstId()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 31U) ^ device();
    }

    LogFields fieldsOf(const Pending& pending)
    {
        const RequestFrame& frame = pending.frame_;
        LogFields fields { { "request", std::to_string(frame.id_) },
            { "workspace", frame.workspace_.value_ } };
        if (!frame.program_.empty())
            fields.emplace_back("program", frame.program_.value_);
        if (frame.call_.value_ > 0)
            fields.emplace_back("call", std::to_string(frame.call_.value_));
        return fields;
    }

    Problem tooLargeProblem(ByteCount limit)
    {
        return { ProblemKind::TooLarge, RunState::NotRun,
            "the body may have at most " + std::to_string(limit.value_)
                + " bytes; send less, or have the operator raise --max_body_bytes",
            std::nullopt };
    }

    Problem slowReaderProblem()
    {
        return { ProblemKind::TargetTruncated, RunState::Unknown,
            "the response was cut off because the caller read it too slowly; retry the same call to get the "
            "whole response",
            defaultRetryAfter };
    }

    void countProblem(const Problem& problem)
    {
        Counter("gateway_problems_total", { "kind", std::string(nameOf(problem.kind_)) }).add();
    }

    Problem truncatedResponseProblem()
    {
        return { ProblemKind::TargetTruncated, RunState::Unknown,
            "the response was truncated between scheduler and gateway; retry the same call to get the whole "
            "response",
            defaultRetryAfter };
    }

} // namespace

struct Gateway::Impl {
    GatewayOptions options_;
    std::atomic<bool> isDraining_ { false }; ///< Not ready; new requests are still accepted.
    std::atomic<bool> isClosed_ { false }; ///< New requests are rejected.
    std::mutex mutex_; ///< Guards `pending_`, `lastId_` and `random_`.
    std::map<std::uint64_t, PendingPtr> pending_;
    std::uint64_t lastId_;
    Random random_;
    WorkQueue work_;
    SchedulerLinks links_;
    std::unique_ptr<HttpServer> http_;

    explicit Impl(const GatewayOptions& options)
        : options_(options)
        , lastId_(randomFirstId())
        , random_(options.seed_ ^ std::random_device()())
        , work_(1)
        , links_(options.scheduler_,
              { [this](Frame frame) { handleFrame(frame); },
                  [this](const std::string& address) { handleLinkLost(address); } })
    {
        HttpServerOptions http;
        http.address_ = options.address_;
        http.port_ = options.port_;
        http.threads_ = options.threads_;
        // Bodies of up to twice the limit are read completely, so that the caller gets a problem document
        // instead of a closed connection.
        http.maxBody_ = { 2 * options.maxBody_.value_ };
        http_ = std::make_unique<HttpServer>(
            http, [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
                handleRequest(request, exchange);
            });
        links_.tick();
        work_.runEvery(tickInterval, [this] { tick(); });
    }

    ~Impl()
    {
        http_.reset();
        work_.stop();
    }

    void handleRequest(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        if (handleLocalPath(request, exchange))
            return;
        if (!links_.isReady())
            return reject(request, exchange, notAcceptingProblem({}));
        if (static_cast<std::int64_t>(request.body_.size()) > options_.maxBody_.value_)
            return reject(request, exchange, tooLargeProblem(options_.maxBody_));
        auto frame = parseHttp(request, links_.config()->manifest_);
        if (!frame)
            return reject(request, exchange, frame.error());
        if (isClosed_)
            return reject(request, exchange, notAcceptingProblem(*frame));
        auto pending = std::make_shared<Pending>();
        pending->exchange_ = exchange;
        pending->frame_ = std::move(*frame);
        pending->arrived_ = monotonicNow();
        Counter("gateway_requests_total", { "operation", nameOf(pending->frame_.operation_) }).add();
        registerRequest(pending);
        logEvent("request_received", fieldsOf(*pending));
        route(pending);
    }

    static void reject(const HttpRequest& request, const HttpExchangePtr& exchange, const Problem& problem)
    {
        logEvent("request_refused",
            { { "method", request.method_ }, { "problem", std::string(nameOf(problem.kind_)) },
                { "run_state", std::string(nameOf(problem.runState_)) } });
        countProblem(problem);
        exchange->answer(toResponse(problem));
    }

    bool handleLocalPath(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        bool isReady = links_.isReady() && !isDraining_;
        if (request.path_ == "/healthz")
            exchange->answer({ 200, "text/plain", "ok\n" });
        else if (request.path_ == "/readyz")
            exchange->answer({ isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n" });
        else if (request.path_ == "/metrics")
            exchange->answer({ 200, "text/plain; version=0.0.4", metricsText(gauges()) });
        else
            return false;
        return true;
    }

    void registerRequest(const PendingPtr& pending)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        pending->frame_.id_ = ++lastId_;
        if (pending->frame_.operation_ == Operation::CreateProgram)
            assignProgramId(pending->frame_);
        pending_[lastId_] = pending;
    }

    // Each attempt to send a request to a scheduler gets a new id, so that late frames of an earlier attempt
    // are not mistaken for the response to the current one.
    void assignNewId(const PendingPtr& pending)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (!pending_.erase(pending->frame_.id_))
            return;
        pending->frame_.id_ = ++lastId_;
        pending_[lastId_] = pending;
    }

    // A new program is assigned to a random shard of this zone, and a child program to the shard of its
    // parent.
    void assignProgramId(RequestFrame& frame)
    {
        std::uniform_int_distribution<std::uint32_t> anyShard(0, shardsPerZone - 1);
        ShardKey shard { options_.zone_, { anyShard(random_) } };
        auto body = parseBoundedJson(frame.body_);
        if (body.is_object() && body.contains("parent") && body["parent"].is_string())
            shard = shardOf({ body["parent"].get<std::string>() }).value_or(shard);
        auto now = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
        frame.program_ = makeProgramId(shard, now, random_);
    }

    std::optional<SchedulerRoute> chooseRoute(const Pending& pending) const
    {
        auto shard = shardOf(pending.frame_.program_);
        return shard ? links_.routeTo(*shard, pending.movedTo_) : links_.anyRoute();
    }

    void route(const PendingPtr& pending)
    {
        auto route = chooseRoute(*pending);
        RequestFrame frame;
        {
            std::lock_guard<std::mutex> lock(pending->mutex_);
            if (pending->isRouted_)
                return;
            if (!route) {
                pending->retryAt_ = monotonicNow() + retryDelay;
                return;
            }
            pending->isRouted_ = true;
            pending->wasSent_ = true;
            assignNewId(pending);
            pending->address_ = route->address_;
            pending->movedTo_ = {};
            frame = pending->frame_;
            bool isOverdue
                = monotonicNow() - pending->redirectedSince_.value_or(monotonicNow()) >= maxShardHandover;
            frame.isForced_ = route->isForced_ || isOverdue;
        }
        LogFields fields = fieldsOf(*pending);
        fields.emplace_back("to", (route->vm_.empty() ? options_.vm_ : route->vm_).value_);
        logEvent("request_sent", fields);
        links_.send(route->address_, frame);
    }

    static void scheduleReroute(Pending& pending, std::optional<MonotonicTime> redirectedSince = std::nullopt)
    {
        pending.isRouted_ = false;
        pending.redirectedSince_ = redirectedSince;
        ++pending.hops_;
        pending.retryAt_
            = monotonicNow() + (pending.hops_ > maxUndelayedHops ? retryDelay : Milliseconds { 0 });
    }

    PendingPtr find(std::uint64_t id)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = pending_.find(id);
        return found == pending_.end() ? nullptr : found->second;
    }

    void remove(const PendingPtr& pending)
    {
        observeLatency("gateway_request_seconds", pending->stopwatch_.elapsed());
        std::lock_guard<std::mutex> lock(mutex_);
        pending_.erase(pending->frame_.id_);
    }

    void handleFrame(const Frame& frame)
    {
        if (const auto* head = std::get_if<HeadFrame>(&frame))
            return handleHead(*head);
        if (const auto* chunk = std::get_if<ChunkFrame>(&frame))
            return handleChunk(*chunk);
        if (const auto* end = std::get_if<EndFrame>(&frame))
            return handleEnd(*end);
        if (const auto* moved = std::get_if<MovedFrame>(&frame))
            handleMoved(*moved);
    }

    void handleHead(const HeadFrame& head)
    {
        PendingPtr pending = find(head.id_);
        if (!pending)
            return;
        std::lock_guard<std::mutex> lock(pending->mutex_);
        if (pending->hasHead_)
            return;
        pending->hasHead_ = true;
        pending->head_ = head;
        if (!isStream(head))
            return;
        pending->hasStartedStream_ = true;
        observeLatency("gateway_first_event_seconds", pending->stopwatch_.elapsed());
        pending->exchange_->begin({ head.status_, head.contentType_, {}, head.headers_ });
    }

    void handleChunk(const ChunkFrame& chunk)
    {
        PendingPtr pending = find(chunk.id_);
        if (!pending)
            return;
        std::unique_lock<std::mutex> lock(pending->mutex_);
        if (!pending->hasHead_ || chunk.index_ != pending->chunks_) {
            lock.unlock();
            return fail(pending, truncatedResponseProblem());
        }
        ++pending->chunks_;
        if (!pending->hasStartedStream_) {
            pending->body_ += chunk.data_;
            return;
        }
        if (pending->exchange_->write(chunk.data_))
            return;
        lock.unlock();
        fail(pending, slowReaderProblem()); // The call continues, so that a retry can get its response.
    }

    void handleEnd(const EndFrame& end)
    {
        PendingPtr pending = find(end.id_);
        if (!pending)
            return;
        std::unique_lock<std::mutex> lock(pending->mutex_);
        logEvent("answer_received", fieldsOf(*pending));
        if (!pending->hasHead_ || end.chunks_ != pending->chunks_) {
            lock.unlock();
            return fail(pending, truncatedResponseProblem());
        }
        const HeadFrame& head = pending->head_;
        if (pending->hasStartedStream_)
            pending->exchange_->end();
        else
            pending->exchange_->answer(
                { head.status_, head.contentType_, std::move(pending->body_), head.headers_ });
        lock.unlock();
        remove(pending);
    }

    void handleMoved(const MovedFrame& moved)
    {
        PendingPtr pending = find(moved.id_);
        if (!pending)
            return;
        {
            std::lock_guard<std::mutex> lock(pending->mutex_);
            pending->movedTo_ = moved.to_;
            logEvent(
                "request_moved", { { "request", std::to_string(moved.id_) }, { "to", moved.to_.value_ } });
            scheduleReroute(*pending, pending->redirectedSince_.value_or(monotonicNow()));
            if (monotonicNow() < pending->retryAt_)
                return;
        }
        route(pending);
    }

    void fail(const PendingPtr& pending, const Problem& problem)
    {
        logEvent("request_failed",
            { { "request", std::to_string(pending->frame_.id_) },
                { "problem", std::string(nameOf(problem.kind_)) },
                { "run_state", std::string(nameOf(problem.runState_)) } });
        countProblem(problem);
        {
            std::lock_guard<std::mutex> lock(pending->mutex_);
            if (pending->hasStartedStream_) {
                pending->exchange_->abort("event: error\ndata: " + toJsonText(problem) + "\n\n");
            } else {
                pending->exchange_->answer(toResponse(problem));
            }
        }
        remove(pending);
    }

    std::vector<PendingPtr> allPending()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::vector<PendingPtr> all;
        all.reserve(pending_.size());
        for (const auto& [id, pending] : pending_)
            all.push_back(pending);
        return all;
    }

    void handleLinkLost(const std::string& address)
    {
        for (const PendingPtr& pending : allPending()) {
            std::unique_lock<std::mutex> lock(pending->mutex_);
            if (!pending->isRouted_ || pending->address_ != address)
                continue;
            if (pending->hasStartedStream_) {
                lock.unlock();
                fail(pending, truncatedResponseProblem());
                continue;
            }
            pending->hasHead_ = false;
            pending->chunks_ = 0;
            pending->body_.clear();
            scheduleReroute(*pending);
        }
    }

    void tick()
    {
        links_.tick();
        auto now = monotonicNow();
        for (const PendingPtr& pending : allPending()) {
            std::unique_lock<std::mutex> lock(pending->mutex_);
            bool isLinkUnusable
                = pending->isRouted_ && !pending->hasHead_ && !links_.isUsable(pending->address_);
            if (isLinkUnusable)
                scheduleReroute(*pending);
            if (pending->isRouted_ || now < pending->retryAt_)
                continue;
            bool isTimedOut = now - pending->arrived_ >= options_.homeTimeout_;
            lock.unlock();
            if (isTimedOut)
                fail(pending, homeUnreachableProblem(*pending));
            else
                route(pending);
        }
    }

    std::vector<Gauge> gauges()
    {
        bool isReady = links_.isReady() && !isDraining_;
        return { { "gateway_ready", {}, isReady ? 1.0 : 0.0 },
            { "gateway_draining", {}, isDraining_ ? 1.0 : 0.0 },
            { "gateway_open_requests", {}, static_cast<double>(openRequests()) } };
    }

    std::size_t openRequests()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return pending_.size();
    }

    void drain()
    {
        isDraining_ = true;
        logEvent("drain_started", {});
        auto startedAt = monotonicNow();
        auto deadline = startedAt + options_.drainGrace_;
        while (monotonicNow() < std::min(deadline, startedAt + balancerDetectionTime))
            std::this_thread::sleep_for(tickInterval);
        isClosed_ = true;
        while (monotonicNow() < deadline && openRequests() > 0)
            std::this_thread::sleep_for(tickInterval);
        logEvent("drain_ended", { { "open_requests", std::to_string(openRequests()) } });
    }
};

Gateway::Gateway(const GatewayOptions& options)
    : impl_(std::make_unique<Impl>(options))
{
}

Gateway::~Gateway() = default;

std::uint16_t Gateway::port() const { return impl_->http_->port(); }

void Gateway::drain() { impl_->drain(); }

} // namespace fescue
