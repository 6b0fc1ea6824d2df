#include "LinkWatch.h"

#include "BootClock.h"
#include "EventLog.h"
#include "Metrics.h"

namespace fescue {

namespace {

    // A connection costs the target little, and one that succeeds is kept for requests.
    constexpr Milliseconds probeInterval { 400 };

} // namespace

LinkWatch::LinkWatch(OutboundPool& outbound, const KnownTargets& targets, const ZoneId& zone, Random& random)
    : outbound_(outbound)
    , targets_(targets)
    , random_(random)
    , self_(std::make_shared<LinkWatch*>(this))
{
    health_.zone_ = zone;
}

void LinkWatch::setTargets(const TargetList& list)
{
    health_.targets_.clear();
    for (const auto& [id, entry] : list.entries_)
        health_.targets_[id] = entry.zone_;
}

void LinkWatch::recordFailure(const TargetId& target, const char* reason)
{
    if (!recordLinkFailure(health_, target, bootNow()))
        return;
    static Counter lost("links_lost_total");
    lost.add();
    nextProbeAt_ = bootNow() + probeInterval;
    logEvent("links-lost",
        { { "target", target.value_ }, { "reason", reason },
            { "targets_failed", std::to_string(health_.failures_.size()) },
            { "targets", std::to_string(health_.targets_.size()) } });
}

void LinkWatch::recordConnected(const TargetId& target)
{
    MonotonicTime since = health_.changedAt_;
    if (recordLink(health_, bootNow()))
        logEvent("links-back",
            { { "target", target.value_ }, { "lost_ms", std::to_string((bootNow() - since).count()) } });
}

void LinkWatch::tick(MonotonicTime now)
{
    if (!health_.isStranded_ || now < nextProbeAt_)
        return;
    nextProbeAt_ = now + probeInterval;
    probe();
}

void LinkWatch::probe()
{
    if (health_.targets_.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, health_.targets_.size() - 1);
    const TargetId& target
        = std::next(health_.targets_.begin(), static_cast<std::ptrdiff_t>(pick(random_)))->first;
    auto address = targets_.addressOf(target);
    if (!address)
        return;
    outbound_.probe(*address, [weak = std::weak_ptr<LinkWatch*>(self_), target = target](bool isConnected) {
        auto self = weak.lock();
        if (self && isConnected)
            (*self)->recordConnected(target);
    });
}

} // namespace fescue
