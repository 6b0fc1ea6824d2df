#include "ServiceOccupancy.h"

#include "TargetChoice.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr double reportDecayMs = 1000; // Age at which a report counts a third of a new one.
    // A target with a long queue counts no more, so that it does not stand for others.
    constexpr double maxCallsPerSlot = 2;

} // namespace

double serviceOccupancyOf(const TargetPool& pool, const ServiceId& service, MonotonicTime now)
{
    QueuedCall any;
    any.service_ = service;
    double calls = 0;
    double slots = 0;
    for (const auto& [id, state] : pool.targets_) {
        if (!servesCall(state.target_, any) || !acceptsNewCalls(pool, state, now))
            continue;
        double slotsHere
            = state.target_.slots_ == 0 ? pool.options_.shared_.defaultSlots_ : state.target_.slots_;
        double callsHere = state.inFlight_ + estimateOtherVmCalls(state.otherVmLoad_, 0, reportDecayMs, now);
        slots += slotsHere;
        calls += std::min(callsHere, maxCallsPerSlot * slotsHere);
    }
    return slots == 0 ? 0 : calls / slots;
}

} // namespace fescue
