#include "CrashWatch.h"

namespace fescue {

namespace {

    // The ends of all connections of a process arrive within this time of each other.
    constexpr Milliseconds connectionEndSpread { 100 };
    // Longest time from the sending of a heartbeat until a read shows it here: it may reach the store late,
    // and a read may take as long as its timeout.
    constexpr Milliseconds maxHeartbeatDelay { 1500 };
    // Without a heartbeat for this long, the process is taken to have ended. A store outage may last as long.
    constexpr Milliseconds maxWatchTime { 30000 };

} // namespace

bool isSettled(const EndedConnection& ended, MonotonicTime now)
{
    return now >= ended.at_ + connectionEndSpread;
}

ProcessState judgeProcess(
    EndedConnection& ended, bool hasOlderConnection, const TargetList& targets, MonotonicTime now)
{
    if (!isSettled(ended, now))
        return ProcessState::Unknown;
    if (!ended.isRecorded_ && hasOlderConnection)
        return ProcessState::Running;
    if (now > ended.at_ + maxWatchTime)
        return ProcessState::Ended;
    if (targets.readAt_ < ended.at_ + maxHeartbeatDelay)
        return ProcessState::PossiblyEnded;
    auto entry = targets.entries_.find(ended.target_);
    if (entry == targets.entries_.end() || entry->second.startedAt_ != ended.targetStartedAt_)
        return ProcessState::Ended;
    if (!ended.heartbeat_)
        ended.heartbeat_ = entry->second.heartbeat_;
    return entry->second.heartbeat_ > *ended.heartbeat_ ? ProcessState::Running : ProcessState::PossiblyEnded;
}

CrashId crashIdOf(const EndedConnection& ended)
{
    return { ended.target_.value_ + "@" + std::to_string(ended.targetStartedAt_.count()) };
}

} // namespace fescue
