#include "ConversationPeers.h"

#include <algorithm>

namespace fescue {

std::optional<PeerEntry> firstVmFor(const PeerList& list, const std::string& key, MonotonicTime now)
{
    for (PeerEntry& peer : rankedVms(list, {}, key)) {
        if (peer.vm_ == list.own_)
            return std::nullopt;
        if (isUsable(list, peer.vm_, now))
            return std::move(peer);
    }
    return std::nullopt;
}

std::optional<PeerEntry> peerWithStore(const PeerList& list, const ZoneId& ownZone, const AttemptId& turn,
    const std::set<VmId>& asked, MonotonicTime now)
{
    std::vector<PeerEntry> ranked = rankedVms(list, {}, turn.value_);
    std::stable_partition(
        ranked.begin(), ranked.end(), [&ownZone](const PeerEntry& peer) { return peer.zone_ != ownZone; });
    auto peer = std::find_if(ranked.begin(), ranked.end(), [&](const PeerEntry& candidate) {
        return candidate.vm_ != list.own_ && !asked.count(candidate.vm_)
            && isUsable(list, candidate.vm_, now);
    });
    return peer == ranked.end() ? std::nullopt : std::optional(std::move(*peer));
}

} // namespace fescue
