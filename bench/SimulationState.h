#pragma once

/** \file
 * SimulationState: events, programs and calls of the event loop in Simulation.cpp.
 */

#include "Simulation.h"

#include <cstdint>

namespace fescue::bench {

/** Kinds of events. */
enum class EventKind {
    Arrive,
    Turn,
    StepEnd,
    Report,
    Evictions,
    Tick,
    CallerTimeout,
    FaultStart,
    FaultEnd,
    Restart
};

/** A scheduled event. Events with the same time run in the order in which they were scheduled (`order_`). */
struct Event {
    Seconds at_;
    std::uint64_t order_;
    EventKind kind_;
    std::uint64_t subject_; ///< Index of the program or engine, by kind.
    std::uint64_t generation_; ///< Generation of the engine, or turn of the program; events of earlier ones
                               ///< are ignored.
};

/** Comparator that puts the earliest event at the top of the queue. */
struct RunsLater {
    bool operator()(const Event& a, const Event& b) const
    {
        return a.at_ != b.at_ ? a.at_ > b.at_ : a.order_ > b.order_;
    }
};

/** A running or ended program. */
struct Program {
    ProgramShape shape_;
    std::size_t turn_ = 0;
    int context_ = 0;
    int parent_ = -1;
    std::uint64_t root_ = 0;
    int pendingDependencies_ = 0; ///< Tool pause and sub-agents that the next turn waits for.
    int vm_ = 0;
    int workspace_ = 0;
    int refusals_ = 0;
    int retries_ = 0;
    Seconds start_ = 0;
    Seconds turnStart_ = 0;
    bool hasEnded_ = false;
    bool crashes_ = false;
    double outputTokens_ = 0;
};

/** A call without an answer. */
struct PendingCall {
    int program_ = 0;
    int engine_ = -1;
    int attempts_ = 0;
    Seconds arrived_ = 0;
    WaitingCall request_;
};

/** Draws a top-level program. Each program has its own generator, so that its shape does not depend on the
 * scheduler under test. */
Program drawRoot(const Scenario& scenario, std::uint64_t root);

/** Draws a sub-agent of the program `parent`, which is at index `parentIndex`. */
Program drawSubAgent(
    const Scenario& scenario, const Program& parent, int parentIndex, std::uint64_t subAgent);

} // namespace fescue::bench
