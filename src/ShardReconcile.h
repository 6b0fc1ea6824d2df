#pragma once

/** \file
 * ShardReconcile: finds shards that need action although no request arrives for them.
 *
 * If two VMs report to hold a shard, one of them has lost it, so its log is read again. Shards that this VM
 * should own and no VM holds are taken over, so that the programs of a failed owner still time out.
 */

#include "Members.h"

#include <map>
#include <set>
#include <vector>

namespace fescue {

/** Observed ownership of the shards of this VM's zone. */
struct ZoneOwnership {
    VmId vm_; ///< This VM.
    ZoneId zone_;
    Members members_;
    std::set<ShardIndex> owned_; ///< By this VM, according to its ledgers.
    std::set<ShardIndex> heldElsewhere_; ///< As reported by the peers.
};

/** Shards to act on. */
struct ReconcileActions {
    std::vector<ShardKey> verify_;
    std::vector<ShardKey> takeOver_;
};

/** Shards that this VM should own and no VM holds, with the time when this was first seen. */
using UnownedShards = std::map<ShardKey, MonotonicTime>;

/** Compares the expected with the observed owners. Set `verifiesAll` after a VM became unreachable or was
 * removed: it may have taken over shards that this VM still believes it owns. Pure except for `unowned`. */
ReconcileActions reconcileShards(
    UnownedShards& unowned, const ZoneOwnership& ownership, bool verifiesAll, MonotonicTime now);

} // namespace fescue
