#pragma once

/** \file
 * ManifestFile: manifests as operators keep them, in JSON or YAML files.
 *
 *     author: lease-team
 *     built_on: { workspaces/kalamaris: 12 }
 *     sections:
 *       workspaces/kalamaris: { key_sha256: [ ... ], default_budget: 200000 }
 *     remove: [ pools/old ]
 */

#include "ConfigFold.h"

namespace fescue {

/** Reads a file as one publication document. Errors: `ManifestError` with the place of the fault. */
tl::expected<nlohmann::json, ManifestError> readManifestFile(const std::string& path);

/** Text in YAML (of which JSON is a part) as a JSON value. Pure. */
tl::expected<nlohmann::json, ManifestError> parseYaml(const std::string& text);

} // namespace fescue
