#pragma once

/** \file
 * ShardReconcile: the shards of a VM that need a look without a request.
 *
 * Shards that two VMs believe to hold are read again, since one of them was overtaken; and shards that this
 * VM should own and nobody holds are taken over, so that the programs of a dead owner are looked after.
 */

#include "Members.h"

#include <map>
#include <set>
#include <vector>

namespace fescue {

/** How the shards of the own zone stand at one moment. */
struct ZoneOwnership {
    VmId vm_; ///< This VM.
    ZoneId zone_;
    Members members_;
    std::set<ShardIndex> owned_; ///< By this VM, as far as it knows.
    std::set<ShardIndex> heldElsewhere_; ///< As the peers tell.
};

/** What to do. */
struct ReconcileActions {
    std::vector<ShardKey> verify_;
    std::vector<ShardKey> takeOver_;
};

/** Shards that this VM should own and nobody holds, and since when. */
using UnownedShards = std::map<ShardKey, MonotonicTime>;

/** Decides what to look after; `verifiesAll` after a VM has gone, which may have held what this VM believes
 * to hold. Pure but for `unowned`. */
ReconcileActions reconcileShards(
    UnownedShards& unowned, const ZoneOwnership& ownership, bool verifiesAll, MonotonicTime now);

} // namespace fescue
