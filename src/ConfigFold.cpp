#include "ConfigFold.h"

namespace fescue {

using nlohmann::json;

namespace {

    PublicationVerdict rejected(LogOffset offset, std::string author, std::string detail)
    {
        return { offset, std::move(author), false, std::move(detail) };
    }

    std::uint64_t versionOf(const Config& config, const std::string& section)
    {
        auto found = config.sectionVersions_.find(section);
        return found == config.sectionVersions_.end() ? 0 : found->second;
    }

    std::uint64_t builtOn(const Publication& publication, const std::string& section)
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

    // The sections that the publication really changes, or the conflict that rejects it.
    tl::expected<std::vector<std::string>, std::string> changesOf(
        const Config& config, const Publication& publication)
    {
        std::vector<std::string> changed;
        for (const auto& [section, object] : publication.sections_) {
            if (isUnchanged(config, section, object))
                continue;
            if (versionOf(config, section) != builtOn(publication, section))
                return tl::make_unexpected(conflictText(config, section, builtOn(publication, section)));
            changed.push_back(section);
        }
        for (const std::string& section : publication.remove_) {
            if (!config.sections_.count(section))
                continue;
            if (versionOf(config, section) != builtOn(publication, section))
                return tl::make_unexpected(conflictText(config, section, builtOn(publication, section)));
            changed.push_back(section);
        }
        return changed;
    }

    PublicationVerdict judge(Config& config, LogOffset offset, const Publication& publication)
    {
        auto changed = changesOf(config, publication);
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

} // namespace

tl::expected<Publication, ManifestError> parsePublication(const json& document)
{
    try {
        Publication publication;
        publication.author_ = document.value("author", std::string("unknown"));
        publication.sections_ = document.at("sections").get<Sections>();
        if (document.contains("built_on"))
            publication.builtOn_ = document["built_on"].get<std::map<std::string, std::uint64_t>>();
        if (document.contains("remove"))
            publication.remove_ = document["remove"].get<std::vector<std::string>>();
        return publication;
    } catch (const json::exception& error) {
        return tl::make_unexpected(ManifestError { "manifest", error.what() });
    }
}

PublicationVerdict foldPublication(Config& config, LogOffset offset, const std::string& entry)
{
    config.readTo_ = offset;
    auto document = json::parse(entry, nullptr, false);
    auto publication = parsePublication(document);
    PublicationVerdict verdict = publication ? judge(config, offset, *publication)
                                             : rejected(offset, "unknown", publication.error().detail_);
    config.recent_.push_back(verdict);
    if (config.recent_.size() > verdictsKept)
        config.recent_.erase(config.recent_.begin());
    return verdict;
}

json toJson(const Config& config)
{
    json recent = json::array();
    for (const PublicationVerdict& verdict : config.recent_)
        recent.push_back({ { "offset", verdict.offset_.value_ }, { "author", verdict.author_ },
            { "accepted", verdict.isAccepted_ }, { "detail", verdict.detail_ } });
    return { { "version", config.version_.value_ }, { "read_to", config.readTo_.value_ },
        { "sections", config.sections_ }, { "section_versions", config.sectionVersions_ },
        { "recent", std::move(recent) } };
}

tl::expected<Config, ManifestError> parseConfig(const json& document)
{
    try {
        Config config;
        config.version_ = { document.at("version").get<std::uint64_t>() };
        config.readTo_ = { document.at("read_to").get<std::uint64_t>() };
        config.sections_ = document.at("sections").get<Sections>();
        config.sectionVersions_ = document.at("section_versions").get<std::map<std::string, std::uint64_t>>();
        for (const json& verdict : document.at("recent"))
            config.recent_.push_back(
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
