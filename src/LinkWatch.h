#pragma once

/** \file
 * LinkWatch: follows whether this VM can reach targets, and probes for the way back while it cannot.
 */

#include "KnownTargets.h"
#include "LinkHealth.h"

namespace fescue {

/** Follows the links of a VM. Confined to the thread of the event loop. */
class LinkWatch {
public:
    /** Precondition: the arguments outlive this object. */
    LinkWatch(OutboundPool& outbound, const KnownTargets& targets, const ZoneId& zone, Random& random);

    /** Replaces the targets that count. */
    void setTargets(const TargetList& list);
    void recordFailure(const TargetId& target, const char* reason);
    void recordConnected(const TargetId& target);
    /** Probes if the VM is stranded. To be called periodically. */
    void tick(MonotonicTime now);
    /** Whether this VM cannot open connections to targets. */
    bool isStranded() const { return health_.isStranded_; }

private:
    void probe();

    OutboundPool& outbound_;
    const KnownTargets& targets_;
    Random& random_;
    LinkHealth health_;
    MonotonicTime nextProbeAt_;
    std::shared_ptr<LinkWatch*> self_; ///< Outlived by the callbacks of probes.
};

} // namespace fescue
