// fescuectl: the operator's command line.

#include "ConfigFold.h"
#include "Digest.h"
#include "HttpClient.h"
#include "LogClient.h"
#include "ManifestFile.h"
#include "Settings.h"

#include <future>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(log_url, "", "address of the platform's log service (publish)");
DEFINE_string(scheduler_url, "", "http address of a scheduler (status, programs)");
DEFINE_int32(wait_ms, 10000, "how long publish waits for the verdict to be in force at --scheduler_url");

namespace {

using namespace fescue;
using nlohmann::json;

constexpr const char* usage = R"(fescuectl: publishes manifests and shows how programs fare.

  fescuectl validate FILE     check a manifest (JSON or YAML) by itself
  fescuectl publish FILE      append it to the log and tell the verdict
  fescuectl status            configuration in force, verdicts and shards of a scheduler
  fescuectl programs          living programs at a scheduler
  fescuectl hash_key KEY      the digest to put into a workspace's key_sha256)";

int fail(const std::string& text)
{
    std::cerr << "fescuectl: " << text << std::endl;
    return 1;
}

tl::expected<json, ManifestError> readChecked(const std::string& path)
{
    auto document = readManifestFile(path);
    if (!document)
        return document;
    auto publication = parsePublication(*document);
    if (!publication)
        return tl::make_unexpected(publication.error());
    return document;
}

int validate(const std::string& path)
{
    auto document = readChecked(path);
    if (!document)
        return fail(document.error().section_ + ": " + document.error().detail_);
    auto manifest = parseManifest(document->at("sections").get<Sections>());
    if (!manifest)
        return fail(manifest.error().section_ + ": " + manifest.error().detail_);
    std::cout << "valid by itself; whether its sections are current is decided when it is published\n";
    return 0;
}

// Reads the whole stream `config`, as every scheduler does, and so reaches the same verdicts.
tl::expected<Config, LogError> readConfig(HttpClient& client, const LogAddress& log)
{
    Config config;
    for (;;) {
        std::promise<tl::expected<LogPage, LogError>> promise;
        readLog(client, log, configStream, { config.readTo_.value_ + 1 }, Milliseconds { 0 },
            [&promise](tl::expected<LogPage, LogError> page) { promise.set_value(std::move(page)); });
        auto page = promise.get_future().get();
        if (!page)
            return tl::make_unexpected(page.error());
        for (const LogEntry& entry : page->entries_)
            foldPublication(config, entry.offset_, entry.data_);
        if (page->entries_.empty() || config.readTo_.value_ + 1 >= page->next_.value_)
            return config;
    }
}

int publish(const std::string& path)
{
    LogAddress log { requireUrl("--log_url", FLAGS_log_url) };
    auto document = readChecked(path);
    if (!document)
        return fail(document.error().section_ + ": " + document.error().detail_);
    HttpClient client;
    std::promise<tl::expected<LogOffset, LogError>> promise;
    appendToLog(client, log, configStream, document->dump(),
        [&promise](tl::expected<LogOffset, LogError> offset) { promise.set_value(std::move(offset)); });
    auto offset = promise.get_future().get();
    if (!offset)
        return fail(offset.error().detail_ + "; whether the manifest was published is not known, see status");
    auto config = readConfig(client, log);
    if (!config)
        return fail(config.error().detail_);
    for (const PublicationVerdict& verdict : config->recent_) {
        if (verdict.offset_ != *offset)
            continue;
        std::cout << (verdict.isAccepted_ ? "accepted" : "rejected") << " at offset " << offset->value_
                  << ": " << verdict.detail_ << "\n";
        return verdict.isAccepted_ ? 0 : 1;
    }
    return fail("the publication is no longer among the recent verdicts; see status");
}

int show(const std::string& path)
{
    std::string url = requireUrl("--scheduler_url", FLAGS_scheduler_url);
    HttpClient client;
    HttpResult result = client.perform({ "GET", url + path });
    if (result.fate_ != HttpResult::Fate::Answered || result.status_ != 200)
        return fail("no answer from " + url + "; check --scheduler_url");
    std::cout << json::parse(result.body_, nullptr, false).dump(2) << "\n";
    return 0;
}

int run(const std::vector<std::string>& words)
{
    if (words.size() == 2 && words[0] == "validate")
        return validate(words[1]);
    if (words.size() == 2 && words[0] == "publish")
        return publish(words[1]);
    if (words.size() == 2 && words[0] == "hash_key") {
        std::cout << sha256Hex(words[1]) << "\n";
        return 0;
    }
    if (words.size() == 1 && words[0] == "status")
        return show("/status");
    if (words.size() == 1 && words[0] == "programs")
        return show("/programs");
    std::cerr << usage << "\n";
    return wrongSettings;
}

} // namespace

int main(int argc, char** argv) { return run(readSettings(argc, argv, { "fescuectl", usage })); }
