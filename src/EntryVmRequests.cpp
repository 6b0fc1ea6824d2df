#include "EntryVmImpl.h"

namespace fescue {

namespace {

    // The caller begins anew, so it has to wait only for its own sake.
    constexpr Milliseconds unknownOriginRetryAfter { 50 };
    constexpr int unauthorized = 401;
    constexpr int tooManyRequests = 429;
    constexpr Milliseconds otherVmRetryAfter { 50 }; // Another VM can accept the request immediately.

} // namespace

// Precondition: the workspace of the call is known, if it has one.
void EntryVm::Impl::readTags(ForwardedCall& call) const
{
    call.tags_ = platform::decodeCallTags(call.request_.head_);
    call.tags_.program_ = storableId(idWithin(call.workspace_, call.tags_.program_));
}

ConfigCertainty EntryVm::Impl::configCertainty() const
{
    const VmSettings& settings = options_.settings_;
    ConfigCertainty certainty;
    certainty.age_ = follower_.configAge(bootNow());
    certainty.maxAgeToReject_ = settings.configApplyTimeout_ + followIntervals(settings).configPollWait_;
    if (settings.isRevocationStrict_)
        certainty.maxAgeToAccept_ = settings.revocationTimeout_;
    return certainty;
}

// Finds the workspace of a request, or refuses it. Precondition: the route is set.
bool EntryVm::Impl::isAuthenticated(ForwardedCall& call)
{
    HttpHead& head = call.request_.head_;
    Authentication found = authenticate(*config_, call.route_, platform::decodeKey(head), configCertainty());
    if (found.status_ == KeyStatus::Unknown) {
        unknownKeys_.add();
        rejectCall(call, unauthorized, "no workspace has this key; check the key", std::nullopt);
        return false;
    }
    if (found.status_ == KeyStatus::Uncertain) {
        uncertainKeys_.add();
        rejectCall(call, serviceUnavailable,
            "the key cannot be checked, since the configuration may be outdated; send the request again",
            notReadyRetryAfter);
        return false;
    }
    call.rank_ = found.rank_;
    call.workspaceWeight_ = found.weight_;
    call.workspace_ = found.workspace_;
    if (config_->hasWorkspaces_) {
        platform::setWorkspace(head, call.workspace_);
        readTags(call);
    }
    return true;
}

void EntryVm::Impl::handleRequest(FrontRequest request, std::shared_ptr<FrontReply> reply)
{
    lastRequest_ = bootNow();
    ForwardedCall call { std::move(request), std::move(reply), {} };
    readTags(call);
    if (!config_ || !follower_.targets().isComplete_)
        return rejectCall(
            call, serviceUnavailable, "the configuration has not been read yet", notReadyRetryAfter);
    const Route* route
        = findRoute(*config_, *findHeader(call.request_.head_, "Host"), pathOf(call.request_.head_));
    if (!route)
        return rejectUnrouted(call);
    call.route_ = *route;
    if (!isAuthenticated(call))
        return;
    ServiceId service = chooseService(*route, serviceKey(call.tags_));
    call.service_ = traitsOf(service);
    call.deadline_
        = call.request_.arrived_ + std::min(route->timeout_, call.tags_.deadline_.value_or(route->timeout_));
    if (endsBefore(drain_, call.deadline_))
        return rejectCall(call, serviceUnavailable, "this VM shuts down before the deadline of the request",
            otherVmRetryAfter);
    takeCapPermit(std::move(call));
}

// Holds the request to the cap of its workspace. One that waits for a permit is not begun if its caller goes.
void EntryVm::Impl::takeCapPermit(ForwardedCall call)
{
    if (!caps_.isCapped(call.workspace_))
        return beginRoute(std::move(call));
    auto waiting = std::make_shared<ForwardedCall>(std::move(call));
    auto isGone = watchDisconnect(*waiting->reply_);
    caps_.admit(waiting->workspace_, [this, waiting, isGone](CapOutcome outcome, Milliseconds retryAfter) {
        if (*isGone)
            return logCallerGone(*waiting, "the caller disconnected while a permit was sought");
        if (outcome == CapOutcome::OverCap)
            return rejectCall(*waiting, tooManyRequests,
                "the workspace is at its cap; send the request again later", retryAfter);
        if (outcome == CapOutcome::Unknown)
            return rejectCall(*waiting, serviceUnavailable,
                "the cap of the workspace cannot be checked now; send the request again", retryAfter);
        beginRoute(std::move(*waiting));
    });
}

void EntryVm::Impl::beginRoute(ForwardedCall call)
{
    if (call.route_.keepsTurns_)
        return continuation_.begin(std::move(call), config_->limits_.maxBodyBytes_,
            [this](ForwardedCall complete) { beginOrResume(std::move(complete)); });
    beginOrResume(std::move(call));
}

void EntryVm::Impl::beginOrResume(ForwardedCall call)
{
    const Route& route = call.route_;
    if (route.isStream_ && !call.tags_.lastEvent_.empty())
        return resume(std::move(call));
    if (route.isStream_ && route.repeatability_ == Repeatability::Repeatable)
        call.onBegin_
            = [this, attempt = call.tags_.attempt_, service = call.service_.id_,
                  place = placeOf(call.request_.head_, call.tags_)](const SoftwareVersion& version) {
                  resumption_.recordBegin({ attempt, { service, version } }, place);
              };
    admit(std::move(call));
}

// Sends a request of another VM that cannot reach targets; that VM has admitted it.
void EntryVm::Impl::handleRelayed(ForwardedCall call)
{
    lastRequest_ = bootNow();
    if (config_ && config_->hasWorkspaces_)
        call.workspace_ = platform::decodeWorkspace(call.request_.head_);
    if (config_)
        call.rank_ = rankOf(*config_, call.workspace_, call.route_.priority_);
    readTags(call);
    if (!config_ || !config_->services_.count(call.service_.id_))
        return refuseRelay(call, "the service is not in the configuration of this VM");
    if (forwarder_.isStranded())
        return refuseRelay(call, "this VM has lost its links to targets, too");
    if (endsBefore(drain_, call.deadline_))
        return refuseRelay(call, "this VM shuts down before the deadline of the request");
    call.service_ = traitsOf(call.service_.id_);
    forwarder_.forward(std::move(call));
}

// Binds a stream that its caller takes up again to the service and version that began it.
void EntryVm::Impl::resume(ForwardedCall call)
{
    auto waiting = std::make_shared<ForwardedCall>(std::move(call));
    auto isGone = watchDisconnect(*waiting->reply_);
    resumption_.find(waiting->tags_.resumes_, placeOf(waiting->request_.head_, waiting->tags_),
        [this, waiting, isGone](const std::optional<StreamOrigin>& origin) {
            if (*isGone)
                return logCallerGone(
                    *waiting, "the caller disconnected while the origin of its stream was sought");
            if (!origin || !allowsService(waiting->request_.head_, origin->service_))
                return rejectCall(*waiting, serviceUnavailable,
                    "the service or version that began the stream is unknown or no longer in use on this "
                    "route; begin the request anew",
                    unknownOriginRetryAfter);
            waiting->service_ = traitsOf(origin->service_);
            waiting->version_ = origin->version_;
            admit(std::move(*waiting));
        });
}

// Whether the route of a request has a service now; a configuration may have come since it arrived.
bool EntryVm::Impl::allowsService(const HttpHead& request, const ServiceId& service) const
{
    const Route* route = findRoute(*config_, *findHeader(request, "Host"), pathOf(request));
    return route
        && std::any_of(
            route->services_.begin(), route->services_.end(), [&service](const WeightedService& allowed) {
                return allowed.service_ == service && allowed.weight_ > 0;
            });
}

ServiceTraits EntryVm::Impl::traitsOf(const ServiceId& service) const
{
    auto traits = config_->services_.find(service);
    return traits == config_->services_.end() ? ServiceTraits { service } : traits->second;
}

void EntryVm::Impl::admit(ForwardedCall call)
{
    const Route& route = call.route_;
    if (route.isTurn_ && call.tags_.programBudget_ && !call.tags_.program_.empty())
        return admission_.admit(std::move(call));
    if (!call.service_.isModel_)
        admission_.recordToolCall(call);
    forwarder_.forward(std::move(call));
}

void EntryVm::Impl::rejectUnrouted(ForwardedCall& call)
{
    unroutedCounter_.add();
    ConfigCertainty certainty = configCertainty();
    if (!certainty.age_ || *certainty.age_ > certainty.maxAgeToReject_)
        return rejectCall(call, serviceUnavailable,
            "no route matches this host and path, but the configuration may be stale", notReadyRetryAfter);
    rejectCall(call, notFound, "no route matches this host and path", std::nullopt);
}

} // namespace fescue
