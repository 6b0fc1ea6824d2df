#pragma once

/** \file
 * PeerLinks: a scheduler's links to the other schedulers of its zone.
 *
 * Over them the VMs tell that they are there (PeerState.h) and hand configuration to one that cannot get
 * it from the log. One link serves each pair, whoever opened it; VMs of other zones are not linked, so the
 * number of links grows with the zone and not with the system.
 */

#include "FrameLink.h"
#include "PeerState.h"

#include <functional>
#include <memory>

namespace fescue {

/** What a VM says about itself, and what it does with what it learns. None may call back. */
struct PeerHandlers {
    std::function<PeerFrame()> announcement_; ///< Without `unheard_` and `config_`.
    std::function<std::string()> config_; ///< To hand over; `toJson(Config)` as text.
    std::function<void(const std::string&)> onConfig_; ///< Handed over by a peer.
    std::function<void()> onChange_; ///< Who is there, or who is leaving, changed.
};

/** Keeps the links. All functions are safe from any thread. */
class PeerLinks {
public:
    PeerLinks(const VmId& vm, const ZoneId& zone, PeerHandlers handlers);
    ~PeerLinks();

    /** Closes the links that it opened; no handler is called any more. Precondition: `tick` is over. */
    void stop();

    /** Opens links, announces and judges what is due; to be called at a steady pace. */
    void tick();
    /** Tells every peer at once; for a VM that begins to leave. */
    void announceNow();
    /** A frame that came over a link which the peer opened. */
    void arrived(const FrameLinkPtr& link, const PeerFrame& frame);
    /** A link that the peer opened was closed. */
    void closed(const FrameLinkPtr& link);

    /** Takes the platform's list; that of all zones. */
    void listed(const Members& members);
    /** The platform's list, corrected by what the peers say. */
    Members members() const;
    /** The peer that holds a shard of the zone. */
    std::optional<VmId> holderOf(ShardIndex shard) const;
    /** Whether every VM of the zone that is known has told what it holds, or cannot be reached. */
    bool isZoneHeard() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
