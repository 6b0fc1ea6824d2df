#include "AdmissionWindow.h"

#include <algorithm>

namespace fescue {

void adaptWindow(AdmissionWindow& window, Milliseconds queueing, std::uint32_t inFlight, MonotonicTime now,
    const WindowLimits& limits)
{
    if (queueing > limits.maxQueueing_)
        return shrinkWindow(window, now, limits);
    if (inFlight + 1 < window.size_)
        return;
    window.size_ = std::min(limits.max_, window.size_ + 1 / window.size_);
}

void shrinkWindow(AdmissionWindow& window, MonotonicTime now, const WindowLimits& limits)
{
    if (now < window.shrunkAt_ + limits.shrinkInterval_)
        return;
    window.shrunkAt_ = now;
    window.size_ = std::max(limits.min_, window.size_ * limits.shrinkFactor_);
}

} // namespace fescue
