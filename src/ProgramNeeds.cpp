#include "ProgramNeeds.h"

#include <algorithm>

namespace fescue {

namespace {

    void makeRoom(ProgramNeeds& needs, MonotonicTime now, const NeedsOptions& options)
    {
        if (needs.programs_.size() < options.maxPrograms_)
            return;
        for (auto program = needs.programs_.begin(); program != needs.programs_.end();) {
            bool isOld = program->second.seenAt_ + options.programTimeout_ < now;
            program = isOld ? needs.programs_.erase(program) : std::next(program);
        }
    }

} // namespace

void recordTurn(ProgramNeeds& needs, const ProgramId& program, const std::string& route, MonotonicTime now,
    const NeedsOptions& options)
{
    makeRoom(needs, now, options);
    if (needs.programs_.size() < options.maxPrograms_ || needs.programs_.count(program))
        needs.programs_[program] = { route, now };
}

void recordToolCall(
    ProgramNeeds& needs, const ProgramId& program, const ServiceId& service, MonotonicTime now)
{
    auto found = needs.programs_.find(program);
    if (found != needs.programs_.end())
        needs.calledBy_[found->second.route_][service] = now;
}

std::vector<ServiceId> toolsOf(
    const ProgramNeeds& needs, const std::string& route, MonotonicTime now, const NeedsOptions& options)
{
    std::vector<ServiceId> tools;
    auto found = needs.calledBy_.find(route);
    if (found == needs.calledBy_.end())
        return tools;
    for (const auto& [service, calledAt] : found->second) {
        if (calledAt + options.needTimeout_ >= now)
            tools.push_back(service);
    }
    return tools;
}

} // namespace fescue
