// fescue-entry: the process of an entry VM of the platform; see src/EntryVm.h.

#include "Documents.h"
#include "EntryVm.h"
#include "EventLog.h"
#include "ProcessEnd.h"
#include "Settings.h"
#include "StartSignals.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <optional>
#include <random>
#include <sstream>

DEFINE_string(
    settings, "", "path of the platform's settings file; empty for the one that the platform provides");
DEFINE_int32(metrics_port, 0, "port for metrics on the VM's address; 0 for none");
DEFINE_int64(seed, 0, "random seed; 0 picks a new one at each start");

namespace {

using namespace fescue;

std::string settingsPath()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char* path = std::getenv(platform::settingsVariable);
    if (!path)
        exitWithInvalidSetting(
            "--settings", std::string("name a file, or set ") + platform::settingsVariable);
    return path;
}

tl::expected<VmSettings, platform::DocumentError> readSettingsFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::make_unexpected(platform::DocumentError { path, "cannot be opened; check the path" });
    std::ostringstream text;
    text << file.rdbuf();
    return platform::decodeSettings(text.str());
}

std::optional<VmSettings> reloadSettings(const std::string& path)
{
    auto settings = readSettingsFile(path);
    if (settings)
        return *settings;
    logWarning("settings-unreadable", settings.error().field_ + ": " + settings.error().remedy_);
    return std::nullopt;
}

std::string hostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

} // namespace

// The loader calls it before the constructors of all libraries; a signal that comes earlier ends the process.
__attribute__((section(".preinit_array"), used)) void (*const holdSignalsEarly)() = fescue::holdSignals;

int main(int argc, char** argv)
{
    fescue::holdSignals();
    readSettings(
        argc, argv, { "fescue-entry", "fescue-entry: serves callers on an entry VM of the platform." });
    // This process must survive when the reader of its standard output exits.
    std::signal(SIGPIPE, SIG_IGN);
    openEventLog({ {}, "entry", {}, {}, true });
    logFatalEnds();
    std::string path = settingsPath();
    auto settings = readSettingsFile(path);
    if (!settings)
        exitWithInvalidSetting(settings.error().field_, settings.error().remedy_);
    setEventLogOrigin(settings->vm_.value_, settings->zone_.value_);
    constexpr std::int64_t maxPort = 65535;
    auto metricsPort = requireRange("--metrics_port", FLAGS_metrics_port, 0, maxPort);
    EntryVmOptions options;
    options.settings_ = *settings;
    if (metricsPort > 0)
        options.metricsAddress_ = hostOf(settings->peerAddress_) + ":" + std::to_string(metricsPort);
    options.seed_ = FLAGS_seed == 0 ? std::random_device()() : static_cast<std::uint64_t>(FLAGS_seed);
    options.reload_ = [path] { return reloadSettings(path); };
    std::optional<EntryVm> vm;
    try {
        vm.emplace(options);
    } catch (const std::system_error& error) {
        exitWithInvalidSetting(
            "listen", std::string(error.what()) + "; check the addresses in the settings file");
    }
    vm->run();
    flushEventLog();
    return 0;
}
