#include "Authentication.h"

#include <algorithm>

namespace fescue {

namespace {

    bool isOlder(const ConfigCertainty& certainty, Milliseconds maxAge)
    {
        return !certainty.age_ || *certainty.age_ > maxAge;
    }

    // Caps say how much each workspace is meant to get. One without a cap gets as much as any.
    double weightOf(const ServingConfig& config, const WorkspaceId& workspace)
    {
        auto own = config.workspaces_.find(workspace);
        if (own != config.workspaces_.end() && own->second.ratePerSecond_ > 0)
            return own->second.ratePerSecond_;
        double highest = 0;
        for (const auto& [id, terms] : config.workspaces_)
            highest = std::max(highest, terms.ratePerSecond_);
        return highest == 0 ? 1 : highest;
    }

} // namespace

Authentication authenticate(
    const ServingConfig& config, const Route& route, const std::string& key, const ConfigCertainty& certainty)
{
    if (!config.hasWorkspaces_)
        return { KeyStatus::Accepted, {}, rankOf(config, {}, route.priority_) };
    auto found = config.workspaceOfKey_.find(key);
    if (found == config.workspaceOfKey_.end()) {
        if (route.isPublic_)
            return { KeyStatus::Accepted, {}, rankOf(config, {}, route.priority_) };
        bool mayBeNew = isOlder(certainty, certainty.maxAgeToReject_);
        return { mayBeNew ? KeyStatus::Uncertain : KeyStatus::Unknown, {}, {} };
    }
    if (certainty.maxAgeToAccept_ && isOlder(certainty, *certainty.maxAgeToAccept_) && !route.isPublic_)
        return { KeyStatus::Uncertain, {}, {} };
    return { KeyStatus::Accepted, found->second, rankOf(config, found->second, route.priority_),
        weightOf(config, found->second) };
}

CallRank rankOf(const ServingConfig& config, const WorkspaceId& workspace, std::uint32_t routePriority)
{
    auto terms = config.workspaces_.find(workspace);
    return { terms == config.workspaces_.end() ? 0 : terms->second.priority_, routePriority };
}

} // namespace fescue
