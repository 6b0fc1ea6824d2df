#include "OperatorCommands.h"

#include "ConfigSnapshot.h"
#include "HttpClient.h"
#include "ManifestFile.h"
#include "TimelinePicture.h"

#include <fmt/format.h>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace fescue {

using nlohmann::json;

namespace {

    constexpr Milliseconds statusPollInterval { 100 };

    CommandResult failed(CommandStatus status, const std::string& text)
    {
        return { status, text, { { "error", text } } };
    }

    CommandResult failed(const ManifestError& error)
    {
        return failed(CommandStatus::Refused, error.section_ + ": " + error.detail_);
    }

    tl::expected<json, ManifestError> readPublication(const std::string& path)
    {
        auto document = readManifestFile(path);
        if (!document)
            return document;
        auto publication = parsePublication(*document);
        if (!publication)
            return tl::make_unexpected(publication.error());
        return document;
    }

    tl::expected<LogPage, LogError> readPage(
        HttpClient& client, const LogAddress& log, const char* stream, LogOffset from)
    {
        std::promise<tl::expected<LogPage, LogError>> promise;
        readLog(client, log, stream, from, Milliseconds { 0 },
            [&promise](tl::expected<LogPage, LogError> page) { promise.set_value(std::move(page)); });
        return promise.get_future().get();
    }

    // The newest snapshot from which a reader of the stream `config`, which begins at `first`, can continue.
    tl::expected<Config, LogError> findSnapshot(HttpClient& client, const LogAddress& log, LogOffset first)
    {
        std::optional<Config> newest;
        for (LogOffset from { 1 };;) {
            auto page = readPage(client, log, configSnapshotStream, from);
            if (!page)
                return tl::make_unexpected(page.error());
            for (const LogEntry& entry : page->entries_) {
                auto snapshot = parseSnapshot(entry.data_);
                if (snapshot && coversGap(newest.value_or(Config {}), *snapshot, first))
                    newest = std::move(*snapshot);
                from = { entry.offset_.value_ + 1 };
            }
            if (page->entries_.empty() || from >= page->next_)
                break;
        }
        if (newest)
            return *newest;
        return tl::make_unexpected(LogError { false,
            "older configuration has expired from the log and no snapshot covers it; set --scheduler_url" });
    }

    // Reads the whole stream `config` as every scheduler does, and therefore reaches the same verdicts.
    tl::expected<Config, LogError> readConfig(HttpClient& client, const LogAddress& log)
    {
        Config config;
        for (;;) {
            auto page = readPage(client, log, configStream, { config.lastReadOffset_.value_ + 1 });
            if (!page)
                return tl::make_unexpected(page.error());
            if (hasGap(config, page->first_)) {
                auto snapshot = findSnapshot(client, log, page->first_);
                if (!snapshot)
                    return snapshot;
                config = std::move(*snapshot);
                continue;
            }
            for (const LogEntry& entry : page->entries_)
                applyPublication(config, entry.offset_, entry.data_);
            bool isAtEnd = page->entries_.empty() || config.lastReadOffset_.value_ + 1 >= page->next_.value_;
            if (isAtEnd || config.blockedAt_.value_ != 0)
                return config;
        }
    }

    tl::expected<json, std::string> queryScheduler(
        HttpClient& client, const OperatorOptions& options, const std::string& path)
    {
        HttpResult result = client.perform({ "GET", options.schedulerUrl_ + path });
        json document = json::parse(result.body_, nullptr, false);
        if (result.outcome_ != HttpResult::Outcome::Answered || result.status_ != 200
            || !document.is_object())
            return tl::make_unexpected(
                "no answer from " + options.schedulerUrl_ + "; check --scheduler_url or ask another VM's");
        return document;
    }

    // The configuration of a scheduler, or the one read from the log.
    tl::expected<Config, std::string> currentConfig(const OperatorOptions& options)
    {
        HttpClient client;
        if (options.schedulerUrl_.empty()) {
            auto config = readConfig(client, options.log_);
            if (!config)
                return tl::make_unexpected(config.error().detail_);
            return *config;
        }
        auto status = queryScheduler(client, options, "/status");
        if (!status)
            return tl::make_unexpected(status.error());
        auto config = parseConfig(status->value("config", json::object()));
        if (!config)
            return tl::make_unexpected("the scheduler's answer has no configuration: "
                + config.error().detail_ + "; use the fescuectl of its version");
        return *config;
    }

    const PublicationVerdict* findVerdict(const Config& config, LogOffset offset)
    {
        for (const PublicationVerdict& verdict : config.recentVerdicts_) {
            if (verdict.offset_ == offset)
                return &verdict;
        }
        return nullptr;
    }

    bool waitUntilRead(const OperatorOptions& options, LogOffset offset)
    {
        HttpClient client;
        auto deadline = monotonicNow() + options.verdictTimeout_;
        do {
            auto status = queryScheduler(client, options, "/status");
            if (status && (*status)["config"].value("read_to", std::uint64_t { 0 }) >= offset.value_)
                return true;
            std::this_thread::sleep_for(statusPollInterval);
        } while (monotonicNow() < deadline);
        return false;
    }

    CommandResult reportVerdict(const PublicationVerdict& verdict, const OperatorOptions& options)
    {
        CommandResult result;
        result.status_ = verdict.isAccepted_ ? CommandStatus::Done : CommandStatus::Refused;
        result.text_ = fmt::format("{} at offset {}: {}\n", verdict.isAccepted_ ? "accepted" : "rejected",
            verdict.offset_.value_, verdict.detail_);
        result.document_ = { { "accepted", verdict.isAccepted_ }, { "offset", verdict.offset_.value_ },
            { "detail", verdict.detail_ } };
        if (!verdict.isAccepted_ || options.schedulerUrl_.empty())
            return result;
        bool isInForce = waitUntilRead(options, verdict.offset_);
        result.document_["in_force"] = isInForce;
        result.text_ += isInForce ? "in force at " + options.schedulerUrl_ + "\n"
                                  : "not yet in force at " + options.schedulerUrl_
                + "; see `fescuectl status`, or raise --wait_ms\n";
        if (!isInForce)
            result.status_ = CommandStatus::NoAnswer;
        return result;
    }

    std::string verdictRows(const json& config)
    {
        std::string text;
        for (const json& verdict : config.value("recent", json::array()))
            text += fmt::format("  {:>8}  {}  {}  {}\n", verdict.value("offset", std::uint64_t { 0 }),
                verdict.value("accepted", false) ? "accepted" : "rejected", verdict.value("author", ""),
                verdict.value("detail", ""));
        return text;
    }

    std::string shardRows(const json& shards)
    {
        std::string text;
        for (const json& shard : shards) {
            bool isUnused = shard.value("owner", "").empty() && !shard.value("log_down", false);
            if (isUnused)
                continue;
            text += fmt::format("  {:<24}  epoch {}  owner {}  programs {}  running {}  unconfirmed {}{}\n",
                shard.value("shard", ""), shard.value("epoch", std::uint64_t { 0 }), shard.value("owner", ""),
                shard.value("programs", 0), shard.value("running", 0), shard.value("unconfirmed", 0),
                shard.value("log_down", false) ? "  log down" : "");
        }
        return text;
    }

    std::string statusText(const json& status)
    {
        json config = status.value("config", json::object());
        return fmt::format(
            "vm {} in {}{}, {} open requests\nconfiguration version {}\nverdicts:\n{}shards:\n{}",
            status.value("vm", ""), status.value("zone", ""),
            status.value("draining", false) ? ", draining" : "", status.value("open_requests", 0),
            config.value("version", std::uint64_t { 0 }), verdictRows(config),
            shardRows(status.value("shards", json::array())));
    }

    std::string programRows(const json& document)
    {
        std::string text;
        for (const json& row : document.value("programs", json::array()))
            text += fmt::format("{}  {}  last call {}  used {} of {} tokens\n", row.value("program", ""),
                row.value("workspace", ""), row.value("last_call", 0), row.value("used", std::int64_t { 0 }),
                row.value("budget", std::int64_t { 0 }));
        return text.empty() ? "no active programs\n" : text;
    }

    bool writeFile(const std::string& path, const std::string& text)
    {
        std::ofstream file(path, std::ios::binary);
        file << text;
        file.close();
        return !file.fail();
    }

} // namespace

CommandResult validateManifest(const std::string& path)
{
    auto document = readPublication(path);
    if (!document)
        return failed(document.error());
    auto manifest = parseManifest(document->at("sections").get<Sections>());
    if (!manifest)
        return failed(manifest.error());
    return { CommandStatus::Done, "valid on its own; publishing checks whether its sections are current\n",
        { { "valid", true } } };
}

CommandResult publishManifest(const std::string& path, const OperatorOptions& options)
{
    auto document = readPublication(path);
    if (!document)
        return failed(document.error());
    HttpClient client;
    std::promise<tl::expected<LogOffset, LogError>> promise;
    appendToLog(client, options.log_, configStream, document->dump(),
        [&promise](tl::expected<LogOffset, LogError> offset) { promise.set_value(std::move(offset)); });
    auto offset = promise.get_future().get();
    if (!offset)
        return failed(CommandStatus::NoAnswer,
            offset.error().detail_ + "; the manifest may have been published, see `fescuectl status`");
    auto config = readConfig(client, options.log_);
    if (!config)
        return failed(CommandStatus::NoAnswer, config.error().detail_);
    if (const PublicationVerdict* verdict = findVerdict(*config, *offset))
        return reportVerdict(*verdict, options);
    return failed(CommandStatus::NoAnswer,
        "the publication is not among the recent verdicts; see `fescuectl status`, and use the newest "
        "fescuectl");
}

CommandResult fetchManifest(const OperatorOptions& options)
{
    auto config = currentConfig(options);
    if (!config)
        return failed(CommandStatus::NoAnswer, config.error());
    json document { { "author", "unknown" }, { "built_on", json::object() },
        { "sections", config->sections_ } };
    for (const auto& [section, object] : config->sections_)
        document["built_on"][section] = config->sectionVersions_[section];
    return { CommandStatus::Done, document.dump(2) + "\n", document };
}

CommandResult showStatus(const OperatorOptions& options)
{
    HttpClient client;
    auto status = queryScheduler(client, options, "/status");
    if (!status)
        return failed(CommandStatus::NoAnswer, status.error());
    return { CommandStatus::Done, statusText(*status), *status };
}

CommandResult showPrograms(const OperatorOptions& options)
{
    HttpClient client;
    auto programs = queryScheduler(client, options, "/programs");
    if (!programs)
        return failed(CommandStatus::NoAnswer, programs.error());
    return { CommandStatus::Done, programRows(*programs), *programs };
}

CommandResult showTimeline(const std::vector<std::string>& paths, const PictureFiles& pictures)
{
    std::vector<EventFile> files;
    for (const std::string& path : paths) {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return failed(
                CommandStatus::Refused, path + ": cannot be read; pass the --events_file of a daemon");
        std::stringstream text;
        text << file.rdbuf();
        files.push_back({ path, text.str() });
    }
    Timeline timeline = mergeTimeline(files);
    if (!pictures.svg_.empty() && !writeFile(pictures.svg_, toSvg(timeline)))
        return failed(CommandStatus::Refused, pictures.svg_ + ": cannot be written; check --svg");
    if (!pictures.html_.empty() && !writeFile(pictures.html_, toHtml(timeline)))
        return failed(CommandStatus::Refused, pictures.html_ + ": cannot be written; check --html");
    json document { { "events", json::parse(toJsonText(timeline)) },
        { "skipped_lines", timeline.skippedLines_ }, { "contradictions", timeline.contradictions_ } };
    return { CommandStatus::Done, toText(timeline), std::move(document) };
}

} // namespace fescue
