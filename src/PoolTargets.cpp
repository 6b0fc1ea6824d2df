#include "PoolTargets.h"

#include "TcpLink.h"

namespace fescue {

Manifest poolTargets(const TargetList& list, const ServingConfig& config, const LeavingTargets& leaving)
{
    Manifest manifest;
    for (const auto& [id, entry] : list.entries_) {
        if (!parseEndpoint(entry.address_))
            continue;
        Target target;
        target.id_ = id;
        target.url_ = entry.address_;
        target.zone_ = entry.zone_;
        target.isLeaving_ = entry.isLeaving_ || hasSaidItLeaves(leaving, id, entry.startedAt_);
        target.slots_ = entry.slots_;
        target.version_ = entry.version_;
        auto service = config.services_.find(entry.service_);
        if (service != config.services_.end() && service->second.isModel_)
            target.models_.push_back({ entry.service_.value_ });
        else
            target.service_ = entry.service_;
        manifest.targets_[id] = std::move(target);
    }
    return manifest;
}

} // namespace fescue
