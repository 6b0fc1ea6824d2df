#include "SchedulerStatus.h"

#include "ProgramDocument.h"

#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    Gauge gauge(const char* name, std::size_t value) { return { name, {}, static_cast<double>(value) }; }

    nlohmann::json configStatusOf(const ConfigStatus& status)
    {
        return { { "in_force", status.hasConfig_ }, { "gap", status.hasGap_ },
            { "blocked", status.isBlocked_ }, { "in_touch", status.isUpToDate_ } };
    }

    nlohmann::json membersOf(const Members& members)
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const Member& member : members)
            rows.push_back({ { "vm", member.vm_.value_ }, { "zone", member.zone_.value_ },
                { "leaving", member.isLeaving_ }, { "reachable", member.isReachable_ } });
        return rows;
    }

    nlohmann::json shardsOf(const std::vector<ShardStatus>& shards)
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const ShardStatus& row : shards)
            rows.push_back({ { "shard", streamOf(row.shard_) }, { "epoch", row.epoch_.value_ },
                { "owner", row.owner_.value_ }, { "programs", row.programs_ }, { "running", row.running_ },
                { "unconfirmed", row.unconfirmed_ }, { "log_down", row.isLogDown_ } });
        return rows;
    }

} // namespace

std::vector<Gauge> gaugesOf(const SchedulerState& state)
{
    std::size_t owned = 0;
    std::size_t programs = 0;
    std::size_t running = 0;
    std::size_t unconfirmed = 0;
    std::size_t logDown = 0;
    for (const ShardStatus& shard : state.shards_) {
        unconfirmed += shard.unconfirmed_;
        logDown += shard.isLogDown_ ? 1 : 0;
        if (shard.epoch_.value_ == 0)
            continue;
        ++owned;
        programs += shard.programs_;
        running += shard.running_;
    }
    std::vector<Gauge> gauges { gauge("scheduler_ready", state.isReady_ ? 1 : 0),
        gauge("scheduler_draining", state.isDraining_ ? 1 : 0),
        gauge("scheduler_open_requests", state.openRequests_), gauge("scheduler_shards_owned", owned),
        gauge("scheduler_programs", programs), gauge("scheduler_running_calls", running),
        gauge("scheduler_unconfirmed_records", unconfirmed), gauge("scheduler_shards_log_down", logDown),
        gauge("scheduler_queue_length", state.load_.queued_) };
    for (const auto& [target, inFlight] : state.load_.inFlight_)
        gauges.push_back(
            { "scheduler_in_flight", { "target", target.value_ }, static_cast<double>(inFlight) });
    return gauges;
}

std::string statusText(const SchedulerState& state)
{
    nlohmann::json document { { "vm", state.vm_.value_ }, { "zone", state.zone_.value_ },
        { "draining", state.isDraining_ }, { "open_requests", state.openRequests_ },
        { "config", toJson(state.config_) }, { "config_standing", configStatusOf(state.configStatus_) },
        { "members", membersOf(state.members_) }, { "shards", shardsOf(state.shards_) } };
    return document.dump();
}

std::string programsText(const ShardManager& shards, const WorkspaceId& workspace)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const ShardStatus& shard : shards.status())
        shards.inspect(shard.shard_, [&](const Shard& state) { addProgramRows(state, workspace, rows); });
    return nlohmann::json { { "programs", rows } }.dump();
}

} // namespace fescue
