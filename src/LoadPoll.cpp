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
    if (now < poll.next_ || pool.targets_.empty())
        return targets;
    poll.next_ = now + poll.interval_;
    auto turn = pool.targets_.upper_bound(poll.last_);
    for (std::size_t i = 0; i < pool.targets_.size() && targets.size() < poll.mostAtOnce_; ++i, ++turn) {
        if (turn == pool.targets_.end())
            turn = pool.targets_.begin();
        const Target& target = turn->second.target_;
        poll.last_ = target.id_;
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
