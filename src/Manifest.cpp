#include "Manifest.h"

#include "Digest.h"
#include "ProgramId.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace fescue {

using nlohmann::json;

namespace {

    // An error found while parsing, converted to a `ManifestError` before it leaves this file.
    struct ParseError {
        std::string detail_;
    };

    void requireKnownMembers(const json& object, const std::set<std::string>& members)
    {
        if (!object.is_object())
            throw ParseError { "must be an object" };
        for (const auto& [name, value] : object.items()) {
            if (!members.count(name))
                throw ParseError { "unknown member \"" + name + "\"; remove it or correct its name" };
        }
    }

    std::string readString(const json& object, const char* member)
    {
        auto found = object.find(member);
        if (found == object.end() || !found->is_string() || found->get<std::string>().empty())
            throw ParseError { std::string("\"") + member + "\" must be a non-empty string" };
        return found->get<std::string>();
    }

    std::int64_t readPositive(const json& object, const char* member, std::int64_t fallback)
    {
        auto found = object.find(member);
        if (found == object.end())
            return fallback;
        constexpr std::int64_t maxValue = 1000000000000;
        if (!found->is_number_integer() || found->get<std::int64_t>() < 1
            || found->get<std::int64_t>() > maxValue)
            throw ParseError { std::string("\"") + member + "\" must be a whole number from 1 to 10^12" };
        return found->get<std::int64_t>();
    }

    bool readFlag(const json& object, const char* member)
    {
        auto found = object.find(member);
        if (found == object.end())
            return false;
        if (!found->is_boolean())
            throw ParseError { std::string("\"") + member + "\" must be true or false" };
        return found->get<bool>();
    }

    const json& readList(const json& object, const char* member)
    {
        static const json none = json::array();
        auto found = object.find(member);
        if (found == object.end())
            return none;
        if (!found->is_array())
            throw ParseError { std::string("\"") + member + "\" must be a list" };
        return *found;
    }

    Workspace parseWorkspace(const std::string& name, const json& object)
    {
        requireKnownMembers(object, { "key_sha256", "default_budget", "max_budget", "weight" });
        Workspace workspace;
        workspace.id_ = { name };
        for (const json& digest : readList(object, "key_sha256")) {
            if (!digest.is_string() || digest.get<std::string>().size() != sha256Hex("").size())
                throw ParseError {
                    "each of \"key_sha256\" must be 64 hex digits; `fescuectl hash_key` prints them"
                };
            workspace.keyDigests_.push_back(digest.get<std::string>());
        }
        workspace.defaultBudget_
            = { readPositive(object, "default_budget", workspace.defaultBudget_.value_) };
        workspace.maxBudget_ = { readPositive(object, "max_budget", workspace.maxBudget_.value_) };
        if (workspace.defaultBudget_ > workspace.maxBudget_)
            throw ParseError { "\"default_budget\" must not be larger than \"max_budget\"" };
        if (object.contains("weight")) {
            if (!object["weight"].is_number() || object["weight"].get<double>() <= 0)
                throw ParseError { "\"weight\" must be a number above 0" };
            workspace.weight_ = object["weight"].get<double>();
        }
        return workspace;
    }

    Model parseModel(const std::string& name, const json& object)
    {
        requireKnownMembers(object, { "default_max_tokens", "context_limit" });
        Model model;
        model.id_ = { name };
        model.defaultMaxTokens_
            = { readPositive(object, "default_max_tokens", model.defaultMaxTokens_.value_) };
        model.contextLimit_ = { readPositive(object, "context_limit", model.contextLimit_.value_) };
        return model;
    }

    Service parseService(const std::string& name, const json& object)
    {
        requireKnownMembers(object, { "calls", "timeout_ms" });
        Service service;
        service.id_ = { name };
        service.timeout_ = Milliseconds { readPositive(object, "timeout_ms", service.timeout_.count()) };
        for (const json& rule : readList(object, "calls")) {
            requireKnownMembers(rule, { "method", "path_prefix", "repeatable" });
            service.calls_.push_back({ readString(rule, "method"), readString(rule, "path_prefix"),
                readFlag(rule, "repeatable") });
        }
        return service;
    }

    Target parseTarget(const json& pool, const json& object)
    {
        requireKnownMembers(object, { "id", "url", "leaving" });
        Target target;
        target.id_ = { readString(object, "id") };
        target.url_ = readString(object, "url");
        if (target.url_.rfind("http://", 0) != 0 && target.url_.rfind("https://", 0) != 0)
            throw ParseError { "\"url\" of target " + target.id_.value_
                + " must begin with http:// or https://" };
        if (target.url_.back() == '/')
            target.url_.pop_back();
        target.isLeaving_ = readFlag(object, "leaving");
        target.zone_ = { readString(pool, "zone") };
        target.checksFencing_ = readFlag(pool, "checks_fencing");
        return target;
    }

    void parsePool(const json& pool, Manifest& manifest)
    {
        requireKnownMembers(pool, { "zone", "models", "service", "checks_fencing", "targets" });
        if (!isZoneName(readString(pool, "zone")))
            throw ParseError { "\"zone\" must be 1 to 40 of a-z, 0-9 and -" };
        bool isService = pool.contains("service");
        if (isService == pool.contains("models"))
            throw ParseError { "a pool has either \"models\" or \"service\"" };
        for (const json& object : readList(pool, "targets")) {
            Target target = parseTarget(pool, object);
            if (isService)
                target.service_ = { readString(pool, "service") };
            for (const json& model : readList(pool, "models"))
                target.models_.push_back({ model.is_string() ? model.get<std::string>() : std::string() });
            if (!manifest.targets_.emplace(target.id_, target).second)
                throw ParseError { "target " + target.id_.value_
                    + " is declared twice; give each its own id" };
        }
    }

    void checkReferences(const Manifest& manifest, const json& pool)
    {
        for (const json& model : readList(pool, "models")) {
            if (!model.is_string() || !manifest.models_.count({ model.get<std::string>() }))
                throw ParseError { "model " + model.dump() + " has no section models/<name>" };
        }
        if (pool.contains("service") && !manifest.services_.count({ readString(pool, "service") }))
            throw ParseError { "service " + pool["service"].dump() + " has no section services/<name>" };
    }

    void parseSection(
        const std::string& kind, const std::string& name, const json& object, Manifest& manifest)
    {
        if (name.empty() || name.find('/') != std::string::npos)
            throw ParseError { "sections are named <kind>/<name>" };
        if (kind == "workspaces")
            manifest.workspaces_[{ name }] = parseWorkspace(name, object);
        else if (kind == "models")
            manifest.models_[{ name }] = parseModel(name, object);
        else if (kind == "services")
            manifest.services_[{ name }] = parseService(name, object);
        else if (kind == "pools")
            parsePool(object, manifest);
        else
            throw ParseError { "unknown kind \"" + kind + "\"; use workspaces, models, services or pools" };
    }

} // namespace

tl::expected<Manifest, ManifestError> parseManifest(const Sections& sections)
{
    Manifest manifest;
    for (const auto& [section, object] : sections) {
        auto slash = section.find('/');
        std::string name = slash == std::string::npos ? std::string() : section.substr(slash + 1);
        try {
            parseSection(section.substr(0, slash), name, object, manifest);
        } catch (const ParseError& error) {
            return tl::make_unexpected(ManifestError { section, error.detail_ });
        }
    }
    for (const auto& [section, object] : sections) {
        try {
            if (section.rfind("pools/", 0) == 0)
                checkReferences(manifest, object);
        } catch (const ParseError& error) {
            return tl::make_unexpected(ManifestError { section, error.detail_ });
        }
    }
    return manifest;
}

bool isRepeatable(const Service& service, const std::string& method, const std::string& path)
{
    for (const ServiceCallRule& rule : service.calls_) {
        if (rule.method_ == method && path.rfind(rule.pathPrefix_, 0) == 0)
            return rule.isRepeatable_;
    }
    return method == "GET" || method == "HEAD";
}

WorkspaceId workspaceOfKey(const Manifest& manifest, const std::string& key)
{
    std::string digest = sha256Hex(key);
    for (const auto& [id, workspace] : manifest.workspaces_) {
        bool hasKey = std::any_of(workspace.keyDigests_.begin(), workspace.keyDigests_.end(),
            [&digest](const std::string& known) { return equalDigests(known, digest); });
        if (hasKey)
            return id;
    }
    return {};
}

} // namespace fescue
