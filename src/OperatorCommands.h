#pragma once

/** \file
 * OperatorCommands: what `fescuectl` does, one function a command.
 *
 * Each returns what to print, both for people and for scripts, and the exit status. They talk to the log
 * service or to one scheduler over HTTP and block until they have an answer or a timeout; they are not safe
 * to call from a callback of an `HttpClient`.
 */

#include "LogClient.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fescue {

/** Exit statuses of `fescuectl`; wrong settings give `invalidSettingsStatus` (2). */
enum class CommandStatus {
    Done = 0,
    Refused = 1, ///< The manifest is not valid or was rejected, or a file cannot be read.
    NoAnswer = 3, ///< The log or the scheduler did not answer; a publication may have taken effect.
};

/** What a command found. */
struct CommandResult {
    CommandStatus status_ = CommandStatus::Done;
    std::string text_; ///< For people; for an error, the message that names the remedy.
    nlohmann::json document_; ///< For scripts.
};

/** Where the commands look. An empty URL means "not given". */
struct OperatorOptions {
    LogAddress log_;
    std::string schedulerUrl_;
    Milliseconds verdictTimeout_ { 10000 }; ///< How long `publish` waits for a scheduler to have the verdict.
};

/** Checks a manifest file by itself. */
CommandResult validateManifest(const std::string& path);

/** Appends a manifest file to the log and tells the verdict. With a scheduler's URL, waits until that
 * scheduler has read it. */
CommandResult publishManifest(const std::string& path, const OperatorOptions& options);

/** The configuration in force as a manifest that can be edited and published: `built_on` has the version of
 * each section. Read from the scheduler when its URL is given, else from the log. */
CommandResult fetchManifest(const OperatorOptions& options);

/** Configuration, verdicts and shards of a scheduler. */
CommandResult showStatus(const OperatorOptions& options);

/** Living programs at a scheduler. */
CommandResult showPrograms(const OperatorOptions& options);

/** Where `timeline` writes its pictures; empty for none. */
struct PictureFiles {
    std::string svg_;
    std::string html_;
};

/** Merges event logs into one time line and writes pictures of it. */
CommandResult showTimeline(const std::vector<std::string>& paths, const PictureFiles& pictures);

} // namespace fescue
