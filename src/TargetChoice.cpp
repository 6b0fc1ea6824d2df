#include "TargetChoice.h"

#include <algorithm>
#include <cmath>

namespace fescue {

namespace {

    // Completed calls from which a target's speed is used; its moving average has left the initial value by
    // then.
    constexpr std::uint32_t minSpeedSamples = 8;
    // Decay time of reports towards no load, so that calls are sent to targets whose reports are old.
    constexpr double reportDecayMs = 1000;
    constexpr double defaultCallMs = 300; // Used until a speed is known.

    // The targets that run a call which may crash them.
    std::set<TargetId> targetsOfSuspects(const TargetPool& pool, MonotonicTime now)
    {
        std::set<TargetId> targets;
        for (const auto& [id, running] : pool.running_) {
            if (isSuspect(pool.quarantine_, running.call_.digest_, now))
                targets.insert(running.target_);
        }
        return targets;
    }

    // Those that a call must not run at; none for a call that is no suspect itself.
    std::set<TargetId> forbiddenTargets(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
    {
        return isSuspect(pool.quarantine_, call.digest_, now) ? targetsOfSuspects(pool, now)
                                                              : std::set<TargetId>();
    }

    bool isFull(const TargetState& state) { return state.inFlight_ + 1 > state.window_.size_; }

    bool canRun(const TargetPool& pool, const TargetState& state, const QueuedCall& call,
        const std::set<TargetId>& forbidden, MonotonicTime now)
    {
        return acceptsNewCalls(pool, state, now) && servesCall(state.target_, call)
            && !call.avoid_.count(state.target_.id_) && !forbidden.count(state.target_.id_);
    }

    // Other zones do not report their load to this VM, so it is estimated from that of its own zone.
    double meanRunning(const TargetPool& pool)
    {
        double running = 0;
        double reporting = 0;
        for (const auto& [id, state] : pool.targets_) {
            if (!state.load_.reportedAt_)
                continue;
            running += state.load_.report_.running_;
            reporting += 1;
        }
        return reporting == 0 ? 0 : running / reporting;
    }

    Candidate candidateOf(
        const TargetPool& pool, const TargetState& state, const QueuedCall& call, double assumedRunning)
    {
        Candidate candidate { state.target_.id_ };
        TokenCount uncached = uncachedAt(pool, call, state.target_.id_);
        double answer = std::min(pool.answerTokens_, static_cast<double>(call.maxTokens_.value_));
        candidate.costMs_ = costMs(
            state.load_, uncached, answer, std::max(assumedRunning, static_cast<double>(state.inFlight_)));
        bool holdsPrefix = uncached + uncached < call.promptTokens_;
        if (!holdsPrefix)
            candidate.costMs_ *= 1 + pool.options_.placement_.migrationMargin_;
        if (state.target_.zone_ != pool.zone_)
            candidate.costMs_ += pool.options_.placement_.otherZoneMs_;
        candidate.isFull_ = isFull(state);
        if (candidate.isFull_)
            candidate.costMs_ += state.load_.speed_.callMs_ / std::max(1U, state.inFlight_);
        return candidate;
    }

    // The calls that a target runs at once: its slots, or those that it keeps busy if it gets as many calls
    // as its rate allows.
    double usableSlots(const TargetPool& pool, const TargetState& state, double callMs)
    {
        double slots = state.target_.slots_ == 0 ? pool.options_.shared_.defaultSlots_ : state.target_.slots_;
        if (!state.gate_.rate_)
            return slots;
        constexpr double msPerSecond = 1000;
        return std::clamp(state.gate_.rate_->value_ * callMs / msPerSecond, 1.0, std::max(1.0, slots));
    }

    // Means over the targets that serve a call.
    struct ServiceMeans {
        double otherVmCallsPerSlot_ = 0; ///< Calls of other VMs.
        double callMs_ = 0;
        double tokenMs_ = 0;
    };

    ServiceMeans serviceMeans(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
    {
        ServiceMeans means;
        double targetsWithSpeed = 0;
        for (const auto& [id, state] : pool.targets_) {
            if (!servesCall(state.target_, call) || state.load_.speed_.samples_ < minSpeedSamples)
                continue;
            means.callMs_ += state.load_.speed_.callMs_;
            means.tokenMs_ += state.load_.speed_.tokenMs_;
            targetsWithSpeed += 1;
        }
        means.callMs_ = targetsWithSpeed == 0 ? defaultCallMs : means.callMs_ / targetsWithSpeed;
        means.tokenMs_ /= std::max(1.0, targetsWithSpeed);
        double slots = 0;
        for (const auto& [id, state] : pool.targets_) {
            if (!servesCall(state.target_, call) || state.otherVmLoad_.reportedAt_ == MonotonicTime {})
                continue;
            means.otherVmCallsPerSlot_ += estimateOtherVmCalls(state.otherVmLoad_, 0, reportDecayMs, now);
            slots += usableSlots(pool, state, means.callMs_);
        }
        means.otherVmCallsPerSlot_ /= std::max(1.0, slots);
        return means;
    }

    SharedTarget sharedTarget(
        const TargetPool& pool, const TargetState& state, const ServiceMeans& means, MonotonicTime now)
    {
        const TargetSpeed& speed = state.load_.speed_;
        SharedTarget target;
        target.callMs_ = means.callMs_;
        if (speed.samples_ >= minSpeedSamples && means.tokenMs_ > 0)
            target.slowdown_ = speed.tokenMs_ / means.tokenMs_;
        target.slots_ = usableSlots(pool, state, target.callMs_);
        target.calls_ = state.inFlight_ + state.gate_.waiting_
            + estimateOtherVmCalls(
                state.otherVmLoad_, means.otherVmCallsPerSlot_ * target.slots_, target.callMs_, now);
        target.isOtherZone_ = state.target_.zone_ != pool.zone_;
        return target;
    }

    // The target that every VM prefers for a key: of all zones, or of the own one.
    TargetId preferredTarget(const TargetPool& pool, const QueuedCall& call, const std::string& key,
        bool isOfOwnZone, const ServiceMeans& means, const std::set<TargetId>& forbidden, MonotonicTime now)
    {
        TargetId best;
        double bestScore = 0;
        for (const auto& [id, state] : pool.targets_) {
            if ((isOfOwnZone && state.target_.zone_ != pool.zone_)
                || !canRun(pool, state, call, forbidden, now))
                continue;
            double weight = sharedTarget(pool, state, means, now).slots_;
            double score = rendezvousScore(key, id, weight);
            if (best.empty() || score > bestScore) {
                best = id;
                bestScore = score;
            }
        }
        return best;
    }

    // The target that is faster for a call than others, known or by agreement of all VMs. Programs stay in a
    // zone; the calls about an object come from all zones.
    TargetId fasterTarget(const TargetPool& pool, const QueuedCall& call, const ServiceMeans& means,
        const std::set<TargetId>& forbidden, MonotonicTime now)
    {
        if (pool.targets_.count(call.cachingTarget_))
            return call.cachingTarget_;
        if (!call.model_.empty() && !call.program_.empty())
            return preferredTarget(pool, call, call.program_.value_, true, means, forbidden, now);
        if (!call.affinityKey_.empty())
            return preferredTarget(pool, call, call.affinityKey_, false, means, forbidden, now);
        return {};
    }

    // Time until the call may get a permit for a target.
    Milliseconds permitWait(const TargetState& state, MonotonicTime now)
    {
        return isHeld(state.gate_, now) ? state.gate_.heldUntil_ - now : Milliseconds { 0 };
    }

    bool mayWaitForPermit(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
    {
        return now < call.arrived_ + pool.options_.shared_.maxPermitWait_;
    }

    Choice chooseShared(const TargetPool& pool, const QueuedCall& call, const std::set<TargetId>& forbidden,
        MonotonicTime now)
    {
        ServiceMeans means = serviceMeans(pool, call, now);
        TargetId faster = fasterTarget(pool, call, means, forbidden, now);
        bool canWaitForPermit = mayWaitForPermit(pool, call, now);
        TargetId best;
        double bestCost = 0;
        for (const auto& [id, state] : pool.targets_) {
            if (!canRun(pool, state, call, forbidden, now) || (isHeld(state.gate_, now) && !canWaitForPermit))
                continue;
            SharedTarget target = sharedTarget(pool, state, means, now);
            target.hasPromptCached_ = id == faster;
            if (isSaturated(target, pool.options_.shared_))
                continue;
            double cost = sharedCostMs(target, call.promptTokens_, pool.options_.shared_)
                + static_cast<double>(permitWait(state, now).count());
            if (best.empty() || cost < bestCost) {
                best = id;
                bestCost = cost;
            }
        }
        if (best.empty())
            return {};
        bool canPass = isOpen(pool.targets_.at(best).gate_, now);
        return { canPass ? Choice::Kind::Run : Choice::Kind::WaitForTarget, best };
    }
} // namespace

bool servesCall(const Target& target, const QueuedCall& call)
{
    if (call.version_ && target.version_ != *call.version_)
        return false;
    if (!call.service_.empty())
        return target.service_ == call.service_;
    return std::find(target.models_.begin(), target.models_.end(), call.model_) != target.models_.end();
}

bool acceptsNewCalls(const TargetPool& pool, const TargetState& state, MonotonicTime now)
{
    auto zone = pool.zones_.find(state.target_.zone_);
    if (zone != pool.zones_.end() && now < zone->second.backoffUntil_)
        return false;
    return !state.target_.isLeaving_ && now >= state.backoffUntil_
        && (state.consecutiveFailures_ < pool.options_.failuresBeforeBackoff_ || state.inFlight_ == 0);
}

bool isAcceptedByAny(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
{
    return std::any_of(pool.targets_.begin(), pool.targets_.end(), [&](const auto& entry) {
        return servesCall(entry.second.target_, call) && acceptsNewCalls(pool, entry.second, now)
            && !call.avoid_.count(entry.first);
    });
}

TokenCount uncachedAt(const TargetPool& pool, const QueuedCall& call, const TargetId& target)
{
    auto program = pool.cachedPrefixes_.find(call.program_);
    if (program == pool.cachedPrefixes_.end())
        return call.promptTokens_;
    auto prefix = program->second.find(target);
    if (prefix == program->second.end())
        return call.promptTokens_;
    return std::max(TokenCount { 0 }, call.promptTokens_ - prefix->second.tokens_);
}

Milliseconds minTimeToRun(const TargetPool& pool, const QueuedCall& call)
{
    // Half of the mean, since the length of calls varies.
    constexpr double shareOfMean = 0.5;
    double callMs = 0;
    double targets = 0;
    for (const auto& [id, state] : pool.targets_) {
        if (!servesCall(state.target_, call) || state.load_.speed_.samples_ < minSpeedSamples)
            continue;
        callMs += state.load_.speed_.callMs_;
        targets += 1;
    }
    return Milliseconds { static_cast<std::int64_t>(shareOfMean * callMs / std::max(1.0, targets)) };
}

Choice chooseTargetFor(const TargetPool& pool, const QueuedCall& call, MonotonicTime now)
{
    std::set<TargetId> forbidden = forbiddenTargets(pool, call, now);
    if (pool.options_.shared_.isEnabled_)
        return chooseShared(pool, call, forbidden, now);
    std::vector<Candidate> candidates;
    double assumedRunning = meanRunning(pool) * pool.options_.placement_.otherZoneLoad_;
    for (const auto& [id, state] : pool.targets_) {
        if (canRun(pool, state, call, forbidden, now))
            candidates.push_back(candidateOf(pool, state, call, assumedRunning));
    }
    return chooseTarget(candidates, pool.options_.placement_);
}

Choice chooseTargetFor(
    const TargetPool& pool, const QueuedCall& call, CallsWithoutRoom& withoutRoom, MonotonicTime now)
{
    if (!pool.options_.shared_.isEnabled_)
        return chooseTargetFor(pool, call, now);
    CallsWithoutRoom::Kind kind { call.service_, call.model_, call.version_, false };
    bool mayWait = mayWaitForPermit(pool, call, now);
    auto isKnown
        = [&] { return withoutRoom.waiting_.count(kind) || (!mayWait && withoutRoom.others_.count(kind)); };
    // What may use fewer targets than others of its kind finds none, either.
    if (isKnown())
        return {};
    bool mayCrash = isSuspect(pool.quarantine_, call.digest_, now);
    std::get<bool>(kind) = mayCrash;
    if (isKnown())
        return {};
    if (mayCrash && !withoutRoom.targetsOfSuspects_)
        withoutRoom.targetsOfSuspects_ = targetsOfSuspects(pool, now);
    static const std::set<TargetId> none;
    Choice choice = chooseShared(pool, call, mayCrash ? *withoutRoom.targetsOfSuspects_ : none, now);
    if (choice.kind_ == Choice::Kind::NoRoom && call.avoid_.empty())
        (mayWait ? withoutRoom.waiting_ : withoutRoom.others_).insert(std::move(kind));
    if (mayCrash && choice.kind_ == Choice::Kind::Run)
        withoutRoom.targetsOfSuspects_->insert(choice.target_);
    return choice;
}

double occupancyOf(const TargetPool& pool, const ModelId& model, MonotonicTime now)
{
    QueuedCall any;
    any.model_ = model;
    ServiceMeans means = serviceMeans(pool, any, now);
    double calls = 0;
    double slots = 0;
    for (const auto& [id, state] : pool.targets_) {
        if (!servesCall(state.target_, any) || !acceptsNewCalls(pool, state, now))
            continue;
        SharedTarget target = sharedTarget(pool, state, means, now);
        calls += target.calls_;
        slots += target.slots_;
    }
    return slots == 0 ? 0 : calls / slots;
}

} // namespace fescue
