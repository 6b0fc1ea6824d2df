#pragma once

/** \file
 * ConfigFold: which published manifests are accepted, decided by the log's order alone.
 *
 * Operators append publications to the stream `config`. Each names the versions of the sections that it
 * was built on; the version of a section is the offset of the publication that wrote it last, 0 when
 * there is none. A publication that changes a section someone else has changed since is rejected as a
 * whole, and so is one whose result is not valid. The verdict is a pure function of the stream's prefix,
 * so every reader reaches the same one and no accepted change is undone by accident.
 *
 * During a rolling upgrade readers of two software versions follow the stream. What a new one accepts and
 * an old one does not know must not divide them, so the rules of judgement carry a number that stands in
 * the stream itself: an entry `{"author": ..., "rules": N}`, with nothing else in it and N one above the
 * number in force, raises it from there on. Software that does not know those rules stops before that
 * entry, keeps what is in force and says so.
 *
 *     {"author": "rent-team", "built_on": {"models/m": 7}, "sections": {"models/m": {}}, "remove": []}
 */

#include "Manifest.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace fescue {

/** One publication as it stands in the log. */
struct Publication {
    std::string author_;
    std::map<std::string, std::uint64_t> builtOn_;
    Sections sections_;
    std::vector<std::string> remove_;
};

/** What became of a publication. */
struct PublicationVerdict {
    LogOffset offset_;
    std::string author_;
    bool isAccepted_ = false;
    std::string detail_; ///< Why it was rejected and what to do.
};

/** The configuration in force after a prefix of the stream. */
struct Config {
    LogOffset version_; ///< Offset of the last accepted publication.
    LogOffset readTo_;
    Sections sections_;
    std::map<std::string, std::uint64_t> sectionVersions_;
    Manifest manifest_;
    std::uint64_t rulesVersion_ = 1; ///< By which publications are judged.
    LogOffset blockedAt_; ///< Entry that brings rules unknown to this software; 0 for none.
    std::vector<PublicationVerdict> recent_; ///< Newest last, at most `maxRecentVerdicts`.
};

/** How many verdicts a configuration remembers for `fescuectl status`. */
constexpr std::size_t maxRecentVerdicts = 64;

/** The newest rules that this software knows. */
constexpr std::uint64_t maxSupportedRules = 1;

/** Largest entry that is read at all; a larger one is rejected. */
constexpr std::size_t maxPublicationBytes = 4 * 1024 * 1024;

/** Name of the stream that operators publish on. */
constexpr const char* configStream = "config";

/** Reads a publication. Pure. Errors: `ManifestError` names the ill-formed member. */
tl::expected<Publication, ManifestError> parsePublication(const nlohmann::json& document);

/** Judges the entry at `offset` and takes it into force when it is accepted.
 *
 * Precondition: `offset` follows `config.readTo_`. Thread safety: none. An entry that cannot be read is
 * rejected like any other. A configuration that is blocked changes no more: `readTo_` stays before the
 * entry that blocks it. `rules` are the newest that the reader knows. */
PublicationVerdict foldPublication(Config& config, LogOffset offset, const std::string& entry,
    std::uint64_t supportedRules = maxSupportedRules);

/** The configuration as a document that `parseConfig` reads, to hand it to a process that cannot reach the
 * log. Pure. */
nlohmann::json toJson(const Config& config);

/** Reads a handed-over configuration. Pure. Errors: `ManifestError` when it is ill-formed, not valid, or
 * under rules that this software does not know. */
tl::expected<Config, ManifestError> parseConfig(const nlohmann::json& document);

} // namespace fescue
