#include "PoolPrograms.h"

#include <algorithm>
#include <vector>

namespace fescue {

namespace {

    std::map<ProgramId, MonotonicTime> lastUses(const TargetPool& pool)
    {
        std::map<ProgramId, MonotonicTime> uses;
        for (const auto& [program, attained] : pool.queue_.attained_)
            uses[program] = attained.lastUse_;
        for (const auto& [program, prefixes] : pool.cachedPrefixes_) {
            MonotonicTime& lastUse = uses[program];
            for (const auto& [target, prefix] : prefixes)
                lastUse = std::max(lastUse, prefix.usedAt_);
        }
        return uses;
    }

    // The time before which programs were used last that are too many; no program was used before it if none
    // are.
    MonotonicTime oldestKept(const std::map<ProgramId, MonotonicTime>& uses, std::size_t maxPrograms)
    {
        if (uses.size() <= maxPrograms)
            return {};
        std::vector<MonotonicTime> times;
        times.reserve(uses.size());
        for (const auto& [program, lastUse] : uses)
            times.push_back(lastUse);
        auto first = times.begin() + static_cast<std::ptrdiff_t>(times.size() - maxPrograms);
        std::nth_element(times.begin(), first, times.end());
        return *first;
    }

} // namespace

bool hasTooManyPrograms(const TargetPool& pool, const ProgramBounds& bounds)
{
    // Dropping takes a pass over all programs, so some are dropped at once.
    std::size_t slack = bounds.maxPrograms_ / 4;
    return programCount(pool) > bounds.maxPrograms_ + slack;
}

void evictPrograms(TargetPool& pool, const ProgramBounds& bounds, MonotonicTime now)
{
    auto uses = lastUses(pool);
    MonotonicTime oldest = std::max(now - bounds.idleTimeout_, oldestKept(uses, bounds.maxPrograms_));
    for (const auto& [program, lastUse] : uses) {
        if (lastUse < oldest)
            forgetProgram(pool, program);
    }
}

std::size_t programCount(const TargetPool& pool)
{
    return std::max(pool.queue_.attained_.size(), pool.cachedPrefixes_.size());
}

} // namespace fescue
