#include "StoreHealth.h"

#include "EventLog.h"

namespace fescue {

bool noteStoreOutcome(
    StoreHealth& health, bool isAnswered, const std::string& seenBy, int status, MonotonicTime now)
{
    Milliseconds lostFor = now - health.changedAt_;
    if (!takeStoreOutcome(health, isAnswered, now))
        return false;
    if (health.isUp_)
        logEvent("store-regained", { { "seen_by", seenBy }, { "lost_ms", std::to_string(lostFor.count()) } });
    else
        logWarning("store-lost",
            "the platform's store does not answer; configuration, targets and tokens that this VM holds stay "
            "in "
            "use, new programs are refused; check the store and the path to it",
            { { "seen_by", seenBy }, { "status", std::to_string(status) } });
    return true;
}

} // namespace fescue
