#include "Members.h"

#include <algorithm>
#include <xxhash.h>

namespace fescue {

namespace {

    using MemberPointers = std::vector<const Member*>;

    MemberPointers rankPointers(const MemberPointers& members, const std::string& key)
    {
        std::vector<std::pair<std::uint64_t, const Member*>> scored;
        scored.reserve(members.size());
        for (const Member* member : members)
            scored.emplace_back(rankOf(member->vm_, key), member);
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

std::uint64_t rankOf(const VmId& vm, const std::string& key)
{
    std::string text = key + "@" + vm.value_;
    return XXH3_64bits(text.data(), text.size());
}

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
