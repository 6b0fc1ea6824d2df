#include "ListenLog.h"

#include "EventLog.h"

namespace fescue {

namespace {

    constexpr Milliseconds logInterval { 5000 };

} // namespace

void logListenWait(ListenLog& log, const std::optional<ListenWait>& wait, MonotonicTime now)
{
    auto waitedMs = [now](const ListenWait& of) { return std::to_string((now - of.since_).count()); };
    if (log.wait_ && !wait)
        logEvent("listening", { { "address", log.wait_->address_ }, { "waited_ms", waitedMs(*log.wait_) } });
    log.wait_ = wait;
    if (!wait || now < log.nextAt_)
        return;
    log.nextAt_ = now + logInterval;
    logWarning("listen-waiting",
        "the address cannot be bound and is tried again; stop the process that listens there, assign "
        "the address to the host, or correct it",
        { { "address", wait->address_ }, { "reason", wait->reason_ }, { "waited_ms", waitedMs(*wait) } });
}

} // namespace fescue
