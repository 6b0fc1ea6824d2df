#include "StoreHealth.h"

#include "EventLog.h"

namespace fescue {

bool recordStoreOutcome(
    StoreHealth& health, bool isAnswered, const std::string& seenBy, int status, MonotonicTime now)
{
    Milliseconds outageDuration = now - health.changedAt_;
    if (!updateStoreHealth(health, isAnswered, now))
        return false;
    if (health.isUp_)
        logEvent("store-regained",
            { { "seen_by", seenBy }, { "lost_ms", std::to_string(outageDuration.count()) } });
    else
        logWarning("store-lost",
            "the platform's store does not answer; this VM keeps its configuration, targets and tokens and "
            "refuses new programs; check the store and the network path to it",
            { { "seen_by", seenBy }, { "status", std::to_string(status) } });
    return true;
}

} // namespace fescue
