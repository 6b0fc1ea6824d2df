#pragma once

/** \file
 * Workload: programs whose shape is unknown until they run, drawn from a seed.
 *
 * Mix A has long sessions of many turns with tool pauses of seconds to minutes before larger engines; mix B
 * has many short programs before fewer engines with small caches. Both have heavy tails, sub-agents and a
 * few programs that loop until their budget is spent.
 */

#include "EngineModel.h"

#include <random>
#include <string>
#include <vector>

namespace fescue::bench {

/** Generator of everything that is drawn. */
using Random = std::mt19937_64;

/** One turn of a program. */
struct Turn {
    int newPrompt_ = 0; ///< Tokens that the turn adds to the transcript.
    int output_ = 0;
    Seconds pause_ = 0; ///< Of the tool call that follows.
    int children_ = 0; ///< Sub-agents that have to end before the next turn.
};

/** The whole shape of a program. */
struct ProgramShape {
    std::vector<Turn> turns_;
    bool loops_ = false;
    bool walksAway_ = false; ///< Its caller leaves for good during the last pause.
};

/** A user's programs, engines and VMs. */
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
    double loopShare_ = 0.02;
    int loopTurns_ = 120;
    double walkAwayShare_ = 0.08;
    Seconds patience_ = 300; ///< A caller whose call takes longer gives its program up.
};

Mix mixA();
Mix mixB();
ProgramShape drawProgram(const Mix& mix, Random& random);
ProgramShape drawChild(const Mix& mix, Random& random);
/** Programs a second that engines serve with nine tenths of their batches full and every prefix in cache. */
double capacityOf(const Mix& mix);

} // namespace fescue::bench
