#include "Placement.h"

namespace fescue {

namespace {

    const Candidate* cheapest(const std::vector<Candidate>& candidates, bool mayBeFull)
    {
        const Candidate* best = nullptr;
        for (const Candidate& candidate : candidates) {
            if (candidate.isFull_ && !mayBeFull)
                continue;
            if (!best || candidate.costMs_ < best->costMs_)
                best = &candidate;
        }
        return best;
    }

} // namespace

Choice chooseTarget(const std::vector<Candidate>& candidates, const PlacementOptions& options)
{
    const Candidate* free = cheapest(candidates, false);
    if (!free)
        return {};
    const Candidate* any = cheapest(candidates, true);
    if (any->isFull_ && options.waitsForPrefix_)
        return { Choice::Kind::WaitForTarget, any->target_ };
    return { Choice::Kind::Run, free->target_ };
}

} // namespace fescue
