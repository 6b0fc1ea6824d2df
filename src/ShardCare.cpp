#include "ShardCare.h"

namespace fescue {

namespace {

    constexpr Milliseconds orphanPatience { 1500 }; ///< Until the peers have told what they hold.

} // namespace

ShardCareOrders lookAfterShards(
    Orphans& orphans, const ShardStanding& standing, bool verifiesAll, MonotonicTime now)
{
    ShardCareOrders orders;
    for (std::uint32_t index = 0; index < shardsPerZone; ++index) {
        ShardKey shard { standing.zone_, { index } };
        bool isHeldElsewhere = standing.heldElsewhere_.count(shard.index_) > 0;
        if (standing.owned_.count(shard.index_)) {
            orphans.erase(shard);
            if (verifiesAll || isHeldElsewhere)
                orders.verify_.push_back(shard);
            continue;
        }
        auto expected = expectedOwner(standing.members_, shard);
        if (isHeldElsewhere || !expected || expected->vm_ != standing.vm_)
            orphans.erase(shard);
        else if (now - orphans.emplace(shard, now).first->second >= orphanPatience)
            orders.takeOver_.push_back(shard);
    }
    return orders;
}

} // namespace fescue
