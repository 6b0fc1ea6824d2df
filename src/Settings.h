#pragma once

/** \file
 * Settings: flags and environment variables, checked before anything starts.
 *
 * Each flag `--some_name` can also be given as the environment variable `FESCUE_SOME_NAME`; the flag wins.
 * A mistake is told in one line that names the setting and the remedy, and the process ends with status 2.
 */

#include "ProgramId.h"
#include "Types.h"

#include <string>
#include <vector>

namespace fescue {

/** Version of this build. */
extern const char* const versionText;

/** Exit status for wrong settings. */
constexpr int invalidSettingsStatus = 2;

/** What a program is called and what it does, for `--help`. */
struct ProgramInfo {
    std::string name_;
    std::string usage_; ///< Shown first; may have several lines.
};

/** Sets the flags from the environment and the arguments and returns what is not a flag.
 *
 * Ends the process with status 0 after `--help` or `--version`, and with `invalidSettingsStatus` on an
 * unknown flag or a value of the wrong type. Call once, at the start of `main`. */
std::vector<std::string> readSettings(int argc, char** argv, const ProgramInfo& program);

/** Tells one mistake and ends the process with `invalidSettingsStatus`. */
[[noreturn]] void exitWithInvalidSetting(const std::string& setting, const std::string& remedy);

/** Checks a zone's name. */
ZoneId requireZone(const std::string& setting, const std::string& value);

/** Checks a name that must not be empty. */
std::string requireNonEmpty(const std::string& setting, const std::string& value);

/** Checks `http://host:port` or `https://...` and drops a closing slash. */
std::string requireUrl(const std::string& setting, const std::string& value);

/** An address to listen on or to dial. */
struct HostPort {
    std::string host_;
    std::uint16_t port_ = 0;
};

/** Checks `host:port`, the host being an IP number. */
HostPort requireHostPort(const std::string& setting, const std::string& value);

/** Checks a number against its limits. */
std::int64_t requireRange(const std::string& setting, std::int64_t value, std::int64_t min, std::int64_t max);

/** Waits for SIGTERM or SIGINT. Call `blockStopSignals` before any thread starts. */
void blockStopSignals();
void waitForStopSignal();

} // namespace fescue
