#pragma once

/** \file
 * SimulationState: the events, programs and calls that the event loop of Simulation.cpp keeps.
 */

#include "Simulation.h"

#include <cstdint>

namespace fescue::bench {

/** Kinds of events. */
enum class Kind { Arrive, Turn, StepEnd, Report, Evictions, Tick, Patience, FaultStart, FaultEnd, Restart };

/** Something that happens at a time; `order_` keeps events of one time in order. */
struct Event {
    Seconds at_;
    std::uint64_t order_;
    Kind kind_;
    std::uint64_t subject_;
    std::uint64_t generation_;
};

/** Orders the queue of events. */
struct Later {
    bool operator()(const Event& a, const Event& b) const
    {
        return a.at_ != b.at_ ? a.at_ > b.at_ : a.order_ > b.order_;
    }
};

/** A program under way. */
struct Program {
    ProgramShape shape_;
    std::size_t turn_ = 0;
    int context_ = 0;
    int parent_ = -1;
    std::uint64_t root_ = 0;
    int openParts_ = 0; // Pause and sub-agents that the next turn waits for.
    int vm_ = 0;
    int workspace_ = 0;
    int refusals_ = 0;
    int repeats_ = 0;
    Seconds start_ = 0;
    Seconds turnStart_ = 0;
    bool isOver_ = false;
    bool crashes_ = false;
    double output_ = 0;
};

/** A call that has no answer yet. */
struct OpenCall {
    int program_ = 0;
    int engine_ = -1;
    int sends_ = 0;
    Seconds arrived_ = 0;
    WaitingCall waiting_;
};

/** A program of a caller. Each has a generator of its own, so that it is the same whatever the schedulers do
 * meanwhile. */
Program drawRoot(const Scenario& scenario, std::uint64_t root);

/** A sub-agent of the program `parent` at index `parentIndex`. */
Program drawPart(const Scenario& scenario, const Program& parent, int parentIndex, std::uint64_t part);

} // namespace fescue::bench
