#include "ConfigFold.h"

#include <algorithm>

namespace fescue {

using nlohmann::json;

namespace {

    constexpr std::size_t maxNameBytes = 200;
    constexpr std::size_t maxDetailBytes = 1000;
    constexpr int maxNestingDepth = 32;

    // Cuts at a UTF-8 character boundary, because the text goes into JSON documents.
    std::string truncated(std::string text)
    {
        if (text.size() <= maxDetailBytes)
            return text;
        std::size_t end = maxDetailBytes;
        while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
            --end;
        text.resize(end);
        return text;
    }

    PublicationVerdict rejected(LogOffset offset, std::string author, std::string detail)
    {
        return { offset, std::move(author), false, truncated(std::move(detail)) };
    }

    ManifestError manifestError(std::string detail) { return { "manifest", std::move(detail) }; }

    // Copying a deeply nested document recurses, so the depth is checked while parsing.
    tl::expected<json, ManifestError> parseEntry(const std::string& entry)
    {
        if (entry.size() > maxPublicationBytes)
            return tl::make_unexpected(
                manifestError("larger than 4 MiB; split it into several publications"));
        bool isTooDeep = false;
        auto checkDepth = [&isTooDeep](int depth, json::parse_event_t, json&) {
            isTooDeep = isTooDeep || depth > maxNestingDepth;
            return !isTooDeep;
        };
        json document = json::parse(entry, checkDepth, false);
        if (isTooDeep)
            return tl::make_unexpected(manifestError("nested more than 32 levels deep"));
        if (!document.is_object())
            return tl::make_unexpected(manifestError("not a JSON object; publish with `fescuectl publish`"));
        return document;
    }

    // The first error in the structure of a publication; empty when it is well-formed.
    std::string findFormError(const json& document)
    {
        static const std::vector<std::string> members { "author", "built_on", "sections", "remove" };
        if (!document.is_object())
            return "a publication must be an object";
        for (const auto& [name, value] : document.items()) {
            if (std::find(members.begin(), members.end(), name) == members.end())
                return "unknown member \"" + name + "\"; remove it or correct its name";
        }
        if (!document.contains("sections") || !document["sections"].is_object())
            return "\"sections\" must be an object; leave it empty to change nothing";
        const json builtOn = document.value("built_on", json::object());
        if (!builtOn.is_object())
            return "\"built_on\" must be an object";
        for (const auto& [section, version] : builtOn.items()) {
            // Numbers from a YAML file are signed.
            if (!version.is_number_integer() || version < 0)
                return "\"built_on\" of " + section + " must be a whole number from 0";
        }
        return {};
    }

    std::string findNameError(const Publication& publication)
    {
        if (publication.author_.size() > maxNameBytes)
            return "\"author\" is longer than 200 bytes";
        for (const auto& [section, object] : publication.sections_) {
            if (section.size() > maxNameBytes)
                return "the name of a section is longer than 200 bytes";
        }
        for (const std::string& section : publication.remove_) {
            if (publication.sections_.count(section))
                return "section " + section + " is in both \"sections\" and \"remove\"; delete one of them";
        }
        return {};
    }

    std::uint64_t versionOf(const Config& config, const std::string& section)
    {
        auto found = config.sectionVersions_.find(section);
        return found == config.sectionVersions_.end() ? 0 : found->second;
    }

    std::uint64_t builtOnVersion(const Publication& publication, const std::string& section)
    {
        auto found = publication.builtOn_.find(section);
        return found == publication.builtOn_.end() ? 0 : found->second;
    }

    std::string conflictText(const Config& config, const std::string& section, std::uint64_t built)
    {
        return "section " + section + " is at version " + std::to_string(versionOf(config, section))
            + " and the manifest was built on " + std::to_string(built)
            + "; get the current one with `fescuectl fetch`, merge your change, and publish it with its "
              "built_on";
    }

    bool isUnchanged(const Config& config, const std::string& section, const json& object)
    {
        auto found = config.sections_.find(section);
        return found != config.sections_.end() && found->second == object;
    }

    // The sections that differ from the configuration, or the version conflict that rejects the publication.
    tl::expected<std::vector<std::string>, std::string> findChangedSections(
        const Config& config, const Publication& publication)
    {
        std::vector<std::string> changed;
        for (const auto& [section, object] : publication.sections_) {
            if (isUnchanged(config, section, object))
                continue;
            if (versionOf(config, section) != builtOnVersion(publication, section))
                return tl::make_unexpected(
                    conflictText(config, section, builtOnVersion(publication, section)));
            changed.push_back(section);
        }
        for (const std::string& section : publication.remove_) {
            if (!config.sections_.count(section))
                continue;
            if (versionOf(config, section) != builtOnVersion(publication, section))
                return tl::make_unexpected(
                    conflictText(config, section, builtOnVersion(publication, section)));
            changed.push_back(section);
        }
        return changed;
    }

    PublicationVerdict applyPublication(Config& config, LogOffset offset, const Publication& publication)
    {
        auto changed = findChangedSections(config, publication);
        if (!changed)
            return rejected(offset, publication.author_, changed.error());
        Sections next = config.sections_;
        for (const auto& [section, object] : publication.sections_)
            next[section] = object;
        for (const std::string& section : publication.remove_)
            next.erase(section);
        auto manifest = parseManifest(next);
        if (!manifest)
            return rejected(offset, publication.author_,
                "section " + manifest.error().section_ + ": " + manifest.error().detail_);
        config.sections_ = std::move(next);
        config.manifest_ = std::move(*manifest);
        config.version_ = offset;
        for (const std::string& section : *changed)
            config.sectionVersions_[section] = offset.value_;
        return { offset, publication.author_, true, "accepted" };
    }

    // All software versions must recognize this form in the same way.
    bool isRulesUpgrade(const json& document, const Config& config)
    {
        bool hasForm = document.size() == 2 && document.contains("author") && document["author"].is_string()
            && document.contains("rules") && document["rules"].is_number_unsigned();
        return hasForm && document["rules"].get<std::uint64_t>() == config.rulesVersion_ + 1;
    }

    PublicationVerdict upgradeRules(Config& config, LogOffset offset, const json& document)
    {
        ++config.rulesVersion_;
        config.version_ = offset;
        return { offset, truncated(document["author"].get<std::string>()), true, "accepted" };
    }

    PublicationVerdict applyEntry(
        Config& config, LogOffset offset, const tl::expected<json, ManifestError>& document)
    {
        auto publication = document ? parsePublication(*document) : tl::make_unexpected(document.error());
        if (!publication)
            return rejected(offset, "unknown", publication.error().detail_);
        return applyPublication(config, offset, *publication);
    }

} // namespace

tl::expected<Publication, ManifestError> parsePublication(const json& document)
{
    std::string formError = findFormError(document);
    if (!formError.empty())
        return tl::make_unexpected(manifestError(formError));
    try {
        Publication publication;
        publication.author_ = document.value("author", std::string("unknown"));
        publication.sections_ = document.at("sections").get<Sections>();
        if (document.contains("built_on"))
            publication.builtOn_ = document["built_on"].get<std::map<std::string, std::uint64_t>>();
        if (document.contains("remove"))
            publication.remove_ = document["remove"].get<std::vector<std::string>>();
        std::string nameError = findNameError(publication);
        if (!nameError.empty())
            return tl::make_unexpected(manifestError(nameError));
        return publication;
    } catch (const json::exception& error) {
        return tl::make_unexpected(ManifestError { "manifest", error.what() });
    }
}

PublicationVerdict applyPublication(
    Config& config, LogOffset offset, const std::string& entry, std::uint64_t supportedRules)
{
    auto document = parseEntry(entry);
    bool upgradesRules = document && isRulesUpgrade(*document, config);
    if (upgradesRules && config.rulesVersion_ + 1 > supportedRules)
        config.blockedAt_ = offset;
    if (config.blockedAt_.value_ != 0)
        return rejected(offset, "unknown", "requires rules that this software does not support; upgrade it");
    config.lastReadOffset_ = offset;
    PublicationVerdict verdict
        = upgradesRules ? upgradeRules(config, offset, *document) : applyEntry(config, offset, document);
    config.recentVerdicts_.push_back(verdict);
    if (config.recentVerdicts_.size() > maxRecentVerdicts)
        config.recentVerdicts_.erase(config.recentVerdicts_.begin());
    return verdict;
}

json toJson(const Config& config)
{
    json recent = json::array();
    for (const PublicationVerdict& verdict : config.recentVerdicts_)
        recent.push_back({ { "offset", verdict.offset_.value_ }, { "author", verdict.author_ },
            { "accepted", verdict.isAccepted_ }, { "detail", verdict.detail_ } });
    return { { "version", config.version_.value_ }, { "read_to", config.lastReadOffset_.value_ },
        { "rules", config.rulesVersion_ }, { "blocked_at", config.blockedAt_.value_ },
        { "sections", config.sections_ }, { "section_versions", config.sectionVersions_ },
        { "recent", std::move(recent) } };
}

tl::expected<Config, ManifestError> parseConfig(const json& document)
{
    try {
        Config config;
        config.version_ = { document.at("version").get<std::uint64_t>() };
        config.lastReadOffset_ = { document.at("read_to").get<std::uint64_t>() };
        config.rulesVersion_ = document.at("rules").get<std::uint64_t>();
        if (config.rulesVersion_ > maxSupportedRules)
            return tl::make_unexpected(
                ManifestError { "config", "requires unsupported rules; upgrade the software" });
        config.sections_ = document.at("sections").get<Sections>();
        config.sectionVersions_ = document.at("section_versions").get<std::map<std::string, std::uint64_t>>();
        for (const json& verdict : document.at("recent"))
            config.recentVerdicts_.push_back(
                { { verdict.at("offset").get<std::uint64_t>() }, verdict.at("author").get<std::string>(),
                    verdict.at("accepted").get<bool>(), verdict.at("detail").get<std::string>() });
        auto manifest = parseManifest(config.sections_);
        if (!manifest)
            return tl::make_unexpected(manifest.error());
        config.manifest_ = std::move(*manifest);
        return config;
    } catch (const json::exception& error) {
        return tl::make_unexpected(ManifestError { "config", error.what() });
    }
}

} // namespace fescue
