#include "CallForwarderImpl.h"

namespace fescue {

// The caller may rely on a complete stream as soon as it has its end.
void CallForwarder::Impl::holdEnd(const TransferPtr& transfer)
{
    held_.insert(transfer);
    std::exchange(transfer->call_.onWhole_, nullptr)(
        transfer->relay_.data_->text(), [weak = weak_from_this(), transfer](bool isKept) {
            auto self = weak.lock();
            if (!self || self->held_.erase(transfer) == 0)
                return; // The caller has gone.
            if (isKept)
                self->finishAnswer(transfer);
            else
                self->fail(transfer, gatewayTimeout, "the turn could not be kept before its deadline");
        });
    dispatchAll();
}

} // namespace fescue
