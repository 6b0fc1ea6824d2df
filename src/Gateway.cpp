#include "Gateway.h"

#include "CallerJson.h"
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
    constexpr Milliseconds homeRetryAfter { 1000 };
    constexpr std::uint32_t hopsBeforeDelay = 2;
    constexpr Milliseconds longestHandOver { 3000 }; ///< Of a shard between two live VMs.
    // After the gateway has said that it is not ready, requests still come until the balancer has noticed.
    constexpr Milliseconds balancerDelay { 1000 };

    // A caller's request on its way. `mutex_` keeps the frames of its answer in order.
    struct Pending {
        HttpExchangePtr exchange_;
        RequestFrame frame_;
        MonotonicTime arrived_;
        Stopwatch taken_;

        std::mutex mutex_;
        std::string address_; ///< Where it was sent.
        bool isRouted_ = false; ///< It is on its way to a scheduler.
        bool wasSent_ = false; ///< A scheduler may have seen it, now or earlier.
        std::uint32_t hops_ = 0;
        VmId movedTo_;
        std::optional<MonotonicTime> movedSince_; ///< It has been sent on and on since then.
        MonotonicTime retryAt_;
        HeadFrame head_;
        bool hasBegun_ = false; ///< The caller has been sent the head of a stream.
        bool hasHead_ = false;
        std::string body_; ///< Of an answer that is passed on whole.
        std::uint64_t chunks_ = 0;
    };

    using PendingPtr = std::shared_ptr<Pending>;

    bool isStream(const HeadFrame& head) { return head.contentType_ == "text/event-stream"; }

    Problem homeUnreachable(const Pending& pending)
    {
        bool isNew = pending.frame_.operation_ == Operation::CreateProgram || pending.frame_.program_.empty();
        return { ProblemKind::HomeUnreachable,
            isNew && !pending.wasSent_ ? RunState::NotRun : RunState::Unknown,
            "no scheduler of the program's availability zone can be reached from here; send the same call "
            "again",
            homeRetryAfter };
    }

    // An earlier attempt of a program's call may have run through another gateway.
    Problem notTaken(const RequestFrame& frame)
    {
        bool isRepeatPossible = !frame.program_.empty();
        return { ProblemKind::ShuttingDown, isRepeatPossible ? RunState::Unknown : RunState::NotRun,
            "this gateway takes no requests at the moment; send the same request to another",
            homeRetryAfter };
    }

    // Ids are told apart over all gateways and their restarts, so that the time line can pair events.
    std::uint64_t firstRequestId()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 31U) ^ device();
    }

    Facts factsOf(const Pending& pending)
    {
        const RequestFrame& frame = pending.frame_;
        Facts facts { { "request", std::to_string(frame.id_) }, { "workspace", frame.workspace_.value_ } };
        if (!frame.program_.empty())
            facts.emplace_back("program", frame.program_.value_);
        if (frame.call_.value_ > 0)
            facts.emplace_back("call", std::to_string(frame.call_.value_));
        return facts;
    }

    Problem tooLarge(ByteCount limit)
    {
        return { ProblemKind::TooLarge, RunState::NotRun,
            "the body may have at most " + std::to_string(limit.value_)
                + " bytes; send less, or have the operator raise --max_body_bytes",
            std::nullopt };
    }

    Problem slowReader()
    {
        return { ProblemKind::TargetTruncated, RunState::Unknown,
            "the answer was not read as fast as it came and was cut; send the same call again to get the "
            "whole of it",
            homeRetryAfter };
    }

    void countProblem(const Problem& problem)
    {
        Counter("gateway_problems_total", { "kind", std::string(nameOf(problem.kind_)) }).add();
    }

    Problem brokenAnswer()
    {
        return { ProblemKind::TargetTruncated, RunState::Unknown,
            "the answer broke off on its way; send the same call again to get the whole of it",
            homeRetryAfter };
    }

} // namespace

struct Gateway::Impl {
    GatewayOptions options_;
    std::atomic<bool> isDraining_ { false }; ///< No more requests are wanted, but they are served.
    std::atomic<bool> isClosed_ { false }; ///< No more requests are taken.
    std::mutex mutex_; ///< Guards the table and the generator.
    std::map<std::uint64_t, PendingPtr> pending_;
    std::uint64_t lastId_;
    Random random_;
    WorkQueue work_;
    SchedulerLinks links_;
    std::unique_ptr<HttpServer> http_;

    explicit Impl(const GatewayOptions& options)
        : options_(options)
        , lastId_(firstRequestId())
        , random_(options.seed_ ^ std::random_device()())
        , work_(1)
        , links_(options.scheduler_,
              { [this](Frame frame) { frameArrived(frame); },
                  [this](const std::string& address) { linkLost(address); } })
    {
        HttpServerOptions http;
        http.address_ = options.address_;
        http.port_ = options.port_;
        http.threads_ = options.threads_;
        // Bodies up to twice the limit are read to the end, so that their callers get a problem document.
        http.maxBody_ = { 2 * options.maxBody_.value_ };
        http_ = std::make_unique<HttpServer>(
            http, [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
                requestArrived(request, exchange);
            });
        links_.tick();
        work_.runEvery(tickInterval, [this] { tick(); });
    }

    ~Impl()
    {
        http_.reset();
        work_.stop();
    }

    void requestArrived(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        if (answerOwn(request, exchange))
            return;
        if (!links_.isReady())
            return refuse(request, exchange, notTaken({}));
        if (static_cast<std::int64_t>(request.body_.size()) > options_.maxBody_.value_)
            return refuse(request, exchange, tooLarge(options_.maxBody_));
        auto frame = parseHttp(request, links_.config()->manifest_);
        if (!frame)
            return refuse(request, exchange, frame.error());
        if (isClosed_)
            return refuse(request, exchange, notTaken(*frame));
        auto pending = std::make_shared<Pending>();
        pending->exchange_ = exchange;
        pending->frame_ = std::move(*frame);
        pending->arrived_ = monotonicNow();
        Counter("gateway_requests_total", { "operation", nameOf(pending->frame_.operation_) }).add();
        enter(pending);
        logEvent("request_received", factsOf(*pending));
        route(pending);
    }

    static void refuse(const HttpRequest& request, const HttpExchangePtr& exchange, const Problem& problem)
    {
        logEvent("request_refused",
            { { "method", request.method_ }, { "problem", std::string(nameOf(problem.kind_)) },
                { "run_state", std::string(nameOf(problem.run_)) } });
        countProblem(problem);
        exchange->answer(toResponse(problem));
    }

    bool answerOwn(const HttpRequest& request, const HttpExchangePtr& exchange)
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

    void enter(const PendingPtr& pending)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        pending->frame_.id_ = ++lastId_;
        if (pending->frame_.operation_ == Operation::CreateProgram)
            nameNewProgram(pending->frame_);
        pending_[lastId_] = pending;
    }

    // Each way of a request to a scheduler has a number of its own, so that what an earlier one still sends
    // is never taken for the answer of the later one.
    void renumber(const PendingPtr& pending)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (!pending_.erase(pending->frame_.id_))
            return;
        pending->frame_.id_ = ++lastId_;
        pending_[lastId_] = pending;
    }

    // A new program goes to a shard of this zone; a child to the shard of its parent.
    void nameNewProgram(RequestFrame& frame)
    {
        std::uniform_int_distribution<std::uint32_t> anyShard(0, shardsPerZone - 1);
        ShardKey shard { options_.zone_, { anyShard(random_) } };
        auto body = parseCallerJson(frame.body_);
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
            renumber(pending);
            pending->address_ = route->address_;
            pending->movedTo_ = {};
            frame = pending->frame_;
            bool isOverdue
                = monotonicNow() - pending->movedSince_.value_or(monotonicNow()) >= longestHandOver;
            frame.isForced_ = route->isForced_ || isOverdue;
        }
        Facts facts = factsOf(*pending);
        facts.emplace_back("to", (route->vm_.empty() ? options_.vm_ : route->vm_).value_);
        logEvent("request_sent", facts);
        links_.send(route->address_, frame);
    }

    static void routeLater(Pending& pending, std::optional<MonotonicTime> movedSince = std::nullopt)
    {
        pending.isRouted_ = false;
        pending.movedSince_ = movedSince;
        ++pending.hops_;
        pending.retryAt_
            = monotonicNow() + (pending.hops_ > hopsBeforeDelay ? retryDelay : Milliseconds { 0 });
    }

    PendingPtr find(std::uint64_t id)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = pending_.find(id);
        return found == pending_.end() ? nullptr : found->second;
    }

    void remove(const PendingPtr& pending)
    {
        observeLatency("gateway_request_seconds", pending->taken_.elapsed());
        std::lock_guard<std::mutex> lock(mutex_);
        pending_.erase(pending->frame_.id_);
    }

    void frameArrived(const Frame& frame)
    {
        if (const auto* head = std::get_if<HeadFrame>(&frame))
            return headArrived(*head);
        if (const auto* chunk = std::get_if<ChunkFrame>(&frame))
            return chunkArrived(*chunk);
        if (const auto* end = std::get_if<EndFrame>(&frame))
            return endArrived(*end);
        if (const auto* moved = std::get_if<MovedFrame>(&frame))
            movedArrived(*moved);
    }

    void headArrived(const HeadFrame& head)
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
        pending->hasBegun_ = true;
        observeLatency("gateway_first_event_seconds", pending->taken_.elapsed());
        pending->exchange_->begin({ head.status_, head.contentType_, {}, head.headers_ });
    }

    void chunkArrived(const ChunkFrame& chunk)
    {
        PendingPtr pending = find(chunk.id_);
        if (!pending)
            return;
        std::unique_lock<std::mutex> lock(pending->mutex_);
        if (!pending->hasHead_ || chunk.index_ != pending->chunks_) {
            lock.unlock();
            return fail(pending, brokenAnswer());
        }
        ++pending->chunks_;
        if (!pending->hasBegun_) {
            pending->body_ += chunk.data_;
            return;
        }
        if (pending->exchange_->write(chunk.data_))
            return;
        lock.unlock();
        fail(pending, slowReader()); // The call goes on for its repeat.
    }

    void endArrived(const EndFrame& end)
    {
        PendingPtr pending = find(end.id_);
        if (!pending)
            return;
        std::unique_lock<std::mutex> lock(pending->mutex_);
        logEvent("answer_received", factsOf(*pending));
        if (!pending->hasHead_ || end.chunks_ != pending->chunks_) {
            lock.unlock();
            return fail(pending, brokenAnswer());
        }
        const HeadFrame& head = pending->head_;
        if (pending->hasBegun_)
            pending->exchange_->end();
        else
            pending->exchange_->answer(
                { head.status_, head.contentType_, std::move(pending->body_), head.headers_ });
        lock.unlock();
        remove(pending);
    }

    void movedArrived(const MovedFrame& moved)
    {
        PendingPtr pending = find(moved.id_);
        if (!pending)
            return;
        {
            std::lock_guard<std::mutex> lock(pending->mutex_);
            pending->movedTo_ = moved.to_;
            logEvent(
                "request_moved", { { "request", std::to_string(moved.id_) }, { "to", moved.to_.value_ } });
            routeLater(*pending, pending->movedSince_.value_or(monotonicNow()));
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
                { "run_state", std::string(nameOf(problem.run_)) } });
        countProblem(problem);
        {
            std::lock_guard<std::mutex> lock(pending->mutex_);
            if (pending->hasBegun_) {
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

    void linkLost(const std::string& address)
    {
        for (const PendingPtr& pending : allPending()) {
            std::unique_lock<std::mutex> lock(pending->mutex_);
            if (!pending->isRouted_ || pending->address_ != address)
                continue;
            if (pending->hasBegun_) {
                lock.unlock();
                fail(pending, brokenAnswer());
                continue;
            }
            pending->hasHead_ = false;
            pending->chunks_ = 0;
            pending->body_.clear();
            routeLater(*pending);
        }
    }

    void tick()
    {
        links_.tick();
        auto now = monotonicNow();
        for (const PendingPtr& pending : allPending()) {
            std::unique_lock<std::mutex> lock(pending->mutex_);
            bool isStranded = pending->isRouted_ && !pending->hasHead_ && !links_.isUsable(pending->address_);
            if (isStranded)
                routeLater(*pending);
            if (pending->isRouted_ || now < pending->retryAt_)
                continue;
            bool isTooLate = now - pending->arrived_ >= options_.homeTimeout_;
            lock.unlock();
            if (isTooLate)
                fail(pending, homeUnreachable(*pending));
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
        auto begun = monotonicNow();
        auto deadline = begun + options_.drainGrace_;
        while (monotonicNow() < std::min(deadline, begun + balancerDelay))
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
