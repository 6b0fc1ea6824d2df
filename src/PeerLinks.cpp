#include "PeerLinks.h"

#include "EventLog.h"

#include <mutex>

namespace fescue {

namespace {

    constexpr Milliseconds initialReconnectDelay { 100 };
    constexpr Milliseconds maxReconnectDelay { 2000 };
    constexpr Milliseconds configRequestInterval { 1000 };

    struct OutboundLink {
        FrameLinkPtr link_;
        MonotonicTime retryAt_;
        Milliseconds retryDelay_ = initialReconnectDelay;
        std::size_t attempts_ = 0;
    };

} // namespace

struct PeerLinks::Impl {
    VmId vm_;
    ZoneId zone_;
    PeerHandlers handlers_;
    mutable std::mutex mutex_;
    PeerTable table_;
    Members listed_;
    std::map<FrameLinkPtr, VmId> peerByLink_; ///< Links on which an announcement has arrived.
    std::map<VmId, OutboundLink> outbound_;
    std::map<VmId, bool> leaving_; ///< Whether each peer was leaving, as of the last update.
    MonotonicTime nextAnnouncementAt_;
    MonotonicTime nextConfigRequestAt_; ///< Earliest time of the next configuration request.
    LogOffset lastReadOffset_; ///< As of the last announcement.
    std::unique_ptr<FrameDialer> dialer_;

    Impl(const VmId& vm, const ZoneId& zone, PeerHandlers handlers)
        : vm_(vm)
        , zone_(zone)
        , handlers_(std::move(handlers))
    {
        FrameHandlers frames { [this](const FrameLinkPtr& link) { sendAnnouncement(link); },
            [this](const FrameLinkPtr& link, const Frame& frame) {
                if (const auto* received = std::get_if<PeerFrame>(&frame))
                    onFrame(link, *received);
            },
            [this](const FrameLinkPtr& link) { onLinkClosed(link); } };
        dialer_ = std::make_unique<FrameDialer>(1, FrameLimits {}, std::move(frames));
    }

    PeerFrame announcement()
    {
        PeerFrame frame = handlers_.announcement_();
        std::lock_guard<std::mutex> lock(mutex_);
        frame.unreachableVms_ = unreachablePeers(table_, monotonicNow());
        lastReadOffset_ = frame.lastReadOffset_;
        return frame;
    }

    void sendAnnouncement(const FrameLinkPtr& link)
    {
        PeerFrame own = announcement();
        own.requestsConfig_ = false;
        own.peerAddresses_ = reachableAddresses();
        link->send(own);
    }

    std::map<std::string, std::string> reachableAddresses() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return reachablePeers(table_, monotonicNow());
    }

    void announce(bool includesReachable)
    {
        PeerFrame frame = announcement();
        frame.requestsConfig_ = false;
        if (includesReachable)
            frame.peerAddresses_ = reachableAddresses();
        std::vector<FrameLinkPtr> links;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            const PeerTiming& timing = table_.timing_;
            nextAnnouncementAt_ = monotonicNow()
                + (frame.isLeaving_ ? timing.leavingAnnounceInterval_ : timing.announceInterval_);
            links = openLinks();
        }
        for (const FrameLinkPtr& link : links)
            link->send(frame);
    }

    void onFrame(const FrameLinkPtr& link, const PeerFrame& received)
    {
        if (received.sender_ == vm_ || received.zone_ != zone_)
            return link->close();
        bool isNewLink = false;
        bool hasNewerConfig = false;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isNewLink = peerByLink_.emplace(link, received.sender_).second;
            recordAnnouncement(table_, received, monotonicNow());
            table_.peers_.erase(vm_); // The peer lists this VM too.
            hasNewerConfig = received.config_.empty() && received.lastReadOffset_ > lastReadOffset_;
        }
        if (isNewLink)
            sendAnnouncement(link); // Both ends of the link then have an announcement.
        if (!received.config_.empty())
            handlers_.onConfig_(received.config_);
        if (received.requestsConfig_)
            sendConfig(link, received);
        if (hasNewerConfig)
            requestConfig(link, received);
    }

    void sendConfig(const FrameLinkPtr& link, const PeerFrame& received)
    {
        PeerFrame own = announcement();
        if (own.lastReadOffset_ <= received.lastReadOffset_)
            return;
        own.requestsConfig_ = false;
        own.config_ = handlers_.config_();
        link->send(own);
    }

    // Asks one peer at a time, since each answers with the whole configuration.
    void requestConfig(const FrameLinkPtr& link, const PeerFrame& received)
    {
        PeerFrame own = announcement();
        if (!own.requestsConfig_ || received.lastReadOffset_ <= own.lastReadOffset_)
            return;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (monotonicNow() < nextConfigRequestAt_)
                return;
            nextConfigRequestAt_ = monotonicNow() + configRequestInterval;
        }
        link->send(own);
    }

    void onLinkClosed(const FrameLinkPtr& link)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [vm, outbound] : outbound_) {
            if (outbound.link_ != link)
                continue;
            outbound.link_ = nullptr;
            outbound.retryAt_ = monotonicNow() + outbound.retryDelay_;
            outbound.retryDelay_ = std::min(2 * outbound.retryDelay_, maxReconnectDelay);
            if (!hasLink(vm))
                recordDisconnect(table_, vm, monotonicNow());
        }
        auto found = peerByLink_.find(link);
        if (found == peerByLink_.end())
            return;
        VmId vm = found->second;
        peerByLink_.erase(found);
        if (!hasLink(vm))
            recordDisconnect(table_, vm, monotonicNow());
    }

    // Precondition of all functions below: the caller holds `mutex_`.
    bool hasLink(const VmId& vm) const
    {
        return std::any_of(
            peerByLink_.begin(), peerByLink_.end(), [&vm](const auto& entry) { return entry.second == vm; });
    }

    void openMissingLinks(MonotonicTime now)
    {
        for (const auto& [vm, peer] : table_.peers_) {
            OutboundLink& outbound = outbound_[vm];
            if (hasLink(vm)) {
                outbound.retryDelay_ = initialReconnectDelay;
                continue;
            }
            if (outbound.link_ || now < outbound.retryAt_)
                continue;
            // The list may have a newer address of a replaced VM or still an older one, so both are tried in
            // turn.
            bool useAnnounced = peer.hasAnnounced_ && outbound.attempts_ % 2 == 0;
            std::string address = useAnnounced ? peer.lastAnnouncement_.address_ : peer.listedAddress_;
            ++outbound.attempts_;
            if (!address.empty())
                outbound.link_ = dialer_->dial(address);
        }
        for (auto it = outbound_.begin(); it != outbound_.end();)
            it = it->second.link_ || table_.peers_.count(it->first) ? std::next(it) : outbound_.erase(it);
    }

    bool updatePeers(MonotonicTime now)
    {
        std::map<VmId, bool> leaving;
        for (const auto& [vm, peer] : table_.peers_) {
            if (peer.hasAnnounced_)
                leaving[vm] = peer.lastAnnouncement_.isLeaving_;
        }
        std::map<VmId, bool> previous = std::move(leaving_);
        leaving_ = leaving;
        bool hasChanged = updateReachability(table_, now) || leaving != previous;
        if (hasChanged) {
            for (const auto& [vm, peer] : table_.peers_)
                logEvent("peer_judged",
                    { { "peer", vm.value_ }, { "gone", peer.isUnreachable_ ? "yes" : "no" },
                        { "leaving", peer.lastAnnouncement_.isLeaving_ ? "yes" : "no" } });
        }
        return hasChanged;
    }

    std::vector<FrameLinkPtr> openLinks() const
    {
        std::vector<FrameLinkPtr> links;
        links.reserve(peerByLink_.size());
        for (const auto& [link, vm] : peerByLink_)
            links.push_back(link);
        return links;
    }
};

PeerLinks::PeerLinks(const VmId& vm, const ZoneId& zone, PeerHandlers handlers)
    : impl_(std::make_unique<Impl>(vm, zone, std::move(handlers)))
{
}

PeerLinks::~PeerLinks() { stop(); }

void PeerLinks::stop() { impl_->dialer_.reset(); }

void PeerLinks::tick()
{
    bool hasChanged = false;
    bool isDue = false;
    {
        std::lock_guard<std::mutex> lock(impl_->mutex_);
        auto now = monotonicNow();
        impl_->openMissingLinks(now);
        hasChanged = impl_->updatePeers(now);
        isDue = now >= impl_->nextAnnouncementAt_ || hasChanged;
    }
    if (isDue)
        impl_->announce(hasChanged);
    if (hasChanged)
        impl_->handlers_.onChange_();
}

void PeerLinks::announceNow() { impl_->announce(false); }

void PeerLinks::onFrame(const FrameLinkPtr& link, const PeerFrame& frame) { impl_->onFrame(link, frame); }

void PeerLinks::onLinkClosed(const FrameLinkPtr& link) { impl_->onLinkClosed(link); }

void PeerLinks::setListedMembers(const Members& members)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    impl_->listed_ = members;
    Members zone;
    for (const Member& member : members) {
        if (member.zone_ == impl_->zone_ && member.vm_ != impl_->vm_)
            zone.push_back(member);
    }
    applyListedPeers(impl_->table_, zone, monotonicNow());
}

Members PeerLinks::members() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return correctedMembers(impl_->table_, impl_->zone_, impl_->listed_);
}

std::optional<VmId> PeerLinks::holderOf(ShardIndex shard) const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return fescue::holderOf(impl_->table_, shard, monotonicNow());
}

bool PeerLinks::hasZoneReported() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return fescue::hasZoneReported(impl_->table_, monotonicNow());
}

} // namespace fescue
