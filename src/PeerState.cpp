#include "PeerState.h"

#include <algorithm>

namespace fescue {

namespace {

    Peer& peerOf(PeerTable& table, const VmId& vm, MonotonicTime now)
    {
        auto [found, isNew] = table.peers_.try_emplace(vm);
        if (isNew)
            found->second.since_ = now;
        return found->second;
    }

    template <typename List, typename Value> bool contains(const List& list, const Value& value)
    {
        return std::find(list.begin(), list.end(), value) != list.end();
    }

    // Whether most of the other peers that are heard say that they cannot hear `vm`.
    bool isConfirmed(const PeerTable& table, const VmId& vm, MonotonicTime now)
    {
        std::size_t voices = 0;
        std::size_t confirming = 0;
        for (const auto& [name, peer] : table.peers_) {
            if (name == vm || peer.isGone_ || !peer.wasHeard_ || !isHeard(table, peer, now))
                continue;
            ++voices;
            confirming += contains(peer.told_.unheard_, vm) ? 1 : 0;
        }
        return 2 * confirming >= voices;
    }

    bool isExpired(const PeerTable& table, const Peer& peer, MonotonicTime now)
    {
        return peer.isGone_ && !peer.isListed_
            && now - std::max(peer.heardAt_, peer.since_) > table.timing_.forget_;
    }

} // namespace

void peersListed(PeerTable& table, const Members& listed, MonotonicTime now)
{
    for (auto& [vm, peer] : table.peers_)
        peer.isListed_ = false;
    for (const Member& member : listed) {
        Peer& peer = peerOf(table, member.vm_, now);
        peer.isListed_ = true;
        peer.listedAddress_ = member.address_;
    }
}

void peerHeard(PeerTable& table, const PeerFrame& told, MonotonicTime now)
{
    Peer& peer = peerOf(table, told.from_, now);
    bool isUnbroken = peer.wasHeard_ && isHeard(table, peer, now);
    peer.told_ = told;
    peer.told_.config_.clear();
    peer.told_.known_.clear();
    peer.wasHeard_ = true;
    peer.isBroken_ = false;
    peer.heardAt_ = now;
    if (!isUnbroken)
        peer.heardSince_ = now;
    for (const auto& [vm, address] : told.known_) {
        if (!table.peers_.count({ vm }))
            peerOf(table, { vm }, now).listedAddress_ = address;
    }
}

void peerBroken(PeerTable& table, const VmId& vm, MonotonicTime now)
{
    Peer& peer = peerOf(table, vm, now);
    if (!peer.isBroken_)
        peer.brokenAt_ = now;
    peer.isBroken_ = true;
}

bool isHeard(const PeerTable& table, const Peer& peer, MonotonicTime now)
{
    if (!peer.wasHeard_)
        return now - peer.since_ <= table.timing_.listedGrace_;
    if (peer.isBroken_ && now - peer.brokenAt_ > table.timing_.breakGrace_)
        return false;
    return now - peer.heardAt_ <= table.timing_.silence_;
}

std::map<std::string, std::string> knownPeers(const PeerTable& table, MonotonicTime now)
{
    std::map<std::string, std::string> known;
    for (const auto& [vm, peer] : table.peers_) {
        if (peer.wasHeard_ && !peer.isGone_ && isHeard(table, peer, now))
            known[vm.value_] = peer.told_.address_;
    }
    return known;
}

std::vector<VmId> unheardPeers(const PeerTable& table, MonotonicTime now)
{
    std::vector<VmId> unheard;
    for (const auto& [vm, peer] : table.peers_) {
        if (!isHeard(table, peer, now))
            unheard.push_back(vm);
    }
    return unheard;
}

bool judgePeers(PeerTable& table, MonotonicTime now)
{
    bool hasChanged = false;
    for (auto& [vm, peer] : table.peers_) {
        bool isHeardNow = isHeard(table, peer, now);
        bool isBack = isHeardNow && peer.wasHeard_ && now - peer.heardSince_ >= table.timing_.returnAfter_;
        bool isGone = peer.isGone_ ? !isBack : !isHeardNow && isConfirmed(table, vm, now);
        hasChanged = hasChanged || isGone != peer.isGone_;
        peer.isGone_ = isGone;
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
            if (peer.isGone_ || !peer.wasHeard_)
                continue;
            found = members.insert(found, Member { vm, zone });
        }
        found->isReachable_ = !peer.isGone_;
        if (!peer.wasHeard_ || peer.isGone_)
            continue;
        found->address_ = peer.told_.address_;
        found->isLeaving_ = found->isLeaving_ || peer.told_.isLeaving_;
    }
    return members;
}

std::optional<VmId> holderOf(const PeerTable& table, ShardIndex shard, MonotonicTime now)
{
    for (const auto& [vm, peer] : table.peers_) {
        if (peer.wasHeard_ && isHeard(table, peer, now) && contains(peer.told_.held_, shard.value_))
            return vm;
    }
    return std::nullopt;
}

bool isZoneHeard(const PeerTable& table, MonotonicTime now)
{
    return std::all_of(table.peers_.begin(), table.peers_.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return peer.wasHeard_ || peer.isBroken_ || peer.isGone_ || !isHeard(table, peer, now);
    });
}

} // namespace fescue
