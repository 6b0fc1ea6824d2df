#include "OriginHolders.h"

#include <algorithm>
#include <map>

namespace fescue {

namespace {

    /** How many VMs to select. */
    struct Spread {
        std::size_t inOwnZone_; ///< Selected first; more of them only if the other zones have too few.
        std::size_t total_;
    };

    // Callers rarely change their zone, so a search mostly ends at a copy in the own zone. The others outlive
    // the zone. With six copies, half of the streams are still known when eight of nine VMs are lost.
    constexpr Spread holders { 2, 6 };
    // More than there are copies, since VMs may have left, come or failed since the copies were sent.
    constexpr Spread asked { 3, 12 };

    // The zones other than `own` in the order of their ranks for a key.
    std::vector<ZoneId> rankedZones(const PeerList& list, const ZoneId& own, const std::string& key)
    {
        std::map<ZoneId, std::uint64_t> ranks;
        for (const auto& [vm, peer] : list.peers_) {
            if (peer.zone_ != own)
                ranks.emplace(peer.zone_, rankOf(VmId { peer.zone_.value_ }, key));
        }
        std::vector<ZoneId> zones;
        zones.reserve(ranks.size());
        for (const auto& [zone, rank] : ranks)
            zones.push_back(zone);
        std::stable_sort(zones.begin(), zones.end(),
            [&ranks](const ZoneId& a, const ZoneId& b) { return ranks[a] > ranks[b]; });
        return zones;
    }

    // The usable peers of the other zones: the first one of each zone, then the second ones, and so on.
    std::vector<PeerEntry> peersElsewhere(
        const PeerList& list, const ZoneId& own, const std::string& key, std::size_t count, MonotonicTime now)
    {
        std::vector<std::vector<PeerEntry>> byZone;
        for (const ZoneId& zone : rankedZones(list, own, key))
            byZone.push_back(peersFor(list, zone, key, count, now));
        std::vector<PeerEntry> peers;
        for (std::size_t rank = 0; rank < count; ++rank) {
            for (const std::vector<PeerEntry>& ofZone : byZone) {
                if (rank < ofZone.size() && peers.size() < count)
                    peers.push_back(ofZone[rank]);
            }
        }
        return peers;
    }

    std::vector<PeerEntry> select(const PeerList& list, const ZoneId& zone, const AttemptId& attempt,
        const Spread& spread, MonotonicTime now)
    {
        std::vector<PeerEntry> inZone = peersFor(list, zone, attempt.value_, spread.total_, now);
        std::size_t first = std::min(spread.inOwnZone_, inZone.size());
        std::vector<PeerEntry> elsewhere
            = peersElsewhere(list, zone, attempt.value_, spread.total_ - first, now);
        std::size_t own = std::min(inZone.size(), spread.total_ - elsewhere.size());
        std::vector<PeerEntry> peers(inZone.begin(), inZone.begin() + static_cast<std::ptrdiff_t>(own));
        peers.insert(peers.end(), elsewhere.begin(), elsewhere.end());
        return peers;
    }

} // namespace

std::vector<PeerEntry> originHolders(
    const PeerList& list, const ZoneId& zone, const AttemptId& attempt, MonotonicTime now)
{
    return select(list, zone, attempt, holders, now);
}

std::vector<PeerEntry> originPeersToAsk(
    const PeerList& list, const ZoneId& zone, const AttemptId& attempt, MonotonicTime now)
{
    return select(list, zone, attempt, asked, now);
}

} // namespace fescue
