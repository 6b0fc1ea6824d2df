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

    bool readRate(RateLimits& limits, const TargetStart& start, const AnswerTags& tags, MonotonicTime now)
    {
        // An answer of an intermediary says nothing about the target, not even that it names no limit.
        if (!tags.rateLimit_ && !tags.isStamped_ && !tags.wasNotRun_)
            return false;
        std::optional<RequestRate> rate;
        if (tags.rateLimit_)
            rate = RequestRate { *tags.rateLimit_ };
        std::optional<RequestRate> before = rateOf(limits, start.target_, start.startedAt_);
        if (!recordRate(limits, start.target_, start.startedAt_, rate, now))
            return false;
        static Counter rateChanges("target_rate_changes_total");
        rateChanges.add();
        logEvent("target-rate",
            { { "target", start.target_.value_ }, { "request", tags.attempt_.value_ },
                { "per_second", rateText(rate) }, { "before", rateText(before) }, { "source", "answer" } });
        return true;
    }

    void logEnds(const char* event, const std::vector<EndedBelief>& ended, MonotonicTime now)
    {
        for (const EndedBelief& end : ended)
            logEvent(event,
                { { "target", end.target_.value_ }, { "reason", end.reason_ },
                    { "age_ms", std::to_string((now - end.belief_.since_).count()) } });
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

void endStatements(TargetStatements& statements, const TargetList& list, MonotonicTime now)
{
    logEnds("target-leaving-ended", endBeliefs(statements.leaving_.beliefs_, list, now), now);
    logEnds("target-rate-ended", endBeliefs(statements.rates_.beliefs_, list, now), now);
}

} // namespace fescue
