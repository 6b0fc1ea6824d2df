#pragma once

/** \file
 * ProgramDocument: the JSON representation of programs for callers.
 */

#include "Frame.h"
#include "Manifest.h"
#include "ProgramLifecycle.h"

#include <nlohmann/json_fwd.hpp>

namespace fescue {

/** Parses a request for a new program: `{"budget": 20000, "parent": "..."}`, both optional.
 *
 * Pure; the caller sets `request_`. Errors: `BadRequest`; `BudgetExceeded` above the workspace's limit. */
tl::expected<CreateProgram, Problem> parseCreation(const RequestFrame& frame, const Manifest& manifest);

/** The JSON document of a program. Errors: `UnknownProgram`, also for another workspace's program.
 * Thread safety: none; the caller holds the lock of the shard. */
tl::expected<std::string, Problem> programDocument(
    Shard& shard, const ProgramId& program, const WorkspaceId& workspace, const ShardContext& context);

/** Adds a row for each program of the workspace that has not ended; of all workspaces if `workspace` is
 * empty. */
void addProgramRows(const Shard& shard, const WorkspaceId& workspace, nlohmann::json& rows);

} // namespace fescue
