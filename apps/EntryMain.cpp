// fescue-entry: the process of an entry VM of the platform; see src/EntryVm.h.

#include "BootClock.h"
#include "EntryVm.h"
#include "EventLog.h"
#include "HostErrors.h"
#include "ProcessEnd.h"
#include "Settings.h"
#include "SettingsDocument.h"
#include "SettingsFile.h"
#include "StartSignals.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <optional>
#include <random>
#include <system_error>
#include <thread>
#include <utility>

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
    return path && *path ? path : platform::defaultSettingsPath;
}

// Waits until the file can be read, or a signal asks to stop.
std::optional<SettingsResult> awaitSettings(const std::string& path)
{
    constexpr Milliseconds readInterval { 10 };
    SettingsFile file { path, {} };
    for (;;) {
        if (auto settings = readSettingsFile(file, bootNow()))
            return settings;
        if (isStopHeld())
            return std::nullopt;
        std::this_thread::sleep_for(readInterval);
    }
}

std::string hostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

EntryVmOptions optionsFrom(const VmSettings& settings, const std::string& settingsPath)
{
    constexpr std::int64_t maxPort = 65535;
    auto metricsPort = requireRange("--metrics_port", FLAGS_metrics_port, 0, maxPort);
    EntryVmOptions options;
    options.settings_ = settings;
    options.settingsPath_ = settingsPath;
    if (metricsPort > 0)
        options.metricsAddress_ = hostOf(settings.peerAddress_) + ":" + std::to_string(metricsPort);
    options.seed_ = FLAGS_seed == 0 ? std::random_device()() : static_cast<std::uint64_t>(FLAGS_seed);
    return options;
}

// Sets `vm` up, as soon as the host has what it takes; not if a signal asks to stop before.
void setUp(std::optional<EntryVm>& vm, const EntryVmOptions& options)
{
    constexpr Milliseconds retryInterval { 50 };
    bool isLogged = false;
    while (!vm && !isStopHeld()) {
        try {
            vm.emplace(options);
        } catch (const std::system_error& error) {
            if (!mayPass(error.code()))
                exitWithInvalidSetting(
                    "listen", std::string(error.what()) + "; check the addresses in the settings file");
            if (!std::exchange(isLogged, true))
                logWarning("start-waiting", "the host lacks what a start takes; check its limits",
                    { { "reason", error.what() } });
            flushEventLog();
            std::this_thread::sleep_for(retryInterval);
        }
    }
}

void serve(const EntryVmOptions& options)
{
    std::optional<EntryVm> vm;
    setUp(vm, options);
    // What escapes from here is no matter of settings; see `logFatalEnds`.
    if (vm)
        vm->run();
    else
        logEvent("stop", { { "reason", "asked to stop before the VM could be set up" } });
}

// The loader calls it before the constructors of all libraries; a signal that comes earlier ends the process.
__attribute__((section(".preinit_array"), used)) void (*const holdSignalsEarly)() = holdSignals;

} // namespace

int main(int argc, char** argv)
{
    holdSignals();
    ignoreWriteSignals();
    openStandardStreams();
    readSettings(
        argc, argv, { "fescue-entry", "fescue-entry: serves callers on an entry VM of the platform." });
    openEventLog({ {}, "entry", {}, {}, true });
    logFatalEnds();
    std::string path = settingsPath();
    auto settings = awaitSettings(path);
    if (!settings) {
        logEvent("stop", { { "reason", "asked to stop before the settings could be read" } });
        flushEventLog();
        return 0;
    }
    if (!*settings)
        exitWithInvalidSetting(settings->error().field_, settings->error().remedy_);
    const VmSettings& valid = (*settings)->settings_;
    setEventLogOrigin(valid.vm_.value_, valid.zone_.value_);
    logDefaultedSettings(**settings);
    serve(optionsFrom(valid, path));
    flushEventLog();
    return 0;
}
