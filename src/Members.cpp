#include "Members.h"

#include <algorithm>
#include <xxhash.h>

namespace fescue {

namespace {

    std::uint64_t scoreOf(const Member& member, const std::string& key)
    {
        std::string text = key + "@" + member.vm_.value_;
        return XXH3_64bits(text.data(), text.size());
    }

    using MemberPointers = std::vector<const Member*>;

    MemberPointers rankPointers(const MemberPointers& members, const std::string& key)
    {
        std::vector<std::pair<std::uint64_t, const Member*>> scored;
        scored.reserve(members.size());
        for (const Member* member : members)
            scored.emplace_back(scoreOf(*member, key), member);
        std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
            return a.first == b.first ? a.second->vm_ < b.second->vm_ : a.first > b.first;
        });
        MemberPointers ranked;
        ranked.reserve(scored.size());
        for (const auto& [score, member] : scored)
            ranked.push_back(member);
        return ranked;
    }

} // namespace

Members rankMembers(const Members& members, const std::string& key)
{
    MemberPointers pointers;
    pointers.reserve(members.size());
    for (const Member& member : members)
        pointers.push_back(&member);
    Members ranked;
    ranked.reserve(members.size());
    for (const Member* member : rankPointers(pointers, key))
        ranked.push_back(*member);
    return ranked;
}

std::optional<Member> expectedMember(
    const Members& members, const ZoneId& zone, const std::string& key, std::size_t rank)
{
    MemberPointers usable;
    for (const Member& member : members) {
        if (member.zone_ == zone && !member.isLeaving_ && member.isReachable_)
            usable.push_back(&member);
    }
    if (rank >= usable.size())
        return std::nullopt;
    return *rankPointers(usable, key)[rank];
}

std::optional<Member> expectedOwner(const Members& members, const ShardKey& shard, std::size_t rank)
{
    return expectedMember(members, shard.zone_, streamOf(shard), rank);
}

} // namespace fescue
