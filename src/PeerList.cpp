#include "PeerList.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    using nlohmann::json;

    // A peer that does not answer delays each request by the timeout of the call, so the backoff grows
    // exponentially.
    constexpr Milliseconds initialBackoff { 1000 };
    constexpr Milliseconds maxBackoff { 8000 };

    using Backoffs = std::map<VmId, PeerBackoff>;

    bool isInBackoff(const Backoffs& backoffs, const VmId& vm, MonotonicTime now)
    {
        auto backoff = backoffs.find(vm);
        return backoff != backoffs.end() && now < backoff->second.retryAt_;
    }

    void recordOutcome(Backoffs& backoffs, const VmId& vm, bool isGood, MonotonicTime now)
    {
        if (isGood) {
            backoffs.erase(vm);
            return;
        }
        PeerBackoff& backoff = backoffs[vm];
        Milliseconds delay = std::min(maxBackoff, initialBackoff * (1U << std::min(backoff.failures_, 3U)));
        ++backoff.failures_;
        backoff.retryAt_ = now + delay;
    }

    bool isHomeCandidate(const PeerList& list, const VmId& vm, MonotonicTime now)
    {
        return isUsable(list, vm, now) && !isInBackoff(list.withoutStore_, vm, now);
    }

} // namespace

std::string peerValue(const PeerEntry& peer)
{
    return json::array({ peer.zone_.value_, peer.address_, peer.writer_.value_ }).dump();
}

std::optional<PeerEntry> parsePeer(const std::string& key, const std::string& value)
{
    json document = json::parse(value, nullptr, false);
    constexpr std::size_t fieldCount = 3;
    if (key.empty() || !document.is_array() || document.size() != fieldCount)
        return std::nullopt;
    for (const json& field : document) {
        if (!field.is_string())
            return std::nullopt;
    }
    return PeerEntry { { key }, { document[0].get<std::string>() }, document[1].get<std::string>(),
        { document[2].get<std::string>() } };
}

bool isUsable(const PeerList& list, const VmId& vm, MonotonicTime now)
{
    if (vm == list.own_)
        return list.isStoreReachable_;
    return !isInBackoff(list.backoffs_, vm, now);
}

void recordPeerOutcome(PeerList& list, const VmId& peer, bool isAnswered, MonotonicTime now)
{
    recordOutcome(list.backoffs_, peer, isAnswered, now);
}

void recordPeerStore(PeerList& list, const VmId& peer, bool isServed, MonotonicTime now)
{
    recordOutcome(list.withoutStore_, peer, isServed, now);
}

std::vector<PeerEntry> detoursOf(const PeerList& list, const ZoneId& zone, const ProgramId& program,
    const std::set<VmId>& tried, std::size_t count, MonotonicTime now)
{
    std::vector<PeerEntry> inZone;
    std::vector<PeerEntry> elsewhere;
    Members members;
    for (const auto& [vm, peer] : list.peers_) {
        if (vm != list.own_ && !tried.count(vm) && isHomeCandidate(list, vm, now))
            members.push_back({ vm, peer.zone_, peer.address_ });
    }
    for (const Member& member : rankMembers(members, program.value_))
        (member.zone_ == zone ? inZone : elsewhere).push_back(list.peers_.at(member.vm_));
    inZone.insert(inZone.end(), elsewhere.begin(), elsewhere.end());
    if (inZone.size() > count)
        inZone.resize(count);
    return inZone;
}

std::optional<PeerEntry> homeOf(
    const PeerList& list, const ZoneId& zone, const ProgramId& program, MonotonicTime now)
{
    Members members;
    for (const auto& [vm, peer] : list.peers_)
        members.push_back({ vm, peer.zone_, peer.address_, false, isHomeCandidate(list, vm, now) });
    auto member = expectedMember(members, zone, program.value_);
    if (!member)
        return std::nullopt;
    return list.peers_.at(member->vm_);
}

std::vector<PeerEntry> peersFor(
    const PeerList& list, const ZoneId& zone, const std::string& key, std::size_t count, MonotonicTime now)
{
    Members members;
    for (const auto& [vm, peer] : list.peers_) {
        if (vm != list.own_ && peer.zone_ == zone && isUsable(list, vm, now))
            members.push_back({ vm, peer.zone_, peer.address_ });
    }
    std::vector<PeerEntry> peers;
    while (peers.size() < std::min(count, members.size()))
        peers.push_back(list.peers_.at(expectedMember(members, zone, key, peers.size())->vm_));
    return peers;
}

std::vector<PeerEntry> rankedVms(const PeerList& list, const ZoneId& zone, const std::string& key)
{
    bool hasZone = std::any_of(list.peers_.begin(), list.peers_.end(),
        [&zone](const auto& entry) { return entry.second.zone_ == zone; });
    Members members;
    for (const auto& [vm, peer] : list.peers_) {
        if (!hasZone || peer.zone_ == zone)
            members.push_back({ vm, zone, peer.address_ });
    }
    std::vector<PeerEntry> ranked;
    for (const Member& member : rankMembers(members, key))
        ranked.push_back(list.peers_.at(member.vm_));
    return ranked;
}

std::optional<PeerEntry> findPeerByWriter(const PeerList& list, const WriterId& writer, MonotonicTime now)
{
    for (const auto& [vm, peer] : list.peers_) {
        if (peer.writer_ == writer && vm != list.own_ && isUsable(list, vm, now))
            return peer;
    }
    return std::nullopt;
}

} // namespace fescue
