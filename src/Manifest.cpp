#include "Manifest.h"

#include "Digest.h"
#include "ProgramId.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace fescue {

using nlohmann::json;

namespace {

    // A fault found while parsing; turned into a `ManifestError` before it leaves this file.
    struct Fault {
        std::string detail_;
    };

    void allowOnly(const json& object, const std::set<std::string>& members)
    {
        if (!object.is_object())
            throw Fault { "must be an object" };
        for (const auto& [name, value] : object.items()) {
            if (!members.count(name))
                throw Fault { "unknown member \"" + name + "\"; remove it or correct its name" };
        }
    }

    std::string textAt(const json& object, const char* member)
    {
        auto found = object.find(member);
        if (found == object.end() || !found->is_string() || found->get<std::string>().empty())
            throw Fault { std::string("\"") + member + "\" must be a non-empty string" };
        return found->get<std::string>();
    }

    std::int64_t positiveAt(const json& object, const char* member, std::int64_t fallback)
    {
        auto found = object.find(member);
        if (found == object.end())
            return fallback;
        constexpr std::int64_t largest = 1000000000000;
        if (!found->is_number_integer() || found->get<std::int64_t>() < 1
            || found->get<std::int64_t>() > largest)
            throw Fault { std::string("\"") + member + "\" must be a whole number from 1 to 10^12" };
        return found->get<std::int64_t>();
    }

    bool flagAt(const json& object, const char* member)
    {
        auto found = object.find(member);
        if (found == object.end())
            return false;
        if (!found->is_boolean())
            throw Fault { std::string("\"") + member + "\" must be true or false" };
        return found->get<bool>();
    }

    const json& listAt(const json& object, const char* member)
    {
        static const json none = json::array();
        auto found = object.find(member);
        if (found == object.end())
            return none;
        if (!found->is_array())
            throw Fault { std::string("\"") + member + "\" must be a list" };
        return *found;
    }

    Workspace parseWorkspace(const std::string& name, const json& object)
    {
        allowOnly(object, { "key_sha256", "default_budget", "max_budget", "weight" });
        Workspace workspace;
        workspace.id_ = { name };
        for (const json& digest : listAt(object, "key_sha256")) {
            if (!digest.is_string() || digest.get<std::string>().size() != sha256Hex("").size())
                throw Fault {
                    "each of \"key_sha256\" must be 64 hex digits; `fescuectl hash_key` prints them"
                };
            workspace.keyDigests_.push_back(digest.get<std::string>());
        }
        workspace.defaultBudget_ = { positiveAt(object, "default_budget", workspace.defaultBudget_.value_) };
        workspace.maxBudget_ = { positiveAt(object, "max_budget", workspace.maxBudget_.value_) };
        if (workspace.defaultBudget_ > workspace.maxBudget_)
            throw Fault { "\"default_budget\" must not be larger than \"max_budget\"" };
        if (object.contains("weight")) {
            if (!object["weight"].is_number() || object["weight"].get<double>() <= 0)
                throw Fault { "\"weight\" must be a number above 0" };
            workspace.weight_ = object["weight"].get<double>();
        }
        return workspace;
    }

    Model parseModel(const std::string& name, const json& object)
    {
        allowOnly(object, { "default_max_tokens", "context_limit" });
        Model model;
        model.id_ = { name };
        model.defaultMaxTokens_
            = { positiveAt(object, "default_max_tokens", model.defaultMaxTokens_.value_) };
        model.contextLimit_ = { positiveAt(object, "context_limit", model.contextLimit_.value_) };
        return model;
    }

    Service parseService(const std::string& name, const json& object)
    {
        allowOnly(object, { "calls", "timeout_ms" });
        Service service;
        service.id_ = { name };
        service.timeout_ = Milliseconds { positiveAt(object, "timeout_ms", service.timeout_.count()) };
        for (const json& rule : listAt(object, "calls")) {
            allowOnly(rule, { "method", "path_prefix", "repeatable" });
            service.calls_.push_back(
                { textAt(rule, "method"), textAt(rule, "path_prefix"), flagAt(rule, "repeatable") });
        }
        return service;
    }

    Target parseTarget(const json& pool, const json& object)
    {
        allowOnly(object, { "id", "url", "leaving" });
        Target target;
        target.id_ = { textAt(object, "id") };
        target.url_ = textAt(object, "url");
        if (target.url_.rfind("http://", 0) != 0 && target.url_.rfind("https://", 0) != 0)
            throw Fault { "\"url\" of target " + target.id_.value_ + " must begin with http:// or https://" };
        if (target.url_.back() == '/')
            target.url_.pop_back();
        target.isLeaving_ = flagAt(object, "leaving");
        target.zone_ = { textAt(pool, "zone") };
        target.checksFencing_ = flagAt(pool, "checks_fencing");
        return target;
    }

    void parsePool(const json& pool, Manifest& manifest)
    {
        allowOnly(pool, { "zone", "models", "service", "checks_fencing", "targets" });
        if (!isZoneName(textAt(pool, "zone")))
            throw Fault { "\"zone\" must be 1 to 40 of a-z, 0-9 and -" };
        bool isService = pool.contains("service");
        if (isService == pool.contains("models"))
            throw Fault { "a pool has either \"models\" or \"service\"" };
        for (const json& object : listAt(pool, "targets")) {
            Target target = parseTarget(pool, object);
            if (isService)
                target.service_ = { textAt(pool, "service") };
            for (const json& model : listAt(pool, "models"))
                target.models_.push_back({ model.is_string() ? model.get<std::string>() : std::string() });
            if (!manifest.targets_.emplace(target.id_, target).second)
                throw Fault { "target " + target.id_.value_ + " is declared twice; give each its own id" };
        }
    }

    void checkReferences(const Manifest& manifest, const json& pool)
    {
        for (const json& model : listAt(pool, "models")) {
            if (!model.is_string() || !manifest.models_.count({ model.get<std::string>() }))
                throw Fault { "model " + model.dump() + " has no section models/<name>" };
        }
        if (pool.contains("service") && !manifest.services_.count({ textAt(pool, "service") }))
            throw Fault { "service " + pool["service"].dump() + " has no section services/<name>" };
    }

    void parseSection(
        const std::string& kind, const std::string& name, const json& object, Manifest& manifest)
    {
        if (name.empty() || name.find('/') != std::string::npos)
            throw Fault { "sections are named <kind>/<name>" };
        if (kind == "workspaces")
            manifest.workspaces_[{ name }] = parseWorkspace(name, object);
        else if (kind == "models")
            manifest.models_[{ name }] = parseModel(name, object);
        else if (kind == "services")
            manifest.services_[{ name }] = parseService(name, object);
        else if (kind == "pools")
            parsePool(object, manifest);
        else
            throw Fault { "unknown kind \"" + kind + "\"; use workspaces, models, services or pools" };
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
        } catch (const Fault& fault) {
            return tl::make_unexpected(ManifestError { section, fault.detail_ });
        }
    }
    for (const auto& [section, object] : sections) {
        try {
            if (section.rfind("pools/", 0) == 0)
                checkReferences(manifest, object);
        } catch (const Fault& fault) {
            return tl::make_unexpected(ManifestError { section, fault.detail_ });
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
        bool isOne = std::any_of(workspace.keyDigests_.begin(), workspace.keyDigests_.end(),
            [&digest](const std::string& known) { return equalDigests(known, digest); });
        if (isOne)
            return id;
    }
    return {};
}

} // namespace fescue
