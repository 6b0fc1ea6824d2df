#include "SimulationState.h"

namespace fescue::bench {

namespace {

    constexpr int workspaces = 4;

    Random generatorOf(const Scenario& scenario, std::uint64_t root, std::uint64_t subAgent)
    {
        std::seed_seq seeds { scenario.seed_, root, subAgent };
        return Random(seeds);
    }

} // namespace

Program drawRoot(const Scenario& scenario, std::uint64_t root)
{
    Program program;
    program.root_ = root;
    Random random = generatorOf(scenario, root, 0);
    program.shape_ = drawProgram(scenario.mix_, random);
    auto zone = std::uniform_int_distribution<int>(0, zoneCount - 1)(random);
    int inZone = (scenario.mix_.vms_ - zone + zoneCount - 1) / zoneCount;
    program.vm_ = zone + zoneCount * std::uniform_int_distribution<int>(0, inZone - 1)(random);
    program.workspace_ = std::uniform_int_distribution<int>(0, workspaces - 1)(random);
    return program;
}

Program drawSubAgent(const Scenario& scenario, const Program& parent, int parentIndex, std::uint64_t subAgent)
{
    Program program;
    program.root_ = parent.root_;
    Random random = generatorOf(scenario, parent.root_, subAgent);
    program.shape_ = drawChild(scenario.mix_, random);
    program.parent_ = parentIndex;
    program.vm_ = parent.vm_;
    program.workspace_ = parent.workspace_;
    return program;
}

} // namespace fescue::bench
