#include "DrainPeriod.h"

#include <algorithm>

namespace fescue {

namespace {

    // The platform's load balancer checks readiness once a second and stops sending requests after two
    // failures.
    constexpr Milliseconds balancerDetectionTime { 2600 };
    // A drain may end only when no request has arrived for this long.
    constexpr Milliseconds minTimeWithoutRequests { 400 };
    // Part of the grace period that is reserved for sending the last answers and shutting down.
    constexpr Milliseconds shutdownMargin { 700 };

} // namespace

void setGrace(DrainPeriod& drain, Milliseconds grace)
{
    drain.grace_ = drain.startedAt_ ? std::min(drain.grace_, grace) : grace;
}

MonotonicTime lastAnswerAt(const DrainPeriod& drain)
{
    return *drain.startedAt_ + drain.grace_ - shutdownMargin;
}

bool endsBefore(const DrainPeriod& drain, MonotonicTime deadline)
{
    return drain.startedAt_ && deadline > lastAnswerAt(drain);
}

bool isTrafficStopped(const DrainPeriod& drain, MonotonicTime lastRequest, MonotonicTime now)
{
    return now > *drain.startedAt_ + balancerDetectionTime && now > lastRequest + minTimeWithoutRequests;
}

} // namespace fescue
