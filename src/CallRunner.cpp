#include "CallRunner.h"

#include "EventLog.h"
#include "Execution.h"
#include "LoadPoll.h"
#include "Metrics.h"
#include "TargetRequest.h"

#include <atomic>
#include <map>
#include <mutex>

namespace fescue {

struct CallRunner::Impl {
    CallRunnerOptions options_;
    HttpClient& client_;
    RequestTable& requests_;
    Post post_;
    OnResult onResult_;
    Reserve reserve_;

    mutable std::mutex mutex_; ///< Guards the pool and the tables below.
    TargetPool pool_;
    Random random_;
    Manifest manifest_;
    std::map<DispatchId, ExecutionPtr> executions_;
    std::map<ProgramId, ExecutionPtr> byProgram_;
    DispatchId lastId_;
    LoadPoll poll_;

    Impl(const CallRunnerOptions& options, HttpClient& client, RequestTable& requests, Post post,
        OnResult onResult, Reserve reserve)
        : options_(options)
        , client_(client)
        , requests_(requests)
        , post_(std::move(post))
        , onResult_(std::move(onResult))
        , reserve_(std::move(reserve))
        , random_(options.seed_)
    {
        pool_.zone_ = options.zone_;
    }

    QueuedCall toQueuedCall(const Execution& execution) const
    {
        const Call& call = execution.execute_.call_;
        QueuedCall queued;
        queued.id_ = execution.id_;
        queued.workspace_ = call.workspace_;
        queued.program_ = call.program_;
        queued.service_ = execution.frame_->service_;
        constexpr std::int64_t bytesPerToken = 4;
        if (isModelCall(execution)) {
            queued.model_ = modelOf(*execution.frame_);
            queued.digest_ = digestOf(*execution.frame_);
            queued.promptTokens_ = { call.bodySize_.value_ / bytesPerToken };
        }
        queued.epoch_ = execution.execute_.epoch_;
        queued.maxTokens_ = call.maxTokens_;
        queued.bytes_ = call.bodySize_;
        queued.arrived_ = execution.arrived_;
        if (execution.frame_->timeoutMs_ > 0)
            queued.deadline_ = execution.arrived_ + Milliseconds { execution.frame_->timeoutMs_ };
        queued.avoid_ = execution.triedTargets_;
        return queued;
    }

    // Precondition: `mutex_` is held.
    void enqueue(const ExecutionPtr& execution)
    {
        auto entered = enqueueCall(pool_, toQueuedCall(*execution), monotonicNow(), random_);
        if (entered) {
            dispatchAll();
            return;
        }
        auto result = problemResult(ExecutionResult::Kind::NotRun, entered.error());
        post_([this, execution, result] { finish(execution, result); });
    }

    // Precondition: `mutex_` is held.
    void dispatchAll()
    {
        for (const Dispatch& dispatch : nextDispatches(pool_, monotonicNow(), random_)) {
            auto found = executions_.find(dispatch.id_);
            if (found != executions_.end())
                send(found->second, dispatch.target_);
        }
    }

    void send(const ExecutionPtr& execution, const Target& target)
    {
        const Service* service = nullptr;
        auto known = manifest_.services_.find(execution->frame_->service_);
        if (known != manifest_.services_.end())
            service = &known->second;
        HttpCall call = isModelCall(*execution)
            ? modelRequest(*execution->frame_, execution->execute_, target, options_.modelTimeout_)
            : serviceRequest(*execution->frame_, execution->execute_, target, service);
        logEvent("call_sent",
            { { "program", execution->execute_.call_.program_.value_ },
                { "call", std::to_string(execution->execute_.call_.number_.value_) },
                { "epoch", std::to_string(execution->execute_.epoch_.value_) },
                { "target", target.id_.value_ } });
        std::lock_guard<std::mutex> lock(execution->mutex_);
        execution->target_ = target;
        execution->sent_ = Stopwatch();
        execution->triedTargets_.insert(target.id_);
        execution->stream_ = ChatStream();
        HttpClient::OnData onData;
        if (isModelCall(*execution))
            onData = [this, execution](
                         int status, std::string_view data) { handleData(execution, status, data); };
        execution->transfer_ = client_.start(
            std::move(call), [this, execution](HttpResult result) { handleResult(execution, result); },
            onData);
    }

    // Reports output to the pool, at most once per interval. Precondition: `execution.mutex_` is not held,
    // since the pool's lock is acquired first.
    void reportOutput(Execution& execution)
    {
        constexpr Milliseconds interval { 1000 };
        auto now = monotonicNow();
        if (now < execution.lastOutputReport_ + interval)
            return;
        execution.lastOutputReport_ = now;
        std::lock_guard<std::mutex> lock(mutex_);
        recordOutput(pool_, execution.id_, now);
    }

    void handleData(const ExecutionPtr& execution, int status, std::string_view data)
    {
        if (status != 200)
            return;
        reportOutput(*execution);
        std::lock_guard<std::mutex> lock(execution->mutex_);
        for (const std::string& event : execution->stream_.feed(data)) {
            execution->forwardedEvents_ += event;
            for (RequestId request : execution->requests_)
                requests_.sendEvents(request, event, execution->execute_.durableCall_);
        }
        bool isOverrun = execution->stream_.contentEvents() > execution->execute_.call_.maxTokens_;
        if (isOverrun && !execution->isCutAtReservation_) {
            execution->isCutAtReservation_ = true;
            client_.cancel(execution->transfer_);
        }
    }

    void handleResult(const ExecutionPtr& execution, const HttpResult& result)
    {
        const Call& call = execution->execute_.call_;
        observeLatency(isModelCall(*execution) ? "scheduler_engine_seconds" : "scheduler_service_seconds",
            execution->sent_.elapsed());
        logEvent("target_answered",
            { { "program", call.program_.value_ }, { "call", std::to_string(call.number_.value_) },
                { "target", execution->target_.id_.value_ }, { "status", std::to_string(result.status_) } });
        auto finalResult = isModelCall(*execution) ? afterModelCall(execution, result)
                                                   : afterServiceCall(execution, result);
        if (finalResult)
            finish(execution, *finalResult);
    }

    // The result of the call, or nothing if it is retried on another target.
    std::optional<ExecutionResult> afterModelCall(const ExecutionPtr& execution, const HttpResult& result)
    {
        std::unique_lock<std::mutex> lock(execution->mutex_);
        bool isComplete = result.outcome_ == HttpResult::Outcome::Answered && result.status_ == 200
            && execution->stream_.isDone();
        if (isComplete || execution->isCutAtReservation_) {
            auto answered = modelResult(*execution);
            ChatUsage usage = execution->stream_.usage();
            lock.unlock();
            completeAndDispatch(execution->id_,
                { DispatchOutcome::Answered, usage.prompt_, usage.cached_, usage.completion_ });
            return answered;
        }
        bool canRetry = execution->forwardedEvents_.empty() && !execution->isCancelled_;
        TokenCount attemptCost = failedAttemptCost(*execution, result);
        execution->failedAttemptsCost_ += attemptCost;
        DispatchOutcome outcome = outcomeOfModelCall(*execution, result);
        execution->isHung_ = false;
        lock.unlock();
        completeAndDispatch(execution->id_, { outcome });
        if (canRetry && reserveRetry(*execution, attemptCost) && retry(execution, outcome))
            return std::nullopt;
        auto failed = problemResult(ExecutionResult::Kind::Failed,
            execution->refusal_ ? *execution->refusal_ : failureProblem(result, canRetry));
        failed.used_ = execution->failedAttemptsCost_;
        return failed;
    }

    std::optional<ExecutionResult> afterServiceCall(const ExecutionPtr& execution, const HttpResult& result)
    {
        bool isAtMostOnce = execution->execute_.call_.kind_ == CallKind::AtMostOnceService;
        DispatchOutcome outcome = outcomeOf(result);
        completeAndDispatch(execution->id_, { outcome });
        if (result.outcome_ == HttpResult::Outcome::Answered && (isAtMostOnce || !isRefusal(result.status_)))
            return serviceResult(result);
        if (isAtMostOnce && result.outcome_ == HttpResult::Outcome::Unknown)
            return unknownResult(result.error_);
        if (retry(execution, outcome))
            return std::nullopt;
        bool isNotRun = result.outcome_ == HttpResult::Outcome::NotSent && isAtMostOnce;
        return problemResult(isNotRun ? ExecutionResult::Kind::NotRun : ExecutionResult::Kind::Failed,
            failureProblem(result, true));
    }

    void completeAndDispatch(DispatchId id, const DispatchResult& result)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        completeDispatch(pool_, id, result, monotonicNow(), random_);
        dispatchAll();
    }

    bool reserveRetry(const Execution& execution, TokenCount attemptCost) const
    {
        const ExecuteCall& execute = execution.execute_;
        return execution.hasNoProgram_ || attemptCost.value_ == 0
            || reserve_(execute.call_.program_, execute.execution_);
    }

    bool retry(const ExecutionPtr& execution, DispatchOutcome outcome)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::lock_guard<std::mutex> inner(execution->mutex_);
        if (execution->isCancelled_ || execution->triedTargets_.size() >= options_.maxAttempts_)
            return false;
        const auto& sendDeadline = execution->execute_.sendDeadline_;
        if (sendDeadline && monotonicNow() >= *sendDeadline)
            return false;
        // A call that never left this process adds no load, so it needs no retry budget.
        if (outcome != DispatchOutcome::Unreachable && !tryConsumeRetry(pool_))
            return false;
        auto entered = enqueueCall(pool_, toQueuedCall(*execution), monotonicNow(), random_);
        if (!entered) {
            if (entered.error().kind_ == ProblemKind::Quarantined)
                execution->refusal_ = entered.error();
            return false;
        }
        post_([this] { runPeriodicTasks(); });
        return true;
    }

    void runPeriodicTasks()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        cancelHungCalls();
        failExpiredCalls();
        releaseStalePrefixes();
        pollLoads();
        dispatchAll();
    }

    // Precondition of this and the next three functions: `mutex_` is held.
    void cancelHungCalls()
    {
        for (DispatchId id : hungDispatches(pool_, monotonicNow())) {
            auto found = executions_.find(id);
            if (found == executions_.end())
                continue;
            std::lock_guard<std::mutex> inner(found->second->mutex_);
            found->second->isHung_ = true;
            client_.cancel(found->second->transfer_);
        }
    }

    void failExpiredCalls()
    {
        for (DispatchId id : removeExpired(pool_, monotonicNow())) {
            auto found = executions_.find(id);
            if (found == executions_.end())
                continue;
            ExecutionPtr execution = found->second;
            bool isAtMostOnce = execution->execute_.call_.kind_ == CallKind::AtMostOnceService;
            bool isNotRun = isAtMostOnce || execution->triedTargets_.empty();
            Problem expired { ProblemKind::DeadlineExceeded, isNotRun ? RunState::NotRun : RunState::Unknown,
                "no target had a free slot before the deadline of the call; allow the call more time",
                std::nullopt };
            auto result = problemResult(
                isNotRun ? ExecutionResult::Kind::NotRun : ExecutionResult::Kind::Failed, expired);
            post_([this, execution, result] { finish(execution, result); });
        }
    }

    void releaseStalePrefixes()
    {
        for (const StalePrefix& stale : removeStalePrefixes(pool_, monotonicNow())) {
            auto target = manifest_.targets_.find(stale.target_);
            if (target != manifest_.targets_.end())
                client_.start(
                    releaseRequest(stale.program_, stale.epoch_, target->second), [](const HttpResult&) {});
        }
    }

    void pollLoads()
    {
        for (const Target& target : nextPolls(poll_, pool_, monotonicNow())) {
            client_.start(loadRequest(target), [this, id = target.id_](const HttpResult& result) {
                auto report = parseLoad(result.body_);
                if (result.status_ != 200 || !report)
                    return;
                std::lock_guard<std::mutex> lock(mutex_);
                recordLoadReport(pool_, id, *report, monotonicNow());
            });
        }
    }

    void finish(const ExecutionPtr& execution, const ExecutionResult& result)
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            executions_.erase(execution->id_);
            auto found = byProgram_.find(execution->execute_.call_.program_);
            if (found != byProgram_.end() && found->second == execution)
                byProgram_.erase(found);
        }
        if (!execution->hasNoProgram_) {
            onResult_(execution->execute_.call_.program_, execution->execute_.execution_, result);
            return;
        }
        RequestId request = execution->execute_.call_.request_;
        if (result.kind_ == ExecutionResult::Kind::Answered)
            requests_.sendOutcome(request, result.outcome_, {});
        else
            requests_.sendProblem(request, result.problem_);
    }

    void start(const ExecuteCall& execute, bool hasNoProgram)
    {
        auto frame = requests_.find(execute.call_.request_);
        auto execution = std::make_shared<Execution>();
        execution->execute_ = execute;
        execution->requests_ = execute.requests_;
        execution->hasNoProgram_ = hasNoProgram;
        execution->arrived_ = monotonicNow();
        if (!frame) {
            Problem gone { ProblemKind::Internal, RunState::NotRun,
                "the request is no longer in the request table", std::nullopt };
            auto result = problemResult(ExecutionResult::Kind::NotRun, gone);
            post_([this, execution, result] { finish(execution, result); });
            return;
        }
        execution->frame_ = frame;
        std::lock_guard<std::mutex> lock(mutex_);
        lastId_ += DispatchId { 1 };
        execution->id_ = lastId_;
        executions_[lastId_] = execution;
        if (!hasNoProgram)
            byProgram_[execute.call_.program_] = execution;
        enqueue(execution);
    }
};

CallRunner::CallRunner(const CallRunnerOptions& options, HttpClient& client, RequestTable& requests,
    Post post, OnResult onResult, Reserve reserve)
    : impl_(std::make_unique<Impl>(
        options, client, requests, std::move(post), std::move(onResult), std::move(reserve)))
{
}

CallRunner::~CallRunner() = default;

void CallRunner::setManifest(const Manifest& manifest)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    impl_->manifest_ = manifest;
    setTargets(impl_->pool_, manifest);
    impl_->dispatchAll();
}

void CallRunner::run(const ExecuteCall& execute) { impl_->start(execute, false); }

void CallRunner::runWithoutProgram(const Call& call)
{
    ExecuteCall execute;
    execute.call_ = call;
    execute.requests_ = { call.request_ };
    execute.reserved_ = call.maxTokens_;
    impl_->start(execute, true);
}

void CallRunner::attach(const ProgramId& program, RequestId request)
{
    ExecutionPtr execution;
    {
        std::lock_guard<std::mutex> lock(impl_->mutex_);
        auto found = impl_->byProgram_.find(program);
        if (found == impl_->byProgram_.end())
            return;
        execution = found->second;
    }
    std::lock_guard<std::mutex> lock(execution->mutex_);
    execution->requests_.push_back(request);
    if (!execution->forwardedEvents_.empty())
        impl_->requests_.sendEvents(request, execution->forwardedEvents_, execution->execute_.durableCall_);
}

void CallRunner::cancel(const ProgramId& program, ExecutionId id)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    auto found = impl_->byProgram_.find(program);
    if (found == impl_->byProgram_.end() || found->second->execute_.execution_ != id)
        return;
    ExecutionPtr execution = found->second;
    std::lock_guard<std::mutex> inner(execution->mutex_);
    execution->isCancelled_ = true;
    if (removeQueued(impl_->pool_, execution->id_)) {
        impl_->executions_.erase(execution->id_);
        impl_->byProgram_.erase(found);
        return;
    }
    impl_->client_.cancel(execution->transfer_);
}

void CallRunner::forget(const ProgramId& program)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    forgetProgram(impl_->pool_, program);
}

void CallRunner::tick() { impl_->runPeriodicTasks(); }

PoolLoad CallRunner::load() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    PoolLoad load { impl_->pool_.queue_.calls_.size(), {} };
    for (const auto& [id, target] : impl_->pool_.targets_)
        load.inFlight_[id] = target.inFlight_;
    return load;
}

std::size_t CallRunner::size() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->executions_.size();
}

} // namespace fescue
