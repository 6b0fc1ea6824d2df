#pragma once

/** \file
 * RouteHistory: at which services a stream may have begun, from the configurations that were in force lately.
 *
 * A route can be divided among several services, and its weights change. What two services write does not fit
 * together, so a stream goes on only at the service that began it. The choice of a service depends on the
 * configuration and on what all attempts of a stream have in common, so each known configuration names one
 * service, or few.
 */

#include "CallTags.h"
#include "HttpWire.h"
#include "ServingConfig.h"

#include <deque>
#include <optional>
#include <set>

namespace fescue {

/** What decides where a stream begins, under any configuration. */
struct StreamPlace {
    std::string host_;
    std::string path_;
    std::optional<std::uint64_t> key_; ///< For `chooseService`; nothing if it is not known.
};

/** Routes of streams, which were the same in a series of configurations. */
struct RecentRoutes {
    ServingConfig config_; ///< Only the routes of streams.
    std::uint64_t lastVersion_ = 0; ///< The newest configuration with these routes.
    std::optional<MonotonicTime> replacedAt_; ///< Nothing while they are in force.
};

/** The routes that were in force lately. */
struct RouteHistory {
    std::deque<RecentRoutes> oldestFirst_;
    std::uint64_t generation_ = 0; ///< Grows when routes are added.
    std::optional<MonotonicTime> coveredSince_; ///< No configuration was missed from then on.
    std::uint64_t coveredFrom_ = 0; ///< The configuration in force at that time.
};

/** The key by which the service of a request is chosen: all turns of a program go to the same service, as
 * long as the weights do not change. Pure. */
std::uint64_t serviceKey(const CallTags& tags);

/** Where a request begins a stream, or where the stream that it takes up began. Pure. */
StreamPlace placeOf(const HttpHead& request, const CallTags& tags);

/** Records a configuration that comes into force. */
void recordRoutes(RouteHistory& history, const ServingConfig& config, MonotonicTime now);

/** Records that configurations may have been missed before `now`, when the last recorded one is in force. */
void restartCoverage(RouteHistory& history, MonotonicTime now);

/** Whether no configuration of the retention period was missed. Pure. */
bool isCovered(const RouteHistory& history, Milliseconds retention, MonotonicTime now);

/** The oldest configuration that still counts, or a later one with the same routes; nothing if others may
 * have been missed. Pure. */
std::optional<std::uint64_t> coveredFrom(
    const RouteHistory& history, Milliseconds retention, MonotonicTime now);

/** The services at which a stream may have begun. VMs that do not reach the store go on with old
 * configurations, so these count for longer than streams last. Pure. */
std::set<ServiceId> possibleServices(
    const RouteHistory& history, const StreamPlace& place, MonotonicTime now);

} // namespace fescue
