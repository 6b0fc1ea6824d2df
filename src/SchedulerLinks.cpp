#include "SchedulerLinks.h"

#include "EventLog.h"

namespace fescue {

namespace {

    constexpr Milliseconds lostLinkBackoff { 1000 };
    constexpr Milliseconds probeInterval { 1000 };
    constexpr Milliseconds probeTimeout { 5000 };
    // Upper limit on the time that one tick adds, so that a pause of this process is not mistaken for a pause
    // of the scheduler.
    constexpr Milliseconds maxTickElapsed { 100 };

    struct LinkState {
        FrameLinkPtr link_;
        bool isOpen_ = false;
        std::vector<Frame> pending_; ///< Frames to send once the link is open.
        MonotonicTime avoidUntil_;
        MonotonicTime lastViewAt_;
        bool isProbePending_ = false; ///< A view was requested and has not arrived yet.
        bool isUnresponsive_ = false; ///< The last probe timed out.
        MonotonicTime::duration probeElapsed_ {};
    };

} // namespace

struct SchedulerLinks::Impl {
    std::string ownAddress_;
    Handlers handlers_;
    mutable std::mutex mutex_;
    std::map<std::string, LinkState> links_; ///< By address.
    Members members_;
    FrameLinkPtr viewSource_; ///< The link whose views are applied.
    MonotonicTime tickedAt_;
    std::shared_ptr<const Config> config_ = std::make_shared<const Config>();
    std::unique_ptr<FrameDialer> dialer_;

    Impl(std::string ownAddress, Handlers handlers)
        : ownAddress_(std::move(ownAddress))
        , handlers_(std::move(handlers))
    {
        FrameHandlers frameHandlers { [this](const FrameLinkPtr& link) { onOpened(link); },
            [this](const FrameLinkPtr& link, Frame frame) { onFrame(link, std::move(frame)); },
            [this](const FrameLinkPtr& link) { onLost(link); } };
        dialer_ = std::make_unique<FrameDialer>(2, FrameLimits {}, std::move(frameHandlers));
    }

    // Precondition of all functions before `onOpened`: `mutex_` is held.
    LinkState* find(const FrameLinkPtr& link, std::string& address)
    {
        for (auto& [at, state] : links_) {
            if (state.link_ != link)
                continue;
            address = at;
            return &state;
        }
        return nullptr;
    }

    void dial(const std::string& address)
    {
        LinkState& state = links_[address];
        if (!state.link_)
            state.link_ = dialer_->dial(address);
    }

    bool isAvoided(const std::string& address) const
    {
        auto found = links_.find(address);
        return found != links_.end()
            && (found->second.isUnresponsive_ || monotonicNow() < found->second.avoidUntil_);
    }

    // Views come from the local scheduler, and from another one only while the local one is unreachable.
    void watch(const FrameLinkPtr& link)
    {
        viewSource_ = link;
        link->send(WatchFrame { config_->version_ });
    }

    void watchAnyOther()
    {
        viewSource_ = nullptr;
        for (const auto& [address, state] : links_) {
            if (state.isOpen_ && !state.isUnresponsive_)
                return watch(state.link_);
        }
    }

    // A stopped process keeps its connections open, so the local scheduler is probed here. It reports which
    // of the others are reachable.
    void probeLocal()
    {
        auto now = monotonicNow();
        auto elapsed = std::min<MonotonicTime::duration>(now - tickedAt_, maxTickElapsed);
        tickedAt_ = now;
        auto found = links_.find(ownAddress_);
        if (found == links_.end() || !found->second.isOpen_)
            return;
        LinkState& own = found->second;
        if (!own.isProbePending_ && now - own.lastViewAt_ >= probeInterval) {
            own.isProbePending_ = true;
            own.probeElapsed_ = {};
            own.link_->send(WatchFrame { config_->version_ });
            return;
        }
        own.probeElapsed_ += elapsed;
        if (!own.isProbePending_ || own.isUnresponsive_ || own.probeElapsed_ < probeTimeout)
            return;
        own.isUnresponsive_ = true;
        logEvent("scheduler_silent", { { "address", ownAddress_ } });
        if (viewSource_ == own.link_)
            watchAnyOther();
    }

    void onLocalResponse(const FrameLinkPtr& link)
    {
        auto found = links_.find(ownAddress_);
        if (found == links_.end() || found->second.link_ != link)
            return;
        LinkState& own = found->second;
        own.lastViewAt_ = monotonicNow();
        own.isProbePending_ = false;
        if (own.isUnresponsive_)
            viewSource_ = link;
        own.isUnresponsive_ = false;
    }

    void onOpened(const FrameLinkPtr& link)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::string address;
        LinkState* state = find(link, address);
        if (!state)
            return;
        state->isOpen_ = true;
        state->avoidUntil_ = {};
        if (address == ownAddress_ || !viewSource_)
            watch(link);
        for (const Frame& frame : state->pending_)
            link->send(frame);
        state->pending_.clear();
    }

    void onLost(const FrameLinkPtr& link)
    {
        std::string address;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            LinkState* state = find(link, address);
            if (!state)
                return;
            *state = LinkState {};
            state->avoidUntil_ = monotonicNow() + lostLinkBackoff;
            if (viewSource_ == link)
                watchAnyOther();
        }
        handlers_.onLost_(address);
    }

    void onFrame(const FrameLinkPtr& link, Frame frame)
    {
        if (const auto* view = std::get_if<ViewFrame>(&frame))
            return applyView(link, *view);
        handlers_.onFrame_(std::move(frame));
    }

    void applyView(const FrameLinkPtr& link, const ViewFrame& view)
    {
        auto config = view.config_.empty() ? tl::expected<Config, ManifestError>()
                                           : parseConfig(nlohmann::json::parse(view.config_, nullptr, false));
        std::lock_guard<std::mutex> lock(mutex_);
        onLocalResponse(link);
        if (!view.members_.empty() && link == viewSource_)
            members_ = view.members_;
        if (config && config->version_ > config_->version_)
            config_ = std::make_shared<const Config>(std::move(*config));
    }

    Members reachable() const
    {
        Members members = members_;
        for (Member& member : members)
            member.isReachable_ = member.isReachable_ && !isAvoided(member.address_);
        return members;
    }
};

SchedulerLinks::SchedulerLinks(std::string ownAddress, Handlers handlers)
    : impl_(std::make_unique<Impl>(std::move(ownAddress), std::move(handlers)))
{
}

SchedulerLinks::~SchedulerLinks() = default;

void SchedulerLinks::send(const std::string& address, const Frame& frame)
{
    bool isLost = false;
    {
        std::lock_guard<std::mutex> lock(impl_->mutex_);
        impl_->dial(address);
        LinkState& state = impl_->links_[address];
        if (state.isOpen_)
            isLost = !state.link_->send(frame);
        else if (state.link_)
            state.pending_.push_back(frame);
        else
            isLost = true;
    }
    if (isLost)
        impl_->handlers_.onLost_(address);
}

void SchedulerLinks::tick()
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    if (!impl_->isAvoided(impl_->ownAddress_))
        impl_->dial(impl_->ownAddress_);
    impl_->probeLocal();
}

std::optional<SchedulerRoute> SchedulerLinks::routeTo(const ShardKey& shard, const VmId& movedTo) const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    Members members = impl_->reachable();
    auto named = std::find_if(members.begin(), members.end(),
        [&movedTo](const Member& member) { return !movedTo.empty() && member.vm_ == movedTo; });
    bool isNamed = named != members.end();
    if (isNamed && named->isReachable_)
        return SchedulerRoute { named->vm_, named->address_, false };
    auto owner = expectedOwner(members, shard);
    if (!owner)
        return std::nullopt;
    return SchedulerRoute { owner->vm_, owner->address_, isNamed };
}

bool SchedulerLinks::isUsable(const std::string& address) const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    if (address == impl_->ownAddress_) {
        auto own = impl_->links_.find(address);
        return own == impl_->links_.end() || !own->second.isUnresponsive_;
    }
    if (impl_->members_.empty())
        return true;
    for (const Member& member : impl_->members_) {
        if (member.address_ == address)
            return member.isReachable_;
    }
    return false;
}

SchedulerRoute SchedulerLinks::anyRoute() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    if (!impl_->isAvoided(impl_->ownAddress_))
        return { {}, impl_->ownAddress_, false };
    for (const Member& member : impl_->reachable()) {
        if (member.isReachable_ && !member.isLeaving_)
            return { member.vm_, member.address_, false };
    }
    return { {}, impl_->ownAddress_, false };
}

std::shared_ptr<const Config> SchedulerLinks::config() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->config_;
}

bool SchedulerLinks::isReady() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->config_->version_.value_ != 0;
}

} // namespace fescue
