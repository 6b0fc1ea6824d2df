#include "PeerLinks.h"

#include "EventLog.h"

#include <mutex>

namespace fescue {

namespace {

    constexpr Milliseconds firstRedial { 100 };
    constexpr Milliseconds longestRedial { 2000 };
    constexpr Milliseconds askAgain { 1000 };

    struct Dialing {
        FrameLinkPtr link_;
        MonotonicTime retryAt_;
        Milliseconds retryDelay_ = firstRedial;
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
    std::map<FrameLinkPtr, VmId> open_; ///< Links over which a peer has spoken.
    std::map<VmId, Dialing> dialing_;
    std::map<VmId, bool> leaving_; ///< Who said it was leaving at the last look.
    MonotonicTime announceAt_;
    MonotonicTime askAt_; ///< Not before this time another peer is asked for its configuration.
    LogOffset readTo_; ///< As announced last.
    std::unique_ptr<FrameDialer> dialer_;

    Impl(const VmId& vm, const ZoneId& zone, PeerHandlers handlers)
        : vm_(vm)
        , zone_(zone)
        , handlers_(std::move(handlers))
    {
        FrameHandlers frames { [this](const FrameLinkPtr& link) { sendAnnouncement(link); },
            [this](const FrameLinkPtr& link, const Frame& frame) {
                if (const auto* told = std::get_if<PeerFrame>(&frame))
                    arrived(link, *told);
            },
            [this](const FrameLinkPtr& link) { closed(link); } };
        dialer_ = std::make_unique<FrameDialer>(1, FrameLimits {}, std::move(frames));
    }

    PeerFrame announcement()
    {
        PeerFrame frame = handlers_.announcement_();
        std::lock_guard<std::mutex> lock(mutex_);
        frame.unheard_ = unheardPeers(table_, monotonicNow());
        readTo_ = frame.readTo_;
        return frame;
    }

    void sendAnnouncement(const FrameLinkPtr& link)
    {
        PeerFrame own = announcement();
        own.wantsConfig_ = false;
        own.known_ = known();
        link->send(own);
    }

    std::map<std::string, std::string> known() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return knownPeers(table_, monotonicNow());
    }

    void announce(bool withKnown)
    {
        PeerFrame frame = announcement();
        frame.wantsConfig_ = false;
        if (withKnown)
            frame.known_ = known();
        std::vector<FrameLinkPtr> links;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            const PeerTiming& timing = table_.timing_;
            announceAt_ = monotonicNow() + (frame.isLeaving_ ? timing.announceLeaving_ : timing.announce_);
            links = openLinks();
        }
        for (const FrameLinkPtr& link : links)
            link->send(frame);
    }

    void arrived(const FrameLinkPtr& link, const PeerFrame& told)
    {
        if (told.from_ == vm_ || told.zone_ != zone_)
            return link->close();
        bool isNewLink = false;
        bool isAhead = false;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isNewLink = open_.emplace(link, told.from_).second;
            peerHeard(table_, told, monotonicNow());
            table_.peers_.erase(vm_); // The peer knows this VM too.
            isAhead = told.config_.empty() && told.readTo_ > readTo_;
        }
        if (isNewLink)
            sendAnnouncement(link); // So that either end of the link hears the other.
        if (!told.config_.empty())
            handlers_.onConfig_(told.config_);
        if (told.wantsConfig_)
            handOver(link, told);
        if (isAhead)
            askFor(link, told);
    }

    void handOver(const FrameLinkPtr& link, const PeerFrame& told)
    {
        PeerFrame own = announcement();
        if (own.readTo_ <= told.readTo_)
            return;
        own.wantsConfig_ = false;
        own.config_ = handlers_.config_();
        link->send(own);
    }

    // One peer is asked at a time, since each would answer with the whole configuration.
    void askFor(const FrameLinkPtr& link, const PeerFrame& told)
    {
        PeerFrame own = announcement();
        if (!own.wantsConfig_ || told.readTo_ <= own.readTo_)
            return;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (monotonicNow() < askAt_)
                return;
            askAt_ = monotonicNow() + askAgain;
        }
        link->send(own);
    }

    void closed(const FrameLinkPtr& link)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [vm, dialing] : dialing_) {
            if (dialing.link_ != link)
                continue;
            dialing.link_ = nullptr;
            dialing.retryAt_ = monotonicNow() + dialing.retryDelay_;
            dialing.retryDelay_ = std::min(2 * dialing.retryDelay_, longestRedial);
            if (!hasLink(vm))
                peerBroken(table_, vm, monotonicNow());
        }
        auto found = open_.find(link);
        if (found == open_.end())
            return;
        VmId vm = found->second;
        open_.erase(found);
        if (!hasLink(vm))
            peerBroken(table_, vm, monotonicNow());
    }

    // Precondition for all below: the lock is held.
    bool hasLink(const VmId& vm) const
    {
        return std::any_of(
            open_.begin(), open_.end(), [&vm](const auto& entry) { return entry.second == vm; });
    }

    void dialMissing(MonotonicTime now)
    {
        for (const auto& [vm, peer] : table_.peers_) {
            Dialing& dialing = dialing_[vm];
            if (hasLink(vm)) {
                dialing.retryDelay_ = firstRedial;
                continue;
            }
            if (dialing.link_ || now < dialing.retryAt_)
                continue;
            // The list may know the newer address of a VM that was replaced, or still the older one.
            bool useTold = peer.wasHeard_ && dialing.attempts_ % 2 == 0;
            std::string address = useTold ? peer.told_.address_ : peer.listedAddress_;
            ++dialing.attempts_;
            if (!address.empty())
                dialing.link_ = dialer_->dial(address);
        }
        for (auto it = dialing_.begin(); it != dialing_.end();)
            it = it->second.link_ || table_.peers_.count(it->first) ? std::next(it) : dialing_.erase(it);
    }

    bool judge(MonotonicTime now)
    {
        std::map<VmId, bool> leaving;
        for (const auto& [vm, peer] : table_.peers_) {
            if (peer.wasHeard_)
                leaving[vm] = peer.told_.isLeaving_;
        }
        std::map<VmId, bool> before = std::move(leaving_);
        leaving_ = leaving;
        bool hasChanged = judgePeers(table_, now) || leaving != before;
        if (hasChanged) {
            for (const auto& [vm, peer] : table_.peers_)
                logEvent("peer_judged",
                    { { "peer", vm.value_ }, { "gone", peer.isGone_ ? "yes" : "no" },
                        { "leaving", peer.told_.isLeaving_ ? "yes" : "no" } });
        }
        return hasChanged;
    }

    std::vector<FrameLinkPtr> openLinks() const
    {
        std::vector<FrameLinkPtr> links;
        links.reserve(open_.size());
        for (const auto& [link, vm] : open_)
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
        impl_->dialMissing(now);
        hasChanged = impl_->judge(now);
        isDue = now >= impl_->announceAt_ || hasChanged;
    }
    if (isDue)
        impl_->announce(hasChanged);
    if (hasChanged)
        impl_->handlers_.onChange_();
}

void PeerLinks::announceNow() { impl_->announce(false); }

void PeerLinks::arrived(const FrameLinkPtr& link, const PeerFrame& frame) { impl_->arrived(link, frame); }

void PeerLinks::closed(const FrameLinkPtr& link) { impl_->closed(link); }

void PeerLinks::listed(const Members& members)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    impl_->listed_ = members;
    Members zone;
    for (const Member& member : members) {
        if (member.zone_ == impl_->zone_ && member.vm_ != impl_->vm_)
            zone.push_back(member);
    }
    peersListed(impl_->table_, zone, monotonicNow());
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

bool PeerLinks::isZoneHeard() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return fescue::isZoneHeard(impl_->table_, monotonicNow());
}

} // namespace fescue
