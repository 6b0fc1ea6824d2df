#include "Members.h"

#include <algorithm>
#include <xxhash.h>

namespace fescue {

namespace {

    struct Scored {
        std::uint64_t score_;
        const Member* member_;
    };

    std::uint64_t scoreOf(const Member& member, const ShardKey& shard)
    {
        std::string text = streamOf(shard) + "@" + member.vm_.value_;
        return XXH3_64bits(text.data(), text.size());
    }

} // namespace

std::optional<Member> expectedOwner(const Members& members, const ShardKey& shard, std::size_t rank)
{
    std::vector<Scored> scored;
    for (const Member& member : members) {
        if (member.zone_ == shard.zone_ && !member.isLeaving_ && member.isReachable_)
            scored.push_back({ scoreOf(member, shard), &member });
    }
    if (rank >= scored.size())
        return std::nullopt;
    std::sort(scored.begin(), scored.end(), [](const Scored& a, const Scored& b) {
        return a.score_ == b.score_ ? a.member_->vm_ < b.member_->vm_ : a.score_ > b.score_;
    });
    return *scored[rank].member_;
}

} // namespace fescue
