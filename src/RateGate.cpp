#include "RateGate.h"

#include "RatePermits.h"

#include <algorithm>

namespace fescue {

namespace {

    constexpr Milliseconds permitLifetime { 300 };

} // namespace

void setRate(RateGate& gate, const std::optional<RequestRate>& rate)
{
    if (rate) {
        gate.rate_ = rate;
        return;
    }
    bool isAsked = gate.isAsked_;
    gate = {};
    gate.isAsked_ = isAsked;
}

bool isOpen(const RateGate& gate, MonotonicTime now)
{
    return !gate.rate_ || (gate.permits_ > 0 && now < gate.permitsExpireAt_);
}

bool isHeld(const RateGate& gate, MonotonicTime now) { return !isOpen(gate, now) && now < gate.heldUntil_; }

void passGate(RateGate& gate)
{
    if (gate.rate_)
        --gate.permits_;
}

void addPermits(RateGate& gate, std::uint32_t granted, Milliseconds retryAfter,
    const std::optional<RequestRate>& expected, MonotonicTime now)
{
    gate.isAsked_ = false;
    if (!gate.rate_)
        return;
    gate.permits_ = (isOpen(gate, now) ? gate.permits_ : 0) + granted;
    gate.permitsExpireAt_ = now + permitLifetime;
    gate.heldUntil_ = now + (granted > 0 ? retryAfter : std::max(retryAfter, minRetryAfter));
    gate.expected_ = expected;
}

} // namespace fescue
