#pragma once

/** \file
 * Manifest: configuration declared by operators, parsed into plain structs.
 *
 * A manifest consists of sections, each owned by one team and named `<kind>/<name>`, for example
 * `workspaces/kalamaris` or `pools/agent-llm-a`. Sections are the unit of change: ConfigFold.h decides
 * which changes are accepted. docs/OPERATIONS.md describes each member.
 */

#include "Problem.h"
#include "Types.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace fescue {

/** Callers of one organisation: API keys, token budgets and scheduling weight. */
struct Workspace {
    WorkspaceId id_;
    std::vector<std::string> keyDigests_; ///< SHA-256 of each API key, in hex.
    TokenCount defaultBudget_ { 200000 }; ///< Budget of a program that does not request one.
    TokenCount maxBudget_ { 2000000 }; ///< Largest budget that a program may request.
    double weight_ = 1; ///< Share of a saturated pool, relative to other workspaces.
};

/** A model that callers may name. */
struct Model {
    ModelId id_;
    TokenCount defaultMaxTokens_ { 512 }; ///< Used when a call sets no limit.
    TokenCount contextLimit_ { 480000 };
};

/** Rule for one kind of call to a tool service. */
struct ServiceCallRule {
    std::string method_;
    std::string pathPrefix_;
    bool isRepeatable_ = false;
};

/** A tool service. Calls without a matching rule are repeatable only if their method is GET or HEAD. */
struct Service {
    ServiceId id_;
    std::vector<ServiceCallRule> calls_;
    Milliseconds timeout_ { 30000 };
};

/** One model engine or service instance. */
struct Target {
    TargetId id_;
    std::string url_;
    ZoneId zone_;
    bool checksFencing_ = false; ///< It rejects requests with a stale fencing token.
    bool isLeaving_ = false; ///< It is draining and receives no new calls.
    std::uint32_t slots_ = 0; ///< Number of concurrent calls; 0 when unknown.
    SoftwareVersion version_; ///< Empty when unknown.
    std::vector<ModelId> models_;
    ServiceId service_; ///< Empty for a model engine.
};

/** All accepted sections together. */
struct Manifest {
    std::map<WorkspaceId, Workspace> workspaces_;
    std::map<ModelId, Model> models_;
    std::map<ServiceId, Service> services_;
    std::map<TargetId, Target> targets_;
};

/** An error in a manifest: its section, and the correction. */
struct ManifestError {
    std::string section_;
    std::string detail_;
};

/** Sections by name, each a JSON object. */
using Sections = std::map<std::string, nlohmann::json>;

/** Parses and validates all sections together. Pure. Errors: `ManifestError` for the first error, in the
 * order of the section names. */
tl::expected<Manifest, ManifestError> parseManifest(const Sections& sections);

/** Whether a call of a service may be sent more than once. Pure. */
bool isRepeatable(const Service& service, const std::string& method, const std::string& path);

/** The workspace that an API key belongs to; the empty id for an unknown key. Pure. */
WorkspaceId workspaceOfKey(const Manifest& manifest, const std::string& key);

} // namespace fescue
