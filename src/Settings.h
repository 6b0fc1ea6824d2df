#pragma once

/** \file
 * Settings: flags and environment variables, validated before anything starts.
 *
 * Each flag `--some_name` can also be set by the environment variable `FESCUE_SOME_NAME`; the flag takes
 * precedence. An invalid setting is reported in one line that names the setting and the remedy, and the
 * process exits with status 2.
 */

#include "ProgramId.h"
#include "Types.h"

#include <string>
#include <vector>

namespace fescue {

/** Version of this build. */
extern const char* const versionText;

/** Exit status for invalid settings. */
constexpr int invalidSettingsStatus = 2;

/** Name and description of a program, for `--help`. */
struct ProgramInfo {
    std::string name_;
    std::string usage_; ///< Shown first; may have several lines.
};

/** Sets the flags from the environment and the arguments, and returns the arguments that are not flags.
 *
 * Exits with status 0 after `--help` or `--version`, and with `invalidSettingsStatus` on an
 * unknown flag or a value of the wrong type. Call once, at the start of `main`. */
std::vector<std::string> readSettings(int argc, char** argv, const ProgramInfo& program);

/** Reports an invalid setting on standard error, and in the event log if it is open, and exits with
 * `invalidSettingsStatus`. */
[[noreturn]] void exitWithInvalidSetting(const std::string& setting, const std::string& remedy);

/** Validates the name of a zone. */
ZoneId requireZone(const std::string& setting, const std::string& value);

/** Validates that a value is not empty. */
std::string requireNonEmpty(const std::string& setting, const std::string& value);

/** Validates `http://host:port` or `https://...` and strips trailing slashes. */
std::string requireUrl(const std::string& setting, const std::string& value);

/** An address to listen on or to connect to. */
struct HostPort {
    std::string host_;
    std::uint16_t port_ = 0;
};

/** Validates `host:port`; the host must be an IPv4 address. */
HostPort requireHostPort(const std::string& setting, const std::string& value);

/** Validates that a number is from `min` to `max`. */
std::int64_t requireRange(const std::string& setting, std::int64_t value, std::int64_t min, std::int64_t max);

/** Blocks SIGTERM and SIGINT for `waitForStopSignal`, and ignores what `ignoreWriteSignals` does. Call before
 * any thread starts. */
void blockStopSignals();

/** Waits for SIGTERM or SIGINT. Precondition: `blockStopSignals` was called. */
void waitForStopSignal();

} // namespace fescue
