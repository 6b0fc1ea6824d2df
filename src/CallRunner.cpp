#include "CallRunner.h"

#include "ChatStream.h"
#include "EventLog.h"
#include "Metrics.h"
#include "TargetRequest.h"

#include <atomic>
#include <map>
#include <mutex>

namespace fescue {

namespace {

    // One call at its way through the targets. `mutex_` guards what the stream's events change.
    struct Execution {
        DispatchId id_;
        ExecuteCall execute_;
        std::shared_ptr<const RequestFrame> frame_;
        bool isLoose_ = false;

        std::mutex mutex_;
        Target target_;
        Stopwatch sent_;
        TransferId transfer_;
        std::set<TargetId> tried_;
        ChatStream stream_;
        std::string passedOn_; ///< Events that callers have been sent, for those who attach later.
        std::vector<RequestId> requests_;
        bool isCancelled_ = false;
        bool isCutShort_ = false; ///< The engine went on beyond what was reserved.
    };

    using ExecutionPtr = std::shared_ptr<Execution>;

    bool isModelCall(const Execution& execution) { return execution.execute_.call_.kind_ == CallKind::Model; }

    // A status by which a target says that it did not take the call in.
    bool isRefusal(int status) { return status == 429 || status == 503; }

    ExecutionResult problemResult(ExecutionResult::Kind kind, Problem problem)
    {
        ExecutionResult result;
        result.kind_ = kind;
        result.problem_ = std::move(problem);
        return result;
    }

    ExecutionResult unknownResult(const std::string& error)
    {
        ExecutionResult result;
        result.kind_ = ExecutionResult::Kind::Unknown;
        result.outcome_ = unknownOutcome("the service's answer was lost (" + error
            + "); the call may have run and will not be sent again; ask the service about it");
        return result;
    }

    ExecutionResult modelResult(const Execution& execution)
    {
        ExecutionResult result;
        result.kind_ = ExecutionResult::Kind::Answered;
        result.outcome_ = { 200, "application/json", execution.stream_.completion(), RunState::Final };
        result.answerMessage_ = execution.stream_.message();
        ChatUsage usage = execution.stream_.usage();
        bool isReported = !execution.isCutShort_ && usage.prompt_.value_ > 0;
        result.contextTokens_ = isReported ? usage.prompt_ + usage.completion_ : execution.execute_.reserved_;
        result.used_ = result.contextTokens_;
        return result;
    }

} // namespace

struct CallRunner::Impl {
    CallRunnerOptions options_;
    HttpClient& client_;
    RequestTable& requests_;
    Post post_;
    OnResult onResult_;

    mutable std::mutex mutex_; ///< Guards the pool and the tables below.
    TargetPool pool_;
    Random random_;
    Manifest manifest_;
    std::map<DispatchId, ExecutionPtr> executions_;
    std::map<ProgramId, ExecutionPtr> byProgram_;
    DispatchId last_;

    Impl(const CallRunnerOptions& options, HttpClient& client, RequestTable& requests, Post post,
        OnResult onResult)
        : options_(options)
        , client_(client)
        , requests_(requests)
        , post_(std::move(post))
        , onResult_(std::move(onResult))
        , random_(options.seed_)
    {
        pool_.zone_ = options.zone_;
    }

    QueuedCall toQueued(const Execution& execution) const
    {
        const Call& call = execution.execute_.call_;
        QueuedCall queued;
        queued.id_ = execution.id_;
        queued.workspace_ = call.workspace_;
        queued.program_ = call.program_;
        queued.service_ = execution.frame_->service_;
        if (isModelCall(execution))
            queued.model_ = modelOf(*execution.frame_);
        queued.maxTokens_ = call.maxTokens_;
        queued.newTokens_ = { call.bodySize_.value_ };
        queued.arrived_ = monotonicNow();
        queued.avoid_ = execution.tried_;
        return queued;
    }

    // Precondition: `mutex_` is held.
    void enter(const ExecutionPtr& execution)
    {
        auto entered = enqueueCall(pool_, toQueued(*execution), monotonicNow(), random_);
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
        execution->tried_.insert(target.id_);
        execution->stream_ = ChatStream();
        HttpClient::OnData onData;
        if (isModelCall(*execution))
            onData
                = [this, execution](int status, std::string_view data) { takeData(execution, status, data); };
        execution->transfer_ = client_.start(
            std::move(call), [this, execution](HttpResult result) { sent(execution, result); }, onData);
    }

    void takeData(const ExecutionPtr& execution, int status, std::string_view data)
    {
        if (status != 200)
            return;
        std::lock_guard<std::mutex> lock(execution->mutex_);
        for (const std::string& event : execution->stream_.take(data)) {
            execution->passedOn_ += event;
            for (RequestId request : execution->requests_)
                requests_.sendEvents(request, event, execution->execute_.durableCall_);
        }
        bool isOverrun = execution->stream_.contentEvents() > execution->execute_.call_.maxTokens_;
        if (isOverrun && !execution->isCutShort_) {
            execution->isCutShort_ = true;
            client_.cancel(execution->transfer_);
        }
    }

    void sent(const ExecutionPtr& execution, const HttpResult& result)
    {
        const Call& call = execution->execute_.call_;
        observeLatency(isModelCall(*execution) ? "scheduler_engine_seconds" : "scheduler_service_seconds",
            execution->sent_.elapsed());
        logEvent("target_answered",
            { { "program", call.program_.value_ }, { "call", std::to_string(call.number_.value_) },
                { "target", execution->target_.id_.value_ }, { "status", std::to_string(result.status_) } });
        auto decided = isModelCall(*execution) ? afterModelCall(execution, result)
                                               : afterServiceCall(execution, result);
        if (decided)
            finish(execution, *decided);
    }

    // The result of the call, or nothing when it goes to another target.
    std::optional<ExecutionResult> afterModelCall(const ExecutionPtr& execution, const HttpResult& result)
    {
        std::unique_lock<std::mutex> lock(execution->mutex_);
        bool isWhole = result.fate_ == HttpResult::Fate::Answered && result.status_ == 200
            && execution->stream_.isDone();
        if (isWhole || execution->isCutShort_) {
            auto answered = modelResult(*execution);
            lock.unlock();
            dispatchOver(execution->id_, DispatchEnd::Answered);
            return answered;
        }
        bool canRepeat = execution->passedOn_.empty() && !execution->isCancelled_;
        lock.unlock();
        dispatchOver(execution->id_, endOf(result));
        if (canRepeat && tryAgain(execution))
            return std::nullopt;
        return problemResult(ExecutionResult::Kind::Failed, failure(result, canRepeat));
    }

    std::optional<ExecutionResult> afterServiceCall(const ExecutionPtr& execution, const HttpResult& result)
    {
        bool isOnce = execution->execute_.call_.kind_ == CallKind::AtMostOnceService;
        dispatchOver(execution->id_, endOf(result));
        if (result.fate_ == HttpResult::Fate::Answered && (isOnce || !isRefusal(result.status_)))
            return serviceResult(result);
        if (isOnce && result.fate_ == HttpResult::Fate::Unknown)
            return unknownResult(result.error_);
        if (tryAgain(execution))
            return std::nullopt;
        bool isNotRun = result.fate_ == HttpResult::Fate::NotSent && isOnce;
        return problemResult(
            isNotRun ? ExecutionResult::Kind::NotRun : ExecutionResult::Kind::Failed, failure(result, true));
    }

    static DispatchEnd endOf(const HttpResult& result)
    {
        switch (result.fate_) {
        case HttpResult::Fate::NotSent:
            return DispatchEnd::Unreachable;
        case HttpResult::Fate::Unknown:
            return DispatchEnd::Failed;
        case HttpResult::Fate::Answered:
            break;
        }
        if (isRefusal(result.status_))
            return DispatchEnd::Refused;
        return result.status_ >= 500 ? DispatchEnd::Failed : DispatchEnd::Answered;
    }

    static Problem failure(const HttpResult& result, bool isNothingPassedOn)
    {
        constexpr Milliseconds retryAfter { 1000 };
        bool isUnsent = result.fate_ == HttpResult::Fate::NotSent;
        std::string cause
            = result.error_.empty() ? "status " + std::to_string(result.status_) : result.error_;
        if (!isNothingPassedOn)
            return { ProblemKind::TargetTruncated, RunState::Unknown,
                "the target broke off in the middle of its answer (" + cause + "); send the call again",
                retryAfter };
        return { ProblemKind::TargetFailed, isUnsent ? RunState::NotRun : RunState::Unknown,
            "no target answered the call (" + cause + "); send it again after the time given", retryAfter };
    }

    static ExecutionResult serviceResult(const HttpResult& result)
    {
        ExecutionResult answered;
        answered.kind_ = ExecutionResult::Kind::Answered;
        auto type = result.headers_.find("content-type");
        answered.outcome_ = { result.status_, type == result.headers_.end() ? std::string() : type->second,
            result.body_, RunState::Final };
        return answered;
    }

    void dispatchOver(DispatchId id, DispatchEnd end)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        dispatchEnded(pool_, id, end, monotonicNow());
        dispatchAll();
    }

    bool tryAgain(const ExecutionPtr& execution)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::lock_guard<std::mutex> inner(execution->mutex_);
        if (execution->isCancelled_ || execution->tried_.size() >= options_.attempts_)
            return false;
        const auto& sendBefore = execution->execute_.sendBefore_;
        if (sendBefore && monotonicNow() >= *sendBefore)
            return false;
        if (!enqueueCall(pool_, toQueued(*execution), monotonicNow(), random_))
            return false;
        post_([this] { tickNow(); });
        return true;
    }

    void tickNow()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        dispatchAll();
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
        if (!execution->isLoose_) {
            onResult_(execution->execute_.call_.program_, execution->execute_.execution_, result);
            return;
        }
        RequestId request = execution->execute_.call_.request_;
        if (result.kind_ == ExecutionResult::Kind::Answered)
            requests_.sendOutcome(request, result.outcome_, {});
        else
            requests_.sendProblem(request, result.problem_);
    }

    void start(const ExecuteCall& execute, bool isLoose)
    {
        auto frame = requests_.find(execute.call_.request_);
        auto execution = std::make_shared<Execution>();
        execution->execute_ = execute;
        execution->requests_ = execute.requests_;
        execution->isLoose_ = isLoose;
        if (!frame) {
            Problem gone { ProblemKind::Internal, RunState::NotRun, "the request is gone", std::nullopt };
            auto result = problemResult(ExecutionResult::Kind::NotRun, gone);
            post_([this, execution, result] { finish(execution, result); });
            return;
        }
        execution->frame_ = frame;
        std::lock_guard<std::mutex> lock(mutex_);
        last_ += DispatchId { 1 };
        execution->id_ = last_;
        executions_[last_] = execution;
        if (!isLoose)
            byProgram_[execute.call_.program_] = execution;
        enter(execution);
    }
};

CallRunner::CallRunner(const CallRunnerOptions& options, HttpClient& client, RequestTable& requests,
    Post post, OnResult onResult)
    : impl_(std::make_unique<Impl>(options, client, requests, std::move(post), std::move(onResult)))
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

void CallRunner::runLoose(const Call& call)
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
    if (!execution->passedOn_.empty())
        impl_->requests_.sendEvents(request, execution->passedOn_, execution->execute_.durableCall_);
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

void CallRunner::releaseCache(const ProgramId& program, Epoch epoch)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    forgetProgram(impl_->pool_, program);
    for (const auto& [id, target] : impl_->manifest_.targets_) {
        if (target.models_.empty() || target.zone_ != impl_->options_.zone_)
            continue;
        impl_->client_.start(
            releaseRequest(program, epoch, target), [program, id = id](const HttpResult& result) {
                logEvent("cache_released",
                    { { "program", program.value_ }, { "target", id.value_ },
                        { "status", std::to_string(result.status_) } });
            });
    }
}

void CallRunner::tick() { impl_->tickNow(); }

PoolLoad CallRunner::load() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    PoolLoad load { impl_->pool_.queue_.size(), {} };
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
