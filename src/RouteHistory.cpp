#include "RouteHistory.h"

#include <algorithm>
#include <xxhash.h>

namespace fescue {

namespace {

    // Bounds for how long a VM without the store may go on with an old configuration.
    constexpr Milliseconds replacedRetention { 300000 };
    constexpr std::size_t maxRecentRoutes = 64;

    std::uint64_t hashOf(const std::string& text) { return XXH64(text.data(), text.size(), 0); }

    bool isSameRoute(const Route& a, const Route& b)
    {
        return a.host_ == b.host_ && a.prefix_ == b.prefix_
            && std::equal(a.services_.begin(), a.services_.end(), b.services_.begin(), b.services_.end(),
                [](const WeightedService& x, const WeightedService& y) {
                    return x.service_ == y.service_ && x.weight_ == y.weight_;
                });
    }

    ServingConfig streamRoutesOf(const ServingConfig& config)
    {
        ServingConfig streams;
        streams.version_ = config.version_;
        std::copy_if(config.routes_.begin(), config.routes_.end(), std::back_inserter(streams.routes_),
            [](const Route& route) { return route.isStream_; });
        return streams;
    }

    bool counts(const RecentRoutes& routes, MonotonicTime now)
    {
        return !routes.replacedAt_ || now <= *routes.replacedAt_ + replacedRetention;
    }

    void dropOld(RouteHistory& history, MonotonicTime now)
    {
        while (!history.oldestFirst_.empty() && !counts(history.oldestFirst_.front(), now))
            history.oldestFirst_.pop_front();
        if (history.oldestFirst_.size() <= maxRecentRoutes)
            return;
        history.oldestFirst_.pop_front();
        restartCoverage(history, now);
    }

} // namespace

std::uint64_t serviceKey(const CallTags& tags)
{
    return hashOf(tags.program_.empty() ? tags.attempt_.value_ : tags.program_.value_);
}

StreamPlace placeOf(const HttpHead& request, const CallTags& tags)
{
    const std::string* host = findHeader(request, "Host");
    StreamPlace place { host ? *host : std::string(), std::string(pathOf(request)), serviceKey(tags) };
    bool isTakenUp = !tags.lastEvent_.empty();
    if (tags.program_.empty() && isTakenUp)
        place.key_ = tags.resumes_.empty() ? std::nullopt : std::optional(hashOf(tags.resumes_.value_));
    return place;
}

void recordRoutes(RouteHistory& history, const ServingConfig& config, MonotonicTime now)
{
    auto& recent = history.oldestFirst_;
    ServingConfig streams = streamRoutesOf(config);
    if (!recent.empty()) {
        const auto& routes = recent.back().config_.routes_;
        if (std::equal(
                routes.begin(), routes.end(), streams.routes_.begin(), streams.routes_.end(), isSameRoute)) {
            recent.back().lastVersion_ = config.version_;
            return;
        }
        recent.back().replacedAt_ = now;
    }
    recent.push_back({ std::move(streams), config.version_, std::nullopt });
    ++history.generation_;
    dropOld(history, now);
}

void restartCoverage(RouteHistory& history, MonotonicTime now)
{
    history.coveredSince_ = now;
    history.coveredFrom_ = history.oldestFirst_.empty() ? 0 : history.oldestFirst_.back().lastVersion_;
}

bool isCovered(const RouteHistory& history, Milliseconds retention, MonotonicTime now)
{
    return history.coveredSince_ && *history.coveredSince_ + retention <= now;
}

std::optional<std::uint64_t> coveredFrom(
    const RouteHistory& history, Milliseconds retention, MonotonicTime now)
{
    if (!isCovered(history, retention, now))
        return std::nullopt;
    for (const RecentRoutes& routes : history.oldestFirst_) {
        if (counts(routes, now))
            return routes.lastVersion_;
    }
    return std::nullopt;
}

std::set<ServiceId> possibleServices(const RouteHistory& history, const StreamPlace& place, MonotonicTime now)
{
    std::set<ServiceId> services;
    for (const RecentRoutes& routes : history.oldestFirst_) {
        const Route* route
            = counts(routes, now) ? findRoute(routes.config_, place.host_, place.path_) : nullptr;
        if (!route)
            continue;
        if (place.key_) {
            services.insert(chooseService(*route, *place.key_));
            continue;
        }
        for (const WeightedService& entry : route->services_) {
            if (entry.weight_ > 0)
                services.insert(entry.service_);
        }
    }
    services.erase(ServiceId {});
    return services;
}

} // namespace fescue
