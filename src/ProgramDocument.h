#pragma once

/** \file
 * ProgramDocument: programs as callers write and read them, in JSON.
 */

#include "Frame.h"
#include "Manifest.h"
#include "ProgramLifecycle.h"

#include <nlohmann/json_fwd.hpp>

namespace fescue {

/** Reads the wish for a new program: `{"budget": 20000, "parent": "..."}`, both optional.
 *
 * Pure; `request_` is left open. Errors: `BadRequest`; `BudgetExceeded` above the workspace's limit. */
tl::expected<CreateProgram, Problem> parseCreation(const RequestFrame& frame, const Manifest& manifest);

/** A program as its owner knows it. Errors: `UnknownProgram`, also for another workspace's program.
 * Thread safety: none; the caller holds the lock of the shard. */
tl::expected<std::string, Problem> programDocument(
    Shard& shard, const ProgramId& program, const WorkspaceId& workspace, const ShardContext& context);

/** Adds a row for each living program of the workspace; of all workspaces when it is empty. */
void addProgramRows(const Shard& shard, const WorkspaceId& workspace, nlohmann::json& rows);

} // namespace fescue
