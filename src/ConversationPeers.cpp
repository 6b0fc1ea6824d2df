#include "ConversationPeers.h"

#include <algorithm>

namespace fescue {

std::optional<PeerEntry> firstVmFor(const PeerList& list, const std::string& key, MonotonicTime now)
{
    // Several times a turn, so without a copy of the list. Of equal ranks the first name counts, as in
    // `rankMembers`.
    const PeerEntry* first = nullptr;
    std::uint64_t firstRank = 0;
    for (const auto& [vm, peer] : list.peers_) {
        if (vm != list.own_ && !isUsable(list, vm, now))
            continue;
        std::uint64_t rank = rankOf(vm, key);
        if (!first || rank > firstRank) {
            first = &peer;
            firstRank = rank;
        }
    }
    return first && first->vm_ != list.own_ ? std::optional(*first) : std::nullopt;
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
