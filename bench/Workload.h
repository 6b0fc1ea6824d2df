#pragma once

/** \file
 * Workload: random programs, drawn from a seed. Schedulers do not know their shape in advance.
 *
 * Mix A has long sessions of many turns, with tool pauses of seconds to minutes, on large engines. Mix B has
 * many short programs on fewer engines with small caches. Both have heavy-tailed distributions, sub-agents
 * and a few programs that loop until their budget is spent.
 */

#include "EngineModel.h"

#include <random>
#include <string>
#include <vector>

namespace fescue::bench {

/** Random number generator of the workload. */
using Random = std::mt19937_64;

/** One turn of a program. */
struct Turn {
    int newPrompt_ = 0; ///< Tokens that the turn adds to the transcript.
    int outputTokens_ = 0;
    Seconds pause_ = 0; ///< Duration of the tool call that follows.
    int children_ = 0; ///< Sub-agents that have to end before the next turn.
};

/** All turns of a program. */
struct ProgramShape {
    std::vector<Turn> turns_;
    bool isLooping_ = false;
    bool isAbandoned_ = false; ///< Its caller leaves during the last pause without ending it.
};

/** Distributions of the programs, and the engines and VMs that serve them. */
struct Mix {
    std::string name_;
    int engines_ = 20;
    int vms_ = 10;
    EngineShape engine_;
    double meanTurns_ = 14;
    double pauseLogMean_ = 2;
    double pauseLogDeviation_ = 1.2;
    int firstPrompt_ = 4000;
    int laterPrompt_ = 900;
    double outputLogMean_ = 5.2;
    double outputLogDeviation_ = 0.8;
    double childrenShare_ = 0.06;
    double loopingShare_ = 0.02;
    int loopTurns_ = 120;
    double abandonedShare_ = 0.08;
    Seconds callerTimeout_ = 300; ///< A caller abandons its program when a call takes longer.
};

Mix mixA();
Mix mixB();
ProgramShape drawProgram(const Mix& mix, Random& random);
ProgramShape drawChild(const Mix& mix, Random& random);
/** Programs per second that the engines can serve at 90% batch utilisation with every prefix cached. */
double capacityOf(const Mix& mix);

} // namespace fescue::bench
