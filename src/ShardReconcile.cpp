#include "ShardReconcile.h"

namespace fescue {

namespace {

    constexpr Milliseconds takeOverGracePeriod {
        1500
    }; ///< Allows the peers to report the shards that they hold.

} // namespace

ReconcileActions reconcileShards(
    UnownedShards& unowned, const ZoneOwnership& ownership, bool verifiesAll, MonotonicTime now)
{
    ReconcileActions actions;
    for (std::uint32_t index = 0; index < shardsPerZone; ++index) {
        ShardKey shard { ownership.zone_, { index } };
        bool isHeldElsewhere = ownership.heldElsewhere_.count(shard.index_) > 0;
        if (ownership.owned_.count(shard.index_)) {
            unowned.erase(shard);
            if (verifiesAll || isHeldElsewhere)
                actions.verify_.push_back(shard);
            continue;
        }
        auto expected = expectedOwner(ownership.members_, shard);
        if (isHeldElsewhere || !expected || expected->vm_ != ownership.vm_)
            unowned.erase(shard);
        else if (now - unowned.emplace(shard, now).first->second >= takeOverGracePeriod)
            actions.takeOver_.push_back(shard);
    }
    return actions;
}

} // namespace fescue
