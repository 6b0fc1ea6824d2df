#pragma once

/** \file
 * ConfigFold: decides which published manifests are accepted, as a deterministic fold over the log.
 *
 * Operators append publications to the stream `config`. Each names the versions of the sections that it
 * was built on; the version of a section is the offset of the publication that wrote it last, or 0 when
 * there is none. A publication is rejected as a whole when it changes a section that has changed since the
 * version it was built on, or when the resulting configuration is invalid. The verdict is a pure function of
 * the stream's prefix, so all readers reach the same verdict and no accepted change is lost by accident.
 *
 * During a rolling upgrade, readers of two software versions follow the stream. They must not diverge when
 * the new version accepts something that the old one does not know. The validation rules therefore have a
 * version that is set in the stream itself: an entry `{"author": ..., "rules": N}` with no other members,
 * where N is one above the current version, applies to all entries after it. Software that does not support
 * version N stops before that entry, keeps the configuration in force and reports that it is blocked.
 *
 *     {"author": "rent-team", "built_on": {"models/m": 7}, "sections": {"models/m": {}}, "remove": []}
 */

#include "Manifest.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace fescue {

/** A publication as stored in the log. */
struct Publication {
    std::string author_;
    std::map<std::string, std::uint64_t> builtOn_;
    Sections sections_;
    std::vector<std::string> remove_;
};

/** Whether a publication was accepted. */
struct PublicationVerdict {
    LogOffset offset_;
    std::string author_;
    bool isAccepted_ = false;
    std::string detail_; ///< Reason of the rejection and the remedy.
};

/** The configuration in force after a prefix of the stream. */
struct Config {
    LogOffset version_; ///< Offset of the last accepted publication.
    LogOffset lastReadOffset_; ///< Offset of the last entry read.
    Sections sections_;
    std::map<std::string, std::uint64_t> sectionVersions_;
    Manifest manifest_;
    std::uint64_t rulesVersion_ = 1; ///< Version of the rules that validate publications.
    LogOffset blockedAt_; ///< Entry that requires unsupported rules; 0 for none.
    std::vector<PublicationVerdict> recentVerdicts_; ///< Newest last, at most `maxRecentVerdicts`.
};

/** Number of verdicts that a configuration retains for `fescuectl status`. */
constexpr std::size_t maxRecentVerdicts = 64;

/** Newest version of the rules that this software supports. */
constexpr std::uint64_t maxSupportedRules = 1;

/** Largest entry that is parsed; a larger one is rejected. */
constexpr std::size_t maxPublicationBytes = 4 * 1024 * 1024;

/** Name of the stream that operators publish on. */
constexpr const char* configStream = "config";

/** Parses a publication. Pure. Errors: `ManifestError` names the malformed member. */
tl::expected<Publication, ManifestError> parsePublication(const nlohmann::json& document);

/** Validates the entry at `offset` and applies it to `config` if it is accepted.
 *
 * Precondition: `offset` follows `config.lastReadOffset_`. Not thread-safe. An entry that cannot be parsed is
 * rejected. A blocked configuration does not change: `lastReadOffset_` stays before the blocking entry.
 * `supportedRules` is the newest version of the rules that the reader supports. */
PublicationVerdict applyPublication(Config& config, LogOffset offset, const std::string& entry,
    std::uint64_t supportedRules = maxSupportedRules);

/** The configuration as a document for `parseConfig`, to pass it to a process that cannot reach the log.
 * Pure. */
nlohmann::json toJson(const Config& config);

/** Parses a configuration from another process. Pure. Errors: `ManifestError` when it is malformed, invalid,
 * or requires rules that this software does not support. */
tl::expected<Config, ManifestError> parseConfig(const nlohmann::json& document);

} // namespace fescue
