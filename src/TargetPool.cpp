#include "TargetPool.h"

#include "QueueWait.h"
#include "TargetChoice.h"

#include <algorithm>
#include <fmt/format.h>

namespace fescue {

namespace {

    constexpr Milliseconds initialBackoff { 250 };
    constexpr Milliseconds minRetryAfter { 500 };
    constexpr Milliseconds maxRetryAfter { 30000 };

    bool isServedByAny(const TargetPool& pool, const QueuedCall& call)
    {
        return std::any_of(pool.targets_.begin(), pool.targets_.end(), [&call](const auto& entry) {
            return !entry.second.target_.isLeaving_ && servesCall(entry.second.target_, call)
                && !call.avoid_.count(entry.first);
        });
    }

    bool isFull(const TargetState& state) { return state.inFlight_ + 1 > state.window_.size_; }

    bool hasRoom(const TargetPool& pool, MonotonicTime now)
    {
        return std::any_of(pool.targets_.begin(), pool.targets_.end(), [&pool, now](const auto& entry) {
            return acceptsNewCalls(pool, entry.second, now)
                && (pool.options_.shared_.isEnabled_ || !isFull(entry.second));
        });
    }

    bool hasEnough(const PoolOptions& options, const std::vector<Dispatch>& dispatches)
    {
        return options.maxDispatchesAtOnce_ > 0 && dispatches.size() >= options.maxDispatchesAtOnce_;
    }

    // Full jitter (Brooker, "Exponential Backoff And Jitter", 2015).
    template <typename State>
    void backOff(State& state, Milliseconds maxBackoff, MonotonicTime now, Random& random)
    {
        constexpr std::uint32_t maxDoublings = 6;
        auto doublings = std::min(state.consecutiveFailures_, maxDoublings);
        ++state.consecutiveFailures_;
        auto maxDelay = std::min(initialBackoff * (1 << doublings), maxBackoff);
        std::uniform_int_distribution<std::int64_t> jitter(maxDelay.count() / 4, maxDelay.count());
        state.backoffUntil_ = now + Milliseconds { jitter(random) };
    }

    Problem makeRefusal(ProblemKind kind, const std::string& detail, Milliseconds wait, Random& random)
    {
        auto middle = std::clamp(wait, 2 * minRetryAfter, maxRetryAfter);
        std::uniform_int_distribution<std::int64_t> jitter(middle.count() / 2, middle.count() * 3 / 2);
        return { kind, RunState::NotRun, detail, Milliseconds { jitter(random) } };
    }

    bool isQueueFull(const TargetPool& pool, const QueuedCall& call)
    {
        return pool.queue_.calls_.size() >= pool.options_.maxQueuedCalls_
            || pool.queue_.bytes_ + call.bytes_ > pool.options_.maxQueuedBytes_;
    }

    bool isWaitTooLong(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
    {
        bool isNew = !pool.queue_.attained_.count(call.program_);
        if (isNew && expectedWaitAtEnd(pool, call, now) > pool.options_.maxWaitForNewProgram_)
            return true;
        return expectedWait(pool, call, now) > pool.options_.maxWait_;
    }

    void updateEstimates(TargetPool& pool, TargetState& state, const RunningDispatch& ended,
        const DispatchResult& result, MonotonicTime now)
    {
        constexpr double answerLengthWeight = 0.02;
        SpeedSample sample;
        sample.total_ = now - ended.sentAt_;
        if (ended.call_.model_.empty()) {
            updateSpeed(state.load_, sample, state.inFlight_);
            return;
        }
        sample.firstOutput_ = ended.firstOutputAt_.value_or(now) - ended.sentAt_;
        sample.computed_ = std::max(TokenCount { 0 }, result.prompt_ - result.cached_);
        sample.completion_ = result.completion_;
        Milliseconds queueing = updateSpeed(state.load_, sample, state.inFlight_);
        if (state.load_.report_.waiting_ == 0)
            adaptWindow(state.window_, queueing, state.inFlight_ + 1, now, pool.options_.window_);
        pool.answerTokens_
            += answerLengthWeight * (static_cast<double>(result.completion_.value_) - pool.answerTokens_);
        const TargetSpeed& speed = state.load_.speed_;
        double engineMs = static_cast<double>(sample.computed_.value_) * speed.prefillMs_
            + static_cast<double>(result.completion_.value_) * speed.tokenMs_;
        chargeService(pool.queue_, ended.call_, engineMs, now);
        if (!ended.call_.program_.empty() && result.prompt_.value_ > 0)
            pool.cachedPrefixes_[ended.call_.program_][ended.target_]
                = { result.prompt_ + result.completion_, now, ended.call_.epoch_ };
        if (pool.options_.tracksCrashes_)
            clearCrashes(pool.quarantine_, ended.call_.digest_);
    }

    void forgetCachedPrefix(TargetPool& pool, const ProgramId& program, const TargetId& target)
    {
        auto found = pool.cachedPrefixes_.find(program);
        if (found != pool.cachedPrefixes_.end())
            found->second.erase(target);
    }

    void touchCachedPrefix(
        TargetPool& pool, const ProgramId& program, const TargetId& target, MonotonicTime now)
    {
        auto found = pool.cachedPrefixes_.find(program);
        if (found == pool.cachedPrefixes_.end())
            return;
        auto prefix = found->second.find(target);
        if (prefix != found->second.end())
            prefix->second.usedAt_ = now;
    }

} // namespace

void setTargets(TargetPool& pool, const Manifest& manifest)
{
    std::map<TargetId, TargetState> next;
    for (const auto& [id, target] : manifest.targets_) {
        auto known = pool.targets_.find(id);
        if (known != pool.targets_.end())
            next[id] = known->second;
        next[id].target_ = target;
        next[id].inFlight_ = 0;
    }
    pool.targets_ = std::move(next);
    // A target may have been removed and added again while its calls were in flight.
    for (const auto& [id, running] : pool.running_) {
        auto target = pool.targets_.find(running.target_);
        if (target != pool.targets_.end())
            ++target->second.inFlight_;
    }
    pool.queue_.weights_.clear();
    for (const auto& [id, workspace] : manifest.workspaces_)
        pool.queue_.weights_[id] = workspace.weight_;
}

tl::expected<void, Problem> enqueueCall(TargetPool& pool, QueuedCall call, MonotonicTime now, Random& random)
{
    if (!call.isOnTrial_ && isQuarantined(pool.quarantine_, call.digest_, now))
        return tl::make_unexpected(Problem { ProblemKind::Quarantined, RunState::Unknown,
            "each target that ran this request crashed; change its content", std::nullopt });
    if (call.deadline_ && now >= *call.deadline_)
        return tl::make_unexpected(Problem { ProblemKind::DeadlineExceeded, RunState::NotRun,
            "the deadline of the call has passed; allow the call more time", std::nullopt });
    if (!isServedByAny(pool, call))
        return tl::make_unexpected(makeRefusal(ProblemKind::NoTarget,
            "no target serves this call; check the pools of the manifest", minRetryAfter, random));
    call.minDuration_ = minTimeToRun(pool, call);
    bool wouldMissDeadline = call.deadline_ && now + expectedWait(pool, call, now) > *call.deadline_;
    if (isQueueFull(pool, call) || wouldMissDeadline || isWaitTooLong(pool, call, now))
        return tl::make_unexpected(makeRefusal(ProblemKind::Overloaded,
            "all targets are busy and the expected wait is too long; retry the call after the Retry-After "
            "time",
            expectedWaitAtEnd(pool, call, now), random));
    pushCall(pool.queue_, std::move(call));
    return {};
}

std::vector<Dispatch> nextDispatches(TargetPool& pool, MonotonicTime now, Random&)
{
    std::vector<Dispatch> dispatches;
    for (auto& [id, state] : pool.targets_)
        state.gate_.waiting_ = 0;
    if (pool.queue_.calls_.empty() || !hasRoom(pool, now))
        return dispatches;
    if (pool.options_.ordersByProgram_)
        orderCalls(pool.queue_, now);
    auto& calls = pool.queue_.calls_;
    // A version may have few targets left, and calls that are bound to it cannot run elsewhere.
    std::stable_partition(
        calls.begin(), calls.end(), [](const QueuedCall& call) { return call.version_.has_value(); });
    CallsWithoutRoom withoutRoom;
    for (auto call = calls.begin(); call != calls.end();) {
        if (hasEnough(pool.options_, dispatches))
            return dispatches;
        Choice choice = chooseTargetFor(pool, *call, withoutRoom, now);
        if (choice.kind_ != Choice::Kind::Run) {
            if (choice.kind_ == Choice::Kind::WaitForTarget)
                ++pool.targets_[choice.target_].gate_.waiting_;
            ++call;
            continue;
        }
        TargetState& state = pool.targets_[choice.target_];
        if (state.inFlight_ == 0)
            state.lastOutput_ = now;
        ++state.inFlight_;
        passGate(state.gate_);
        TokenCount uncached = uncachedAt(pool, *call, choice.target_);
        Milliseconds expected { static_cast<std::int64_t>(firstTokenMs(state.load_, uncached)) };
        recordSentCall(state.load_, uncached, now);
        touchCachedPrefix(pool, call->program_, choice.target_, now);
        recordDispatch(pool.queue_, *call, now);
        dispatches.push_back({ call->id_, state.target_ });
        pool.queue_.bytes_ -= call->bytes_;
        pool.running_[call->id_] = { std::move(*call), choice.target_, now, expected, std::nullopt };
        call = calls.erase(call);
    }
    return dispatches;
}

void recordOutput(TargetPool& pool, DispatchId id, MonotonicTime now)
{
    auto running = pool.running_.find(id);
    if (running == pool.running_.end())
        return;
    if (!running->second.firstOutputAt_)
        running->second.firstOutputAt_ = now;
    auto target = pool.targets_.find(running->second.target_);
    if (target != pool.targets_.end())
        target->second.lastOutput_ = now;
}

void completeDispatch(
    TargetPool& pool, DispatchId id, const DispatchResult& result, MonotonicTime now, Random& random)
{
    auto running = pool.running_.find(id);
    if (running == pool.running_.end())
        return;
    RunningDispatch ended = std::move(running->second);
    pool.running_.erase(running);
    auto target = pool.targets_.find(ended.target_);
    if (target == pool.targets_.end())
        return;
    TargetState& state = target->second;
    --state.inFlight_;
    if (result.outcome_ == DispatchOutcome::Answered) {
        state.consecutiveFailures_ = 0;
        pool.zones_.erase(state.target_.zone_);
        state.lastOutput_ = now;
        depositRetry(pool.retries_);
        updateEstimates(pool, state, ended, result, now);
        return;
    }
    if (result.outcome_ == DispatchOutcome::Cancelled)
        return;
    if (result.outcome_ == DispatchOutcome::ConnectionLost && pool.options_.tracksCrashes_)
        recordCrash(pool.quarantine_, ended.call_.digest_, now);
    if (result.outcome_ == DispatchOutcome::ConnectionLost || result.outcome_ == DispatchOutcome::Unreachable)
        forgetCachedPrefix(pool, ended.call_.program_, ended.target_);
    if (result.outcome_ == DispatchOutcome::Refused && pool.options_.shared_.isEnabled_)
        return; // The target is full; its load report already says so.
    const PoolOptions& options = pool.options_;
    bool isUnreachable = result.outcome_ == DispatchOutcome::Unreachable;
    if (isUnreachable || state.consecutiveFailures_ + 1 >= options.failuresBeforeBackoff_)
        backOff(state, options.maxBackoff_, now, random);
    else
        ++state.consecutiveFailures_;
    if (isUnreachable)
        state.consecutiveFailures_ = std::max(state.consecutiveFailures_, options.failuresBeforeBackoff_);
    if (isUnreachable && options.backsOffWholeZone_ && state.target_.zone_ != pool.zone_)
        backOff(pool.zones_[state.target_.zone_], options.maxBackoff_, now, random);
}

void setRate(TargetPool& pool, const TargetId& target, const std::optional<RequestRate>& rate)
{
    auto found = pool.targets_.find(target);
    if (found != pool.targets_.end())
        setRate(found->second.gate_, rate);
}

std::map<TargetId, std::uint32_t> takeWantedPermits(TargetPool& pool, MonotonicTime now)
{
    std::map<TargetId, std::uint32_t> wanted;
    for (auto& [id, state] : pool.targets_) {
        if (state.gate_.waiting_ == 0 || state.gate_.isAsked_ || isHeld(state.gate_, now))
            continue;
        wanted[id] = state.gate_.waiting_;
        state.gate_.isAsked_ = true;
    }
    return wanted;
}

void addPermits(TargetPool& pool, const TargetId& target, std::uint32_t granted, Milliseconds retryAfter,
    const std::optional<RequestRate>& expected, MonotonicTime now)
{
    auto found = pool.targets_.find(target);
    if (found != pool.targets_.end())
        addPermits(found->second.gate_, granted, retryAfter, expected, now);
}

void setLeaving(TargetPool& pool, const TargetId& target, bool isLeaving)
{
    auto found = pool.targets_.find(target);
    if (found != pool.targets_.end())
        found->second.target_.isLeaving_ = isLeaving;
}

bool acceptsCalls(const TargetPool& pool, const TargetId& target)
{
    auto found = pool.targets_.find(target);
    return found != pool.targets_.end() && !found->second.target_.isLeaving_;
}

std::vector<DispatchId> removeUnserved(TargetPool& pool)
{
    std::vector<DispatchId> unserved;
    for (const QueuedCall& call : pool.queue_.calls_) {
        if (!isServedByAny(pool, call))
            unserved.push_back(call.id_);
    }
    for (DispatchId id : unserved)
        removeQueued(pool, id);
    return unserved;
}

bool tryConsumeRetry(TargetPool& pool) { return withdrawRetry(pool.retries_); }

void recordLoadReport(TargetPool& pool, const TargetId& target, const LoadReport& report, MonotonicTime now)
{
    auto found = pool.targets_.find(target);
    if (found == pool.targets_.end())
        return;
    recordReport(found->second.load_, report, now);
    double all = report.running_ + report.waiting_;
    found->second.otherVmLoad_ = { std::max(0.0, all - found->second.inFlight_), now };
    if (report.waiting_ > report.running_ * pool.options_.maxWaitingShare_)
        shrinkWindow(found->second.window_, now, pool.options_.window_);
}

std::string describeLoad(const TargetPool& pool, const TargetId& target, MonotonicTime now)
{
    auto found = pool.targets_.find(target);
    if (found == pool.targets_.end())
        return "unknown";
    const TargetState& state = found->second;
    const TargetLoad& load = state.load_;
    std::string age = load.reportedAt_ ? std::to_string((now - *load.reportedAt_).count()) : "never";
    return fmt::format("own {} window {:.1f} running {} waiting {} age_ms {}", state.inFlight_,
        state.window_.size_, load.report_.running_, load.report_.waiting_, age);
}

void recordEviction(TargetPool& pool, const ProgramId& program, const TargetId& target, MonotonicTime now)
{
    constexpr Milliseconds maxEventLag { 5000 };
    auto found = pool.cachedPrefixes_.find(program);
    if (found == pool.cachedPrefixes_.end())
        return;
    auto prefix = found->second.find(target);
    if (prefix != found->second.end() && prefix->second.usedAt_ + maxEventLag < now)
        found->second.erase(prefix);
}

std::vector<DispatchId> hungDispatches(const TargetPool& pool, MonotonicTime now)
{
    std::vector<DispatchId> overdue;
    for (const auto& [id, running] : pool.running_) {
        auto target = pool.targets_.find(running.target_);
        if (target == pool.targets_.end() || running.call_.model_.empty())
            continue;
        auto lastActivity = std::max(running.sentAt_, target->second.lastOutput_);
        constexpr int expectedTimeFactor = 3;
        if (now
            > lastActivity + pool.options_.hangTimeout_ + expectedTimeFactor * running.expectedFirstToken_)
            overdue.push_back(id);
    }
    return overdue;
}

std::vector<DispatchId> removeHopeless(TargetPool& pool, MonotonicTime now)
{
    std::vector<DispatchId> hopeless = hopelessCalls(pool, now);
    for (DispatchId id : hopeless)
        removeQueued(pool, id);
    return hopeless;
}

std::vector<DispatchId> removeExpired(TargetPool& pool, MonotonicTime now)
{
    std::vector<DispatchId> expired;
    for (const QueuedCall& call : pool.queue_.calls_) {
        if (call.deadline_ && now >= *call.deadline_)
            expired.push_back(call.id_);
    }
    for (DispatchId id : expired)
        removeQueued(pool, id);
    return expired;
}

std::vector<StalePrefix> removeStalePrefixes(TargetPool& pool, MonotonicTime now)
{
    std::vector<StalePrefix> stale;
    if (!pool.options_.releasesStalePrefixes_)
        return stale;
    MonotonicTime oldest = now - pool.options_.prefixIdleTimeout_;
    evictIdlePrograms(pool.queue_, oldest);
    for (auto program = pool.cachedPrefixes_.begin(); program != pool.cachedPrefixes_.end();) {
        MonotonicTime newest;
        for (const auto& [target, prefix] : program->second)
            newest = std::max(newest, prefix.usedAt_);
        for (auto prefix = program->second.begin(); prefix != program->second.end();) {
            if (prefix->second.usedAt_ == newest && newest > oldest) {
                ++prefix;
                continue;
            }
            stale.push_back({ program->first, prefix->first, prefix->second.epoch_ });
            prefix = program->second.erase(prefix);
        }
        program = program->second.empty() ? pool.cachedPrefixes_.erase(program) : std::next(program);
    }
    return stale;
}

bool removeQueued(TargetPool& pool, DispatchId id)
{
    auto& calls = pool.queue_.calls_;
    auto found
        = std::find_if(calls.begin(), calls.end(), [id](const QueuedCall& call) { return call.id_ == id; });
    if (found == calls.end())
        return false;
    pool.queue_.bytes_ -= found->bytes_;
    calls.erase(found);
    return true;
}

void forgetProgram(TargetPool& pool, const ProgramId& program)
{
    pool.cachedPrefixes_.erase(program);
    pool.queue_.attained_.erase(program);
}

} // namespace fescue
