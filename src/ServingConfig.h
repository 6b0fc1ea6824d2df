#pragma once

/** \file
 * ServingConfig: the operator's configuration on the platform: which request goes to which service, and how.
 */

#include "Types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

/** A service and its share of a route's requests. */
struct WeightedService {
    ServiceId service_;
    double weight_ = 1;
};

/** What may be done with a request more than once. */
enum class Repeatability {
    Repeatable, ///< Any number of runs does no harm.
    AtMostOnce, ///< It must not be sent again once a target may have begun to run it.
};

/** One route. */
struct Route {
    std::string name_;
    std::string host_; ///< In lower case, without a port.
    std::string prefix_; ///< Of the path; begins and ends with a slash.
    std::vector<WeightedService> services_;
    Repeatability repeatability_ = Repeatability::AtMostOnce;
    bool isStream_ = false; ///< Answers with server-sent events.
    bool isTurn_ = false; ///< Its requests are turns of programs.
    Milliseconds timeout_ { 30000 }; ///< Longest time that a caller is kept waiting.
    Milliseconds latencyObjective_ { 1000 }; ///< To the answer, or to the first event of a stream.
    std::uint32_t maxAttempts_ = 1; ///< Targets that one request may run on.
    std::uint32_t priority_ = 0; ///< 0 is the most important.
    Milliseconds programRetention_ { 0 }; ///< How long after a turn its program may come back.
};

/** What all targets of a service have in common. */
struct ServiceTraits {
    ServiceId id_;
    bool isModel_ = false; ///< Its targets are model engines.
    std::uint32_t slots_ = 0; ///< Calls that an engine runs at once; 0 when unknown.
    TokenCount tokensPerEvent_ { 1 }; ///< Generated tokens in one event of a stream.
    TokenCount kvCapacity_; ///< Tokens that an engine can hold.
};

/** Bounds on what callers send. */
struct CallerLimits {
    std::size_t maxHeadBytes_ = 16 * 1024;
    std::size_t maxBodyBytes_ = 8 * 1024 * 1024;
    Milliseconds headTimeout_ { 10000 };
    Milliseconds idleTimeout_ { 60000 };
};

/** One version of the configuration. */
struct ServingConfig {
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::map<ServiceId, ServiceTraits> services_;
    CallerLimits limits_;
};

/** The route with the longest prefix among those of a host; null when there is none. Pure.
 *
 * `host` is a Host header as sent: case and port do not count. */
const Route* findRoute(const ServingConfig& config, std::string_view host, std::string_view path);

/** The service for a request of a route, by weight. Pure. `key` decides: the same key keeps its service for
 * as long as the weights do not change. Empty when the route names no service. */
ServiceId chooseService(const Route& route, std::uint64_t key);

} // namespace fescue
