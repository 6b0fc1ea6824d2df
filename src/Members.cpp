#include "Members.h"

#include <algorithm>
#include <xxhash.h>

namespace fescue {

namespace {

    struct ScoredMember {
        std::uint64_t score_;
        const Member* member_;
    };

    std::uint64_t scoreOf(const Member& member, const std::string& key)
    {
        std::string text = key + "@" + member.vm_.value_;
        return XXH3_64bits(text.data(), text.size());
    }

} // namespace

std::optional<Member> expectedMember(
    const Members& members, const ZoneId& zone, const std::string& key, std::size_t rank)
{
    std::vector<ScoredMember> scored;
    for (const Member& member : members) {
        if (member.zone_ == zone && !member.isLeaving_ && member.isReachable_)
            scored.push_back({ scoreOf(member, key), &member });
    }
    if (rank >= scored.size())
        return std::nullopt;
    std::sort(scored.begin(), scored.end(), [](const ScoredMember& a, const ScoredMember& b) {
        return a.score_ == b.score_ ? a.member_->vm_ < b.member_->vm_ : a.score_ > b.score_;
    });
    return *scored[rank].member_;
}

std::optional<Member> expectedOwner(const Members& members, const ShardKey& shard, std::size_t rank)
{
    return expectedMember(members, shard.zone_, streamOf(shard), rank);
}

} // namespace fescue
