#include "Workload.h"

#include <algorithm>
#include <cmath>

namespace fescue::bench {

namespace {

    constexpr std::uint64_t capacitySeed = 7;
    constexpr int capacitySamples = 4000;
    constexpr Seconds maxPause = 240;
    constexpr int maxOutputTokens = 2000;
    constexpr int maxTurns = 53;
    constexpr double achievableUtilization = 0.9; // Batches are not always full.

    Turn drawTurn(const Mix& mix, bool isFirst, Random& random)
    {
        std::lognormal_distribution<double> output(mix.outputLogMean_, mix.outputLogDeviation_);
        std::lognormal_distribution<double> pause(mix.pauseLogMean_, mix.pauseLogDeviation_);
        std::exponential_distribution<double> prompt(1.0);
        Turn turn;
        double base = isFirst ? mix.firstPrompt_ : mix.laterPrompt_;
        turn.newPrompt_ = 50 + static_cast<int>(base * (0.3 + 0.7 * std::min(6.0, prompt(random))));
        turn.outputTokens_ = std::clamp(static_cast<int>(output(random)), 16, maxOutputTokens);
        turn.pause_ = std::min(maxPause, pause(random));
        return turn;
    }

    double engineTimeOf(const Mix& mix, const ProgramShape& shape)
    {
        const EngineShape& engine = mix.engine_;
        auto batch = static_cast<double>(engine.maxBatchSize_);
        double token = (engine.tokenTime_ + engine.tokenTimePerCall_ * batch) / batch;
        double total = 0;
        for (const Turn& turn : shape.turns_)
            total += turn.outputTokens_ * token + turn.newPrompt_ * engine.prefillTime_;
        return total;
    }

} // namespace

Mix mixA()
{
    Mix mix;
    mix.name_ = "A";
    return mix;
}

Mix mixB()
{
    Mix mix;
    mix.name_ = "B";
    mix.engines_ = 12;
    mix.engine_.memoryTokens_ = 350000;
    mix.engine_.maxBatchSize_ = 24;
    mix.meanTurns_ = 4;
    mix.pauseLogMean_ = 1.2;
    mix.pauseLogDeviation_ = 1.0;
    mix.firstPrompt_ = 2500;
    mix.laterPrompt_ = 500;
    mix.outputLogMean_ = 4.8;
    mix.childrenShare_ = 0.03;
    mix.loopTurns_ = 60;
    mix.callerTimeout_ = 180;
    return mix;
}

ProgramShape drawProgram(const Mix& mix, Random& random)
{
    std::uniform_real_distribution<double> chance(0, 1);
    std::lognormal_distribution<double> turns(std::log(mix.meanTurns_) - 0.32, 0.8);
    ProgramShape shape;
    shape.isLooping_ = chance(random) < mix.loopingShare_;
    shape.isAbandoned_ = !shape.isLooping_ && chance(random) < mix.abandonedShare_;
    int count = std::clamp(static_cast<int>(std::lround(turns(random))), 1, maxTurns);
    if (shape.isLooping_)
        count = mix.loopTurns_;
    for (int i = 0; i < count; ++i) {
        Turn turn = drawTurn(mix, i == 0, random);
        if (shape.isLooping_)
            turn.pause_ = std::min(turn.pause_, 0.5);
        else if (chance(random) < mix.childrenShare_)
            turn.children_ = 1 + static_cast<int>(chance(random) * 3);
        shape.turns_.push_back(turn);
    }
    return shape;
}

ProgramShape drawChild(const Mix& mix, Random& random)
{
    std::uniform_int_distribution<int> turns(1, 4);
    ProgramShape shape;
    int count = turns(random);
    for (int i = 0; i < count; ++i) {
        shape.turns_.push_back(drawTurn(mix, i == 0, random));
        shape.turns_.back().pause_ = std::min(shape.turns_.back().pause_, 5.0);
    }
    return shape;
}

double capacityOf(const Mix& mix)
{
    Random random(capacitySeed);
    double total = 0;
    for (int i = 0; i < capacitySamples; ++i) {
        ProgramShape shape = drawProgram(mix, random);
        total += engineTimeOf(mix, shape);
        for (const Turn& turn : shape.turns_) {
            for (int child = 0; child < turn.children_; ++child)
                total += engineTimeOf(mix, drawChild(mix, random));
        }
    }
    return achievableUtilization * mix.engines_ * capacitySamples / total;
}

} // namespace fescue::bench
