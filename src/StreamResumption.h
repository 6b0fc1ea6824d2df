#pragma once

/** \file
 * StreamResumption: finds the software version at which a broken stream may go on.
 *
 *     a stream begins --> own table --> copies at peers of this zone and of others (`OriginHolders`)
 *     a stream is taken up --> own table, or the only version there was, or the peers that may have a copy
 *
 * The copies outlive the VM that began the stream, and its availability zone. They are sent, in batches, only
 * for streams that may have begun at several versions or services. What nobody knows is not guessed.
 *
 * VMs read of a new version or configuration at different times, so another VM may have begun the stream at a
 * version or service that this one does not know yet. A version counts as the only one, and a service as the
 * only possible one, if that is so in a read of the store that started after the stream was taken up.
 */

#include "PeerExchange.h"
#include "RouteHistory.h"
#include "StreamOrigins.h"
#include "TargetList.h"

#include <functional>
#include <memory>

namespace fescue {

/** Keeps and finds the origins of streams. Confined to the thread of the event loop. */
class StreamResumption {
public:
    using OnFound = std::function<void(const std::optional<StreamOrigin>&)>;
    /** Reads the store; see `StoreFollower::refresh`. */
    using Refresh = std::function<void(std::function<void(bool isRead)> done)>;

    /** Precondition: `exchange`, `targets` and `routes` outlive this object, `exchange` serves no call after
     * it, and `refresh` updates `targets` and `routes`. */
    StreamResumption(PeerExchange& exchange, const TargetList& targets, const RouteHistory& routes,
        const ZoneId& zone, Refresh refresh);
    ~StreamResumption();

    /** Sets how long after its begin a stream may be taken up. */
    void setRetention(Milliseconds retention);
    /** Records a stream whose first event is about to be passed on, and where it was requested. */
    void recordBegin(const BegunStream& stream, const StreamPlace& place);
    /** Finds what began a stream that is taken up at `place`. `done` is called once, possibly before this
     * returns, with nothing if the origin is not known. */
    void find(const AttemptId& attempt, const StreamPlace& place, OnFound done);
    /** Streams whose origin is known. */
    std::size_t streams() const;
    /** Sends copies and ends searches. To be called periodically. */
    void tick(MonotonicTime now);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
