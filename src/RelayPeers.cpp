#include "RelayPeers.h"

namespace fescue {

namespace {

    // Links are often lost for seconds; asking again costs one refused request.
    constexpr Milliseconds unavailableTime { 1500 };
    // The VMs of the own zone relay alone while at least one in so many of them can.
    constexpr std::size_t maxZoneVmsPerRelay = 3;

    std::uint32_t inFlightAt(const RelayPeers& relays, const VmId& vm)
    {
        auto relay = relays.find(vm);
        return relay == relays.end() ? 0 : relay->second.inFlight_;
    }

    // The less busy one of two random candidates, so that VMs in the same state do not choose the same peer.
    PeerEntry pickOne(const RelayPeers& relays, const std::vector<PeerEntry>& candidates, Random& random)
    {
        std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
        const PeerEntry& first = candidates[pick(random)];
        const PeerEntry& second = candidates[pick(random)];
        return inFlightAt(relays, second.vm_) < inFlightAt(relays, first.vm_) ? second : first;
    }

} // namespace

void recordRelayUnavailable(RelayPeers& relays, const VmId& peer, MonotonicTime now)
{
    relays[peer].unavailableUntil_ = now + unavailableTime;
}

std::optional<PeerEntry> chooseRelay(const RelayPeers& relays, const PeerList& list, const ZoneId& zone,
    const std::set<VmId>& tried, MonotonicTime now, Random& random)
{
    std::vector<PeerEntry> inZone;
    std::vector<PeerEntry> all;
    std::size_t zoneVms = 0;
    for (const auto& [vm, peer] : list.peers_) {
        zoneVms += peer.zone_ == zone ? 1 : 0;
        auto relay = relays.find(vm);
        bool isUnavailable = relay != relays.end() && now < relay->second.unavailableUntil_;
        if (vm == list.own_ || tried.count(vm) || isUnavailable || !isUsable(list, vm, now))
            continue;
        all.push_back(peer);
        if (peer.zone_ == zone)
            inZone.push_back(peer);
    }
    if (!inZone.empty() && inZone.size() * maxZoneVmsPerRelay >= zoneVms)
        return pickOne(relays, inZone, random);
    if (!all.empty())
        return pickOne(relays, all, random);
    return std::nullopt;
}

} // namespace fescue
