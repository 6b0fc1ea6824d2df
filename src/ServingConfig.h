#pragma once

/** \file
 * ServingConfig: the operator's configuration of routes and services, which entry VMs read from the platform.
 */

#include "Types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

/** A service and its weight among the services of a route. */
struct WeightedService {
    ServiceId service_;
    double weight_ = 1;
};

/** Whether a request may run more than once. */
enum class Repeatability {
    Repeatable, ///< Idempotent: may be retried after any failure.
    AtMostOnce, ///< Must not be retried once a target may have started it.
};

/** A route: which requests it matches and how they are served. */
struct Route {
    std::string name_;
    std::string host_; ///< In lower case, without a port.
    std::string prefix_; ///< Path prefix; begins and ends with a slash.
    std::vector<WeightedService> services_;
    Repeatability repeatability_ = Repeatability::AtMostOnce;
    bool isStream_ = false; ///< Responses are streams of server-sent events.
    bool isTurn_ = false; ///< Its requests are turns of programs.
    bool hasAffinity_ = false; ///< A target that has recently handled the object of a request is faster.
    bool isPublic_ = false; ///< Its requests need no key of a workspace.
    bool keepsTurns_ = false; ///< Turns have only new input; the system adds the text of earlier ones.
    Milliseconds timeout_ { 30000 }; ///< For the whole request.
    Milliseconds latencyObjective_ { 1000 }; ///< Until the response, or until the first event of a stream.
    std::uint32_t maxAttempts_ = 1; ///< Attempts of one request that may have run on a target.
    std::uint32_t priority_ = 0; ///< 0 is the most important.
    Milliseconds programRetention_ { 0 }; ///< How long the state of an idle program is kept after a turn.
};

/** Properties that all targets of a service share. */
struct ServiceTraits {
    ServiceId id_;
    bool isModel_ = false; ///< Its targets are model engines.
    std::uint32_t slots_ = 0; ///< Calls that an engine runs concurrently; 0 when unknown.
    TokenCount tokensPerEvent_ { 1 }; ///< Tokens generated for each event of a stream.
    TokenCount kvCapacity_; ///< Capacity of an engine's KV cache.
};

/** Limits on callers' requests. */
struct CallerLimits {
    std::size_t maxHeadBytes_ = 16 * 1024;
    std::size_t maxBodyBytes_ = 8 * 1024 * 1024;
    Milliseconds headTimeout_ { 10000 };
    Milliseconds idleTimeout_ { 60000 };
};

/** The rank of a workspace, and its cap over all VMs. */
struct WorkspaceTerms {
    std::uint32_t priority_ = 0; ///< 0 is the most important; precedes the priority of routes.
    double ratePerSecond_ = 0; ///< Requests; 0 for no cap.
    double burst_ = 0; ///< Requests beyond the rate.
};

/** One version of the configuration. */
struct ServingConfig {
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::map<ServiceId, ServiceTraits> services_;
    /** Whether callers belong to workspaces and authenticate by keys, except on public routes. */
    bool hasWorkspaces_ = false;
    std::map<WorkspaceId, WorkspaceTerms> workspaces_;
    /** The workspace of each key. Keys are secret: never log them or send them to other processes. */
    std::map<std::string, WorkspaceId> workspaceOfKey_;
    CallerLimits limits_;
};

/** The route with the longest prefix among those of a host; null when there is none. Pure.
 *
 * `host` is the value of a Host header; its case and port are ignored. */
const Route* findRoute(const ServingConfig& config, std::string_view host, std::string_view path);

/** Chooses a service of a route by weight. The same key gets the same service as long as the weights do not
 * change. Empty when no service has a positive weight. Pure. */
ServiceId chooseService(const Route& route, std::uint64_t key);

} // namespace fescue
