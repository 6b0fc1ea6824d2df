#pragma once

/** \file
 * ManifestFile: reads manifests from JSON or YAML files.
 *
 *     author: lease-team
 *     built_on: { workspaces/kalamaris: 12 }
 *     sections:
 *       workspaces/kalamaris: { key_sha256: [ ... ], default_budget: 200000 }
 *     remove: [ pools/old ]
 */

#include "ConfigFold.h"

namespace fescue {

/** Reads a file as a publication document. Errors: `ManifestError` with the location of the error. */
tl::expected<nlohmann::json, ManifestError> readManifestFile(const std::string& path);

/** Converts YAML, a superset of JSON, to a JSON value. Pure. */
tl::expected<nlohmann::json, ManifestError> parseYaml(const std::string& text);

} // namespace fescue
