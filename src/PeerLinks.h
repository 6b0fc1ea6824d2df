#pragma once

/** \file
 * PeerLinks: a scheduler's links to the other schedulers of its zone.
 *
 * The VMs use them to exchange heartbeats (PeerState.h) and to send the configuration to a VM that cannot
 * read it from the log. One link serves each pair, whichever side opened it. VMs of other zones are not
 * linked, so the number of links grows with the zone and not with the system.
 */

#include "FrameLink.h"
#include "PeerState.h"

#include <functional>
#include <memory>

namespace fescue {

/** Callbacks that describe this VM and receive updates. They must not call `PeerLinks`. */
struct PeerHandlers {
    std::function<PeerFrame()> announcement_; ///< Without `unreachableVms_` and `config_`.
    std::function<std::string()> config_; ///< To send to a peer; `toJson(Config)` as text.
    std::function<void(const std::string&)> onConfig_; ///< Received from a peer.
    std::function<void()> onChange_; ///< The reachable or the leaving VMs have changed.
};

/** Manages the links. All functions are thread-safe. */
class PeerLinks {
public:
    PeerLinks(const VmId& vm, const ZoneId& zone, PeerHandlers handlers);
    ~PeerLinks();

    /** Closes the links that it opened; afterwards calls no handler. Precondition: no `tick` is running. */
    void stop();

    /** Opens missing links, sends due announcements and updates reachability; call at regular intervals. */
    void tick();
    /** Sends an announcement to all peers at once, for example when the VM starts to leave. */
    void announceNow();
    /** Handles a frame that arrived on a link that the peer opened. */
    void onFrame(const FrameLinkPtr& link, const PeerFrame& frame);
    /** Handles the end of a link that the peer opened. */
    void onLinkClosed(const FrameLinkPtr& link);

    /** Applies the platform's list of VMs, including other zones. */
    void setListedMembers(const Members& members);
    /** Returns the platform's list, corrected by the announcements of the peers. */
    Members members() const;
    /** Returns the reachable peer that holds a shard of the zone. */
    std::optional<VmId> holderOf(ShardIndex shard) const;
    /** Whether each known VM of the zone has announced which shards it holds, or is unreachable. */
    bool hasZoneReported() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
