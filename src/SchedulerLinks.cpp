#include "SchedulerLinks.h"

#include "EventLog.h"

namespace fescue {

namespace {

    constexpr Milliseconds avoidAfterLoss { 1000 };
    constexpr Milliseconds askInterval { 1000 };
    constexpr Milliseconds longestSilence { 5000 };
    // What one tick counts at most, so that a pause of this process is not taken for one of the scheduler.
    constexpr Milliseconds longestStep { 100 };

    struct LinkState {
        FrameLinkPtr link_;
        bool isOpen_ = false;
        std::vector<Frame> waiting_; ///< Frames to send once the link is open.
        MonotonicTime avoidUntil_;
        MonotonicTime heardAt_;
        bool isAsked_ = false; ///< For a view, which has not come yet.
        bool isSilent_ = false; ///< It has not answered for too long.
        MonotonicTime::duration silence_ {};
    };

} // namespace

struct SchedulerLinks::Impl {
    std::string ownAddress_;
    Handlers handlers_;
    mutable std::mutex mutex_;
    std::map<std::string, LinkState> links_; ///< By address.
    Members members_;
    FrameLinkPtr watched_; ///< The link that views are taken from.
    MonotonicTime tickedAt_;
    std::shared_ptr<const Config> config_ = std::make_shared<const Config>();
    std::unique_ptr<FrameDialer> dialer_;

    Impl(std::string ownAddress, Handlers handlers)
        : ownAddress_(std::move(ownAddress))
        , handlers_(std::move(handlers))
    {
        FrameHandlers frameHandlers { [this](const FrameLinkPtr& link) { opened(link); },
            [this](const FrameLinkPtr& link, Frame frame) { arrived(link, std::move(frame)); },
            [this](const FrameLinkPtr& link) { lost(link); } };
        dialer_ = std::make_unique<FrameDialer>(2, FrameLimits {}, std::move(frameHandlers));
    }

    // Precondition for all up to `opened`: the lock is held.
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
            && (found->second.isSilent_ || monotonicNow() < found->second.avoidUntil_);
    }

    // Views come from the own scheduler, and from another only while that one is out of reach.
    void watch(const FrameLinkPtr& link)
    {
        watched_ = link;
        link->send(WatchFrame { config_->version_ });
    }

    void watchAnother()
    {
        watched_ = nullptr;
        for (const auto& [address, state] : links_) {
            if (state.isOpen_ && !state.isSilent_)
                return watch(state.link_);
        }
    }

    // A scheduler that is stopped keeps its links open. The own one is asked here; of the others the own one
    // tells who is in reach.
    void checkOwn()
    {
        auto now = monotonicNow();
        auto passed = std::min<MonotonicTime::duration>(now - tickedAt_, longestStep);
        tickedAt_ = now;
        auto found = links_.find(ownAddress_);
        if (found == links_.end() || !found->second.isOpen_)
            return;
        LinkState& own = found->second;
        if (!own.isAsked_ && now - own.heardAt_ >= askInterval) {
            own.isAsked_ = true;
            own.silence_ = {};
            own.link_->send(WatchFrame { config_->version_ });
            return;
        }
        own.silence_ += passed;
        if (!own.isAsked_ || own.isSilent_ || own.silence_ < longestSilence)
            return;
        own.isSilent_ = true;
        logEvent("scheduler_silent", { { "address", ownAddress_ } });
        if (watched_ == own.link_)
            watchAnother();
    }

    void heard(const FrameLinkPtr& link)
    {
        auto found = links_.find(ownAddress_);
        if (found == links_.end() || found->second.link_ != link)
            return;
        LinkState& own = found->second;
        own.heardAt_ = monotonicNow();
        own.isAsked_ = false;
        if (own.isSilent_)
            watched_ = link;
        own.isSilent_ = false;
    }

    void opened(const FrameLinkPtr& link)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::string address;
        LinkState* state = find(link, address);
        if (!state)
            return;
        state->isOpen_ = true;
        state->avoidUntil_ = {};
        if (address == ownAddress_ || !watched_)
            watch(link);
        for (const Frame& frame : state->waiting_)
            link->send(frame);
        state->waiting_.clear();
    }

    void lost(const FrameLinkPtr& link)
    {
        std::string address;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            LinkState* state = find(link, address);
            if (!state)
                return;
            *state = LinkState {};
            state->avoidUntil_ = monotonicNow() + avoidAfterLoss;
            if (watched_ == link)
                watchAnother();
        }
        handlers_.onLost_(address);
    }

    void arrived(const FrameLinkPtr& link, Frame frame)
    {
        if (const auto* view = std::get_if<ViewFrame>(&frame))
            return takeView(link, *view);
        handlers_.onFrame_(std::move(frame));
    }

    void takeView(const FrameLinkPtr& link, const ViewFrame& view)
    {
        auto config = view.config_.empty() ? tl::expected<Config, ManifestError>()
                                           : parseConfig(nlohmann::json::parse(view.config_, nullptr, false));
        std::lock_guard<std::mutex> lock(mutex_);
        heard(link);
        if (!view.members_.empty() && link == watched_)
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
            state.waiting_.push_back(frame);
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
    impl_->checkOwn();
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
        return own == impl_->links_.end() || !own->second.isSilent_;
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
