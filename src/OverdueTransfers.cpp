#include "CallForwarderImpl.h"

#include <algorithm>

namespace fescue {

void CallForwarder::Impl::endOverdue(MonotonicTime now)
{
    std::map<ServiceId, Milliseconds> timeToRun;
    std::vector<TransferPtr> overdue;
    for (const auto& [id, transfer] : transfers_) {
        const ForwardedCall& call = transfer->call_;
        auto [needed, isNew] = timeToRun.emplace(call.service_.id_, 0);
        if (isNew)
            needed->second = minTimeToRun(pool_, toQueuedCall(call));
        MonotonicTime end = std::min(call.deadline_, lastAnswerAt_.value_or(call.deadline_));
        bool isTooLate = now + (transfer->isQueued_ ? needed->second : Milliseconds { 0 }) >= end;
        if (isTooLate)
            overdue.push_back(transfer);
    }
    for (const TransferPtr& transfer : overdue) {
        if (transfer->isFinished_)
            continue;
        bool wasSent = !transfer->isQueued_;
        bool isEndedByVm = lastAnswerAt_ && transfer->call_.deadline_ > *lastAnswerAt_;
        cancelTransfer(transfer);
        if (wasSent || transfer->possibleRuns_ > 0)
            fail(transfer, gatewayTimeout,
                isEndedByVm ? endsTooSoon : "deadline exceeded while the request was in flight");
        else if (isEndedByVm)
            refuse(transfer, endsTooSoon, retryAfterShutdown);
        else
            refuse(transfer, "no target had a free slot in time for the deadline", retryAfterFailure);
    }
}

} // namespace fescue
