#include "TargetStatements.h"

#include "EventLog.h"
#include "Metrics.h"

#include <fmt/format.h>

namespace fescue {

namespace {

    std::string rateText(const std::optional<RequestRate>& rate)
    {
        return rate ? fmt::format("{:.2f}", rate->value_) : "none";
    }

    bool readLeaving(
        LeavingTargets& leaving, const TargetStart& start, const AnswerTags& tags, MonotonicTime now)
    {
        if (!tags.isLeaving_ || !recordLeaving(leaving, start.target_, start.startedAt_, now))
            return false;
        static Counter leavingAnswers("targets_leaving_total", { "source", "answer" });
        leavingAnswers.add();
        logEvent("target-leaving",
            { { "target", start.target_.value_ }, { "request", tags.attempt_.value_ }, { "source", "answer" },
                { "age_ms", "0" } });
        return true;
    }

    bool takeRate(RateLimits& limits, const TargetStart& start, const RateObservation& observation,
        const LogFields& source, MonotonicTime now)
    {
        std::optional<RequestRate> before = rateOf(limits, start);
        if (!recordRate(limits, start, observation, now))
            return false;
        static Counter rateChanges("target_rate_changes_total");
        rateChanges.add();
        LogFields fields { { "target", start.target_.value_ }, { "per_second", rateText(observation.rate_) },
            { "before", rateText(before) },
            { "age_ms", std::to_string((now - observation.observedAt_).count()) } };
        fields.insert(fields.end(), source.begin(), source.end());
        logEvent("target-rate", fields);
        return true;
    }

    bool readRate(RateLimits& limits, const TargetStart& start, const AnswerTags& tags, MonotonicTime now)
    {
        // An answer of an intermediary says nothing about the target, not even that it names no limit.
        if (!tags.rateLimit_ && !tags.isStamped_ && !tags.wasNotRun_)
            return false;
        RateObservation observation { std::nullopt, now };
        if (tags.rateLimit_)
            observation.rate_ = RequestRate { *tags.rateLimit_ };
        return takeRate(
            limits, start, observation, { { "source", "answer" }, { "request", tags.attempt_.value_ } }, now);
    }

    std::vector<TargetId> logEnds(const char* event, const std::vector<EndedBelief>& ended, MonotonicTime now)
    {
        std::vector<TargetId> targets;
        targets.reserve(ended.size());
        for (const EndedBelief& end : ended) {
            logEvent(event,
                { { "target", end.target_.value_ }, { "reason", end.reason_ },
                    { "age_ms", std::to_string((now - end.belief_.since_).count()) } });
            targets.push_back(end.target_);
        }
        return targets;
    }

} // namespace

StatementChange readStatements(
    TargetStatements& statements, const TargetStart& start, const AnswerTags& tags, MonotonicTime now)
{
    if (!tags.instance_.empty() && tags.instance_ != start.target_.value_)
        return {};
    return { readLeaving(statements.leaving_, start, tags, now),
        readRate(statements.rates_, start, tags, now) };
}

bool readPeerObservation(TargetStatements& statements, const TargetStart& start,
    const RateObservation& observation, MonotonicTime now)
{
    return takeRate(statements.rates_, start, observation, { { "source", "peer" } }, now);
}

EndedStatements endStatements(TargetStatements& statements, const TargetList& list, MonotonicTime now)
{
    return { logEnds("target-leaving-ended", endBeliefs(statements.leaving_.beliefs_, list, now), now),
        logEnds("target-rate-ended", endBeliefs(statements.rates_.beliefs_, list, now), now) };
}

} // namespace fescue
