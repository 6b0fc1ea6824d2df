#include "CallForwarderImpl.h"

namespace fescue {

// Refuses calls that were queued before their content was quarantined.
void CallForwarder::Impl::refuseQueuedQuarantined()
{
    if (pool_.quarantine_.quarantined_.empty())
        return;
    std::vector<TransferPtr> refused;
    for (const auto& [id, transfer] : transfers_) {
        if (transfer->isQueued_ && isQuarantined(pool_.quarantine_, transfer->digest_, bootNow()))
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
