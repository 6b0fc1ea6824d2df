// fescuectl: the operator's command line; see src/OperatorCommands.h.

#include "Digest.h"
#include "OperatorCommands.h"
#include "Settings.h"

#include <algorithm>
#include <array>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(log_url, "", "address of the platform's log service (publish, fetch)");
DEFINE_string(scheduler_url, "", "http address of a scheduler (status, programs, fetch, publish)");
DEFINE_int32(wait_ms, 10000, "how long publish waits until its verdict is in force at --scheduler_url");
DEFINE_string(output, "text", "output format: text, or json for scripts");
DEFINE_string(svg, "", "output file for the timeline as an SVG picture (timeline)");
DEFINE_string(html, "", "output file for the timeline as an HTML page (timeline)");

namespace {

using namespace fescue;

constexpr const char* usage = R"(fescuectl: publishes manifests and shows the state of programs.

  fescuectl validate FILE      validate a manifest (JSON or YAML) on its own
  fescuectl publish FILE       append it to the log and report the verdict
  fescuectl fetch              the manifest in force, for editing and publishing
  fescuectl status             configuration in force, verdicts and shards of a scheduler
  fescuectl programs           active programs at a scheduler
  fescuectl hash_key KEY       the digest for a workspace's key_sha256
  fescuectl timeline FILES...  one ordered timeline from the event logs of all processes

`fescuectl COMMAND --help` shows details.
Exit status: 0 done; 1 invalid, rejected or unreadable; 2 invalid settings; 3 no answer.)";

struct Command {
    const char* name_;
    std::size_t minArguments_;
    std::size_t maxArguments_;
    const char* help_;
    CommandResult (*run_)(const std::vector<std::string>& arguments);
};

OperatorOptions optionsOf()
{
    OperatorOptions options;
    if (!FLAGS_log_url.empty())
        options.log_.url_ = requireUrl("--log_url", FLAGS_log_url);
    if (!FLAGS_scheduler_url.empty())
        options.schedulerUrl_ = requireUrl("--scheduler_url", FLAGS_scheduler_url);
    options.verdictTimeout_ = Milliseconds { requireRange("--wait_ms", FLAGS_wait_ms, 0, 3600000) };
    return options;
}

CommandResult runValidate(const std::vector<std::string>& arguments)
{
    return validateManifest(arguments[0]);
}

CommandResult runPublish(const std::vector<std::string>& arguments)
{
    requireUrl("--log_url", FLAGS_log_url);
    return publishManifest(arguments[0], optionsOf());
}

CommandResult runFetch(const std::vector<std::string>&)
{
    if (FLAGS_scheduler_url.empty())
        requireUrl("--log_url", FLAGS_log_url);
    return fetchManifest(optionsOf());
}

CommandResult runStatus(const std::vector<std::string>&)
{
    requireUrl("--scheduler_url", FLAGS_scheduler_url);
    return showStatus(optionsOf());
}

CommandResult runPrograms(const std::vector<std::string>&)
{
    requireUrl("--scheduler_url", FLAGS_scheduler_url);
    return showPrograms(optionsOf());
}

CommandResult runHashKey(const std::vector<std::string>& arguments)
{
    std::string digest = sha256Hex(arguments[0]);
    return { CommandStatus::Done, digest + "\n", { { "key_sha256", digest } } };
}

CommandResult runTimeline(const std::vector<std::string>& arguments)
{
    return showTimeline(arguments, { FLAGS_svg, FLAGS_html });
}

constexpr std::size_t maxTimelineFiles = 100000;

constexpr std::array<Command, 7> commands { {
    { "validate", 1, 1, R"(fescuectl validate FILE

Validates a manifest on its own: its members, and that models and services named by a pool have a section.
Nothing is sent. With exit status 1 the output names the section and the error.)",
        runValidate },
    { "publish", 1, 1, R"(fescuectl publish FILE --log_url=URL [--scheduler_url=URL]

Appends the manifest to the log and reports the verdict, which is the same for every process. An existing
section is changed only by a manifest whose built_on has its current version; `fescuectl fetch` writes
one. With --scheduler_url it waits until that scheduler has the verdict, at most --wait_ms.
Exit status 1: rejected, nothing is changed. 3: no answer; it may have been published, see `fescuectl status`.)",
        runPublish },
    { "fetch", 0, 0, R"(fescuectl fetch --log_url=URL | --scheduler_url=URL

Writes the manifest in force, with the versions of its sections in built_on. Keep the sections to change,
edit them, set author, and publish.)",
        runFetch },
    { "status", 0, 0, R"(fescuectl status --scheduler_url=URL

Shows the configuration in force at one scheduler, its recent verdicts, and the shards that it knows.)",
        runStatus },
    { "programs", 0, 0, R"(fescuectl programs --scheduler_url=URL

Lists the active programs of the shards at one scheduler: workspace, last call, tokens used.)",
        runPrograms },
    { "hash_key", 1, 1, R"(fescuectl hash_key KEY

Prints the SHA-256 of a caller's key for a workspace's key_sha256, so that manifests do not contain the key.)",
        runHashKey },
    { "timeline", 1, maxTimelineFiles, R"(fescuectl timeline FILES... [--svg=FILE] [--html=FILE]

Merges the --events_file of any number of daemons into one ordered timeline. Events of different processes
are ordered by cause; clocks decide only between events without a causal order, so they may disagree.)",
        runTimeline },
} };

const Command* findCommand(const std::string& name)
{
    for (const Command& command : commands) {
        if (name == command.name_)
            return &command;
    }
    return nullptr;
}

// `fescuectl COMMAND --help` shows the help of the command.
std::string helpFor(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        if (const Command* command = findCommand(argv[i]))
            return command->help_;
    }
    return usage;
}

int print(const CommandResult& result)
{
    bool isJson = FLAGS_output == "json";
    bool isError = result.document_.contains("error");
    if (isJson)
        std::cout << result.document_.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    else if (isError)
        std::cerr << "fescuectl: " << result.text_ << "\n";
    else
        std::cout << result.text_;
    return static_cast<int>(result.status_);
}

int run(std::vector<std::string> arguments)
{
    if (FLAGS_output != "text" && FLAGS_output != "json")
        exitWithInvalidSetting("--output", "must be text or json");
    const Command* command = arguments.empty() ? nullptr : findCommand(arguments[0]);
    if (!command) {
        std::cerr << usage << "\n";
        return invalidSettingsStatus;
    }
    arguments.erase(arguments.begin());
    if (arguments.size() < command->minArguments_ || arguments.size() > command->maxArguments_) {
        std::cerr << command->help_ << "\n";
        return invalidSettingsStatus;
    }
    return print(command->run_(arguments));
}

} // namespace

int main(int argc, char** argv)
{
    return run(readSettings(argc, argv, { "fescuectl", helpFor(argc, argv) }));
}
