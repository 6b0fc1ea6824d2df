#include "ProgramDocument.h"

#include "BoundedJson.h"

namespace fescue {

using nlohmann::json;

namespace {

    tl::unexpected<Problem> problem(ProblemKind kind, std::string detail)
    {
        return tl::make_unexpected(Problem { kind, RunState::NotRun, std::move(detail), std::nullopt });
    }

    json describe(const ProgramId& id, const ActiveProgram& active)
    {
        return { { "program", id.value_ }, { "workspace", active.workspace_.value_ },
            { "parent", active.parent_.value_ }, { "budget", active.budget_.value_ },
            { "last_call", active.lastCall_.value_ }, { "durable_call", active.durableCall_.value_ },
            { "running", active.running_.has_value() }, { "durable", active.isDurable_ },
            { "ended", active.hasEnded_ }, { "end_reason", active.endReason_ },
            { "messages", active.head_.messages_ }, { "context_tokens", active.contextTokens_.value_ } };
    }

} // namespace

tl::expected<CreateProgram, Problem> parseCreation(const RequestFrame& frame, const Manifest& manifest)
{
    json body = frame.body_.empty() ? json::object() : parseBoundedJson(frame.body_);
    if (!body.is_object())
        return problem(ProblemKind::BadRequest, "the body must be a JSON object such as {\"budget\": 20000}");
    for (const auto& [name, value] : body.items()) {
        if (name != "budget" && name != "parent")
            return problem(ProblemKind::BadRequest, "unknown member \"" + name + "\"; use budget and parent");
    }
    auto workspace = manifest.workspaces_.find(frame.workspace_);
    if (workspace == manifest.workspaces_.end())
        return problem(ProblemKind::Forbidden, "the workspace is no longer in the manifest");
    CreateProgram create { {}, frame.program_, frame.workspace_, {}, workspace->second.defaultBudget_ };
    if (body.contains("budget")) {
        if (!body["budget"].is_number_integer() || body["budget"].get<std::int64_t>() < 1)
            return problem(ProblemKind::BadRequest, "\"budget\" must be a positive integer number of tokens");
        create.budget_ = { body["budget"].get<std::int64_t>() };
    }
    if (create.budget_ > workspace->second.maxBudget_)
        return problem(ProblemKind::BudgetExceeded,
            "the workspace allows at most " + std::to_string(workspace->second.maxBudget_.value_)
                + " tokens for one program");
    if (!body.contains("parent"))
        return create;
    if (!body["parent"].is_string()
        || shardOf({ body["parent"].get<std::string>() }) != shardOf(frame.program_))
        return problem(ProblemKind::BadRequest, "\"parent\" must be the id of one of your programs");
    create.parent_ = { body["parent"].get<std::string>() };
    return create;
}

tl::expected<std::string, Problem> programDocument(
    Shard& shard, const ProgramId& program, const WorkspaceId& workspace, const ShardContext& context)
{
    ActiveProgram* active = findOrLoadActive(shard, program, context);
    if (!active || active->workspace_ != workspace)
        return tl::make_unexpected(Problem { ProblemKind::UnknownProgram, RunState::Unknown,
            "unknown program: it ended long ago or never existed", std::nullopt });
    json document = describe(program, *active);
    auto known = shard.ledger_.programs_.find(program);
    if (known != shard.ledger_.programs_.end())
        document["used"] = known->second.used_.value_;
    return document.dump();
}

void addProgramRows(const Shard& shard, const WorkspaceId& workspace, json& rows)
{
    for (const auto& [id, program] : shard.ledger_.programs_) {
        if (program.hasEnded_ || (!workspace.empty() && program.workspace_ != workspace))
            continue;
        rows.push_back({ { "program", id.value_ }, { "workspace", program.workspace_.value_ },
            { "last_call", program.lastCall_.value_ }, { "budget", program.budget_.value_ },
            { "used", program.used_.value_ } });
    }
}

} // namespace fescue
