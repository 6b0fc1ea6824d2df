#pragma once

/** \file
 * Manifest: what operators declare, as plain structs filled by a parse function.
 *
 * A manifest is made of sections, each owned by one team and named `<kind>/<name>`, for example
 * `workspaces/kalamaris` or `pools/agent-llm-a`. Sections are the unit of change: ConfigFold.h decides
 * which changes are accepted. See docs/OPERATIONS.md for each member.
 */

#include "Problem.h"
#include "Types.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace fescue {

/** Callers of one organisation: keys, budgets, share. */
struct Workspace {
    WorkspaceId id_;
    std::vector<std::string> keyDigests_; ///< SHA-256 of each API key, in hex.
    TokenCount defaultBudget_ { 200000 }; ///< Of a program that does not ask for one.
    TokenCount maxBudget_ { 2000000 }; ///< Most that one program may ask for.
    double weight_ = 1; ///< Share of a busy pool relative to other workspaces.
};

/** A model that callers may name. */
struct Model {
    ModelId id_;
    TokenCount defaultMaxTokens_ { 512 }; ///< When the call names none.
    TokenCount contextLimit_ { 480000 };
};

/** One kind of call of a plain service. */
struct ServiceCallRule {
    std::string method_;
    std::string pathPrefix_;
    bool isRepeatable_ = false;
};

/** A plain service. Calls without a rule are repeatable only when their method is GET or HEAD. */
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
    bool checksFencing_ = false; ///< It refuses orders with an old fencing number.
    bool isLeaving_ = false; ///< It gets no new work.
    std::uint32_t slots_ = 0; ///< Calls that it runs at once; 0 when unknown.
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

/** A fault in a manifest: where, and what to write instead. */
struct ManifestError {
    std::string section_;
    std::string detail_;
};

/** Sections by name, each a JSON object. */
using Sections = std::map<std::string, nlohmann::json>;

/** Parses and checks all sections together. Pure. Errors: `ManifestError` for the first fault, in the order
 * of the section names. */
tl::expected<Manifest, ManifestError> parseManifest(const Sections& sections);

/** Whether a call of a service may be sent more than once. Pure. */
bool isRepeatable(const Service& service, const std::string& method, const std::string& path);

/** The workspace that an API key belongs to; the empty id when it is nobody's. Pure. */
WorkspaceId workspaceOfKey(const Manifest& manifest, const std::string& key);

} // namespace fescue
