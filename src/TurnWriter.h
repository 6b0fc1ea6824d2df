#pragma once

/** \file
 * TurnWriter: writes turns to the platform's store, as a rule through the VM that writes their partition.
 *
 *     turn --> VM that writes the partition, in batches
 *                | no success soon: this VM
 *                | no success soon, or the store does not serve it: peers, one after the other
 *
 * Any VM may write any partition, so no agreement on who does is needed; one VM a partition makes the fewest
 * calls.
 */

#include "PeerExchange.h"
#include "TurnArchive.h"

#include <functional>
#include <memory>

namespace fescue {

/** Writes turns. Confined to the thread of the event loop. */
class TurnWriter {
public:
    /** Gets the name of the VM that wrote the turns, empty for this one; null if no VM has done so in time.
     */
    using OnWritten = std::function<void(const VmId* writer)>;

    /** Precondition: the arguments outlive this object, and `exchange` serves no call after it. */
    TurnWriter(PacedStore& store, TurnArchive& archive, PeerExchange& exchange, const ZoneId& zone);
    ~TurnWriter();

    /** Writes turns that are to be retained for `life`. `done` is called once, by about the deadline and not
     * before this returns. Precondition: there is a turn. */
    void write(TurnChain turns, Milliseconds life, MonotonicTime deadline, OnWritten done);
    /** Ends calls that time out, and asks peers. To be called periodically. */
    void tick(bool isDraining, MonotonicTime now);
    /** Whether nothing is to be written, also for peers. */
    bool isIdle() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
