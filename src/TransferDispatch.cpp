#include "CallForwarderImpl.h"

#include <asio/post.hpp>
#include <utility>

namespace fescue {

void CallForwarder::Impl::dispatchAll()
{
    auto dispatches = nextDispatches(pool_, bootNow(), random_);
    if (dispatches.size() == maxDispatchesAtOnce)
        continueDispatch();
    for (const Dispatch& dispatch : dispatches) {
        auto found = transfers_.find(dispatch.id_);
        if (found != transfers_.end())
            send(found->second, dispatch.target_);
    }
    targets_.requestPermits();
}

// After everything else that is due has run.
void CallForwarder::Impl::continueDispatch()
{
    if (std::exchange(isDispatchDue_, true))
        return;
    asio::post(io_, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (!self)
            return;
        self->isDispatchDue_ = false;
        self->dispatchAll();
    });
}

} // namespace fescue
