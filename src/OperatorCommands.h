#pragma once

/** \file
 * OperatorCommands: the commands of `fescuectl`, one function each.
 *
 * Each returns its output, both as text and as JSON, and the exit status. The functions talk to the log
 * service or to one scheduler over HTTP and block until they have an answer or time out. Do not call them
 * from a callback of an `HttpClient`.
 */

#include "LogClient.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fescue {

/** Exit statuses of `fescuectl`; invalid settings give `invalidSettingsStatus` (2). */
enum class CommandStatus {
    Done = 0,
    Refused = 1, ///< The manifest is invalid or was rejected, or a file cannot be read.
    NoAnswer = 3, ///< The log or the scheduler did not answer; a publication may have taken effect.
};

/** Output of a command. */
struct CommandResult {
    CommandStatus status_ = CommandStatus::Done;
    std::string text_; ///< Text output; for an error, a message that names the remedy.
    nlohmann::json document_; ///< JSON output.
};

/** Endpoints that the commands use. An empty URL means "not given". */
struct OperatorOptions {
    LogAddress log_;
    std::string schedulerUrl_;
    Milliseconds verdictTimeout_ { 10000 }; ///< Time in which a scheduler must have the verdict.
};

/** Validates a manifest file on its own. */
CommandResult validateManifest(const std::string& path);

/** Appends a manifest file to the log and reports the verdict. With a scheduler's URL, waits until that
 * scheduler has read the publication. */
CommandResult publishManifest(const std::string& path, const OperatorOptions& options);

/** The configuration in force as a manifest that can be edited and published: `built_on` has the version of
 * each section. Read from the scheduler when its URL is given, else from the log. */
CommandResult fetchManifest(const OperatorOptions& options);

/** Configuration, verdicts and shards of a scheduler. */
CommandResult showStatus(const OperatorOptions& options);

/** Active programs at a scheduler. */
CommandResult showPrograms(const OperatorOptions& options);

/** Files that `timeline` writes; empty for none. */
struct PictureFiles {
    std::string svg_;
    std::string html_;
};

/** Merges event logs into one timeline and renders it. */
CommandResult showTimeline(const std::vector<std::string>& paths, const PictureFiles& pictures);

} // namespace fescue
