#include "CallForwarderImpl.h"

#include <algorithm>

namespace fescue {

// Whether another request with the same content is at a target.
bool CallForwarder::Impl::runsBesideItself(const TransferPtr& transfer) const
{
    return std::any_of(transfers_.begin(), transfers_.end(), [&](const auto& entry) {
        const TransferPtr& other = entry.second;
        return other != transfer && !other->isQueued_ && !other->isFinished_
            && other->digest_ == transfer->digest_;
    });
}

// Refuses calls that were queued before their content was quarantined.
void CallForwarder::Impl::refuseQueuedQuarantined()
{
    if (pool_.quarantine_.quarantined_.empty())
        return;
    std::vector<TransferPtr> refused;
    for (const auto& [id, transfer] : transfers_) {
        if (transfer->isQueued_ && !transfer->isOnTrial_
            && isQuarantined(pool_.quarantine_, transfer->digest_, bootNow()))
            refused.push_back(transfer);
    }
    for (const TransferPtr& transfer : refused) {
        // The end of one request may begin another, and with it send any that wait.
        if (transfer->isFinished_ || !transfer->isQueued_)
            continue;
        cancelTransfer(transfer);
        refuseQuarantined(transfer);
    }
}

} // namespace fescue
