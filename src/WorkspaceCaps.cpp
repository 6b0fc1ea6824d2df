#include "WorkspaceCapsImpl.h"

namespace fescue {

WorkspaceCaps::WorkspaceCaps(PeerExchange& exchange, const VmSettings& settings, const WriterId& writer)
    : impl_(std::make_shared<Impl>(exchange, settings, writer))
{
}

WorkspaceCaps::~WorkspaceCaps() = default;

void WorkspaceCaps::setConfig(const ServingConfig& config) { impl_->setConfig(config); }

void WorkspaceCaps::admit(const WorkspaceId& workspace, OnDecision done)
{
    impl_->admit(workspace, std::move(done));
}

bool WorkspaceCaps::isCapped(const WorkspaceId& workspace) const { return impl_->caps_.count(workspace) > 0; }

void WorkspaceCaps::tick(MonotonicTime now) { impl_->tick(now); }

std::vector<Gauge> WorkspaceCaps::gauges() const
{
    std::vector<Gauge> gauges { { "caps_giver", {}, impl_->giver_.wasGiver_ ? 1.0 : 0.0 } };
    for (const auto& [workspace, counts] : impl_->counts_)
        gauges.push_back({ "workspace_admitted", { "workspace", workspace.value_ },
            static_cast<double>(counts.admitted_) });
    for (const auto& [workspace, counts] : impl_->counts_)
        gauges.push_back({ "workspace_refused_by_cap", { "workspace", workspace.value_ },
            static_cast<double>(counts.refused_) });
    return gauges;
}

} // namespace fescue
