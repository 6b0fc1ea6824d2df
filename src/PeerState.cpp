#include "PeerState.h"

#include <algorithm>

namespace fescue {

namespace {

    Peer& findOrAddPeer(PeerTable& table, const VmId& vm, MonotonicTime now)
    {
        auto [found, isNew] = table.peers_.try_emplace(vm);
        if (isNew)
            found->second.addedAt_ = now;
        return found->second;
    }

    template <typename List, typename Value> bool contains(const List& list, const Value& value)
    {
        return std::find(list.begin(), list.end(), value) != list.end();
    }

    // Whether at least half of the other reachable peers announce that they cannot reach `vm`.
    bool isConfirmedByPeers(const PeerTable& table, const VmId& vm, MonotonicTime now)
    {
        std::size_t voters = 0;
        std::size_t confirmations = 0;
        for (const auto& [name, peer] : table.peers_) {
            if (name == vm || peer.isUnreachable_ || !peer.hasAnnounced_
                || !isDirectlyReachable(table, peer, now))
                continue;
            ++voters;
            confirmations += contains(peer.lastAnnouncement_.unreachableVms_, vm) ? 1 : 0;
        }
        return 2 * confirmations >= voters;
    }

    bool isExpired(const PeerTable& table, const Peer& peer, MonotonicTime now)
    {
        return peer.isUnreachable_ && !peer.isListed_
            && now - std::max(peer.lastHeardAt_, peer.addedAt_) > table.timing_.removalDelay_;
    }

} // namespace

void applyListedPeers(PeerTable& table, const Members& listed, MonotonicTime now)
{
    for (auto& [vm, peer] : table.peers_)
        peer.isListed_ = false;
    for (const Member& member : listed) {
        Peer& peer = findOrAddPeer(table, member.vm_, now);
        peer.isListed_ = true;
        peer.listedAddress_ = member.address_;
    }
}

void recordAnnouncement(PeerTable& table, const PeerFrame& announcement, MonotonicTime now)
{
    Peer& peer = findOrAddPeer(table, announcement.sender_, now);
    bool wasReachable = peer.hasAnnounced_ && isDirectlyReachable(table, peer, now);
    peer.lastAnnouncement_ = announcement;
    peer.lastAnnouncement_.config_.clear();
    peer.lastAnnouncement_.peerAddresses_.clear();
    peer.hasAnnounced_ = true;
    peer.isDisconnected_ = false;
    peer.lastHeardAt_ = now;
    if (!wasReachable)
        peer.reachableSince_ = now;
    for (const auto& [vm, address] : announcement.peerAddresses_) {
        if (!table.peers_.count({ vm }))
            findOrAddPeer(table, { vm }, now).listedAddress_ = address;
    }
}

void recordDisconnect(PeerTable& table, const VmId& vm, MonotonicTime now)
{
    Peer& peer = findOrAddPeer(table, vm, now);
    if (!peer.isDisconnected_)
        peer.disconnectedAt_ = now;
    peer.isDisconnected_ = true;
}

bool isDirectlyReachable(const PeerTable& table, const Peer& peer, MonotonicTime now)
{
    if (!peer.hasAnnounced_)
        return now - peer.addedAt_ <= table.timing_.firstAnnouncementTimeout_;
    if (peer.isDisconnected_ && now - peer.disconnectedAt_ > table.timing_.reconnectGracePeriod_)
        return false;
    return now - peer.lastHeardAt_ <= table.timing_.heartbeatTimeout_;
}

std::map<std::string, std::string> reachablePeers(const PeerTable& table, MonotonicTime now)
{
    std::map<std::string, std::string> reachable;
    for (const auto& [vm, peer] : table.peers_) {
        if (peer.hasAnnounced_ && !peer.isUnreachable_ && isDirectlyReachable(table, peer, now))
            reachable[vm.value_] = peer.lastAnnouncement_.address_;
    }
    return reachable;
}

std::vector<VmId> unreachablePeers(const PeerTable& table, MonotonicTime now)
{
    std::vector<VmId> unreachable;
    for (const auto& [vm, peer] : table.peers_) {
        if (!isDirectlyReachable(table, peer, now))
            unreachable.push_back(vm);
    }
    return unreachable;
}

bool updateReachability(PeerTable& table, MonotonicTime now)
{
    bool hasChanged = false;
    for (auto& [vm, peer] : table.peers_) {
        bool isReachable = isDirectlyReachable(table, peer, now);
        bool hasRecovered = isReachable && peer.hasAnnounced_
            && now - peer.reachableSince_ >= table.timing_.recoveryPeriod_;
        bool isUnreachable
            = peer.isUnreachable_ ? !hasRecovered : !isReachable && isConfirmedByPeers(table, vm, now);
        hasChanged = hasChanged || isUnreachable != peer.isUnreachable_;
        peer.isUnreachable_ = isUnreachable;
    }
    for (auto it = table.peers_.begin(); it != table.peers_.end();)
        it = isExpired(table, it->second, now) ? table.peers_.erase(it) : std::next(it);
    return hasChanged;
}

Members correctedMembers(const PeerTable& table, const ZoneId& zone, const Members& listed)
{
    Members members = listed;
    for (const auto& [vm, peer] : table.peers_) {
        auto found = std::find_if(members.begin(), members.end(),
            [&name = vm](const Member& member) { return member.vm_ == name; });
        if (found == members.end()) {
            if (peer.isUnreachable_ || !peer.hasAnnounced_)
                continue;
            found = members.insert(found, Member { vm, zone });
        }
        found->isReachable_ = !peer.isUnreachable_;
        if (!peer.hasAnnounced_ || peer.isUnreachable_)
            continue;
        found->address_ = peer.lastAnnouncement_.address_;
        found->isLeaving_ = found->isLeaving_ || peer.lastAnnouncement_.isLeaving_;
    }
    return members;
}

std::optional<VmId> holderOf(const PeerTable& table, ShardIndex shard, MonotonicTime now)
{
    for (const auto& [vm, peer] : table.peers_) {
        if (peer.hasAnnounced_ && isDirectlyReachable(table, peer, now)
            && contains(peer.lastAnnouncement_.ownedShards_, shard.value_))
            return vm;
    }
    return std::nullopt;
}

bool hasZoneReported(const PeerTable& table, MonotonicTime now)
{
    return std::all_of(table.peers_.begin(), table.peers_.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return peer.hasAnnounced_ || peer.isDisconnected_ || peer.isUnreachable_
            || !isDirectlyReachable(table, peer, now);
    });
}

} // namespace fescue
