#include "LoadPoll.h"

#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    std::int64_t countOf(const nlohmann::json& document, const char* name)
    {
        auto found = document.find(name);
        bool isCount = found != document.end() && found->is_number_integer();
        return isCount ? std::max<std::int64_t>(0, found->get<std::int64_t>()) : 0;
    }

} // namespace

std::vector<Target> nextPolls(LoadPoll& poll, const TargetPool& pool, MonotonicTime now)
{
    std::vector<Target> targets;
    if (now < poll.nextPollAt_ || pool.targets_.empty())
        return targets;
    poll.nextPollAt_ = now + poll.interval_;
    auto next = pool.targets_.upper_bound(poll.lastPolled_);
    for (std::size_t i = 0; i < pool.targets_.size() && targets.size() < poll.maxTargetsPerPoll_;
         ++i, ++next) {
        if (next == pool.targets_.end())
            next = pool.targets_.begin();
        const Target& target = next->second.target_;
        poll.lastPolled_ = target.id_;
        if (target.zone_ == pool.zone_ && !target.models_.empty() && !target.isLeaving_)
            targets.push_back(target);
    }
    return targets;
}

std::optional<LoadReport> parseLoad(const std::string& body)
{
    auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("running"))
        return std::nullopt;
    return LoadReport { static_cast<std::uint32_t>(countOf(document, "running")),
        static_cast<std::uint32_t>(countOf(document, "waiting")), { countOf(document, "queued_tokens") } };
}

} // namespace fescue
