#pragma once

/** \file
 * Simulation: a deterministic event loop that drives schedulers and engine models from a seed.
 *
 * Several VMs schedule concurrently. Load reports and evictions reach them late, and some evictions are lost.
 * The simulation knows the cache of each engine, so it can count tokens that were recomputed although cached.
 */

#include "Workload.h"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>

namespace fescue::bench {

/** A call as the scheduler sees it. */
struct WaitingCall {
    std::uint64_t id_ = 0;
    int program_ = 0;
    int workspace_ = 0;
    int promptTokens_ = 0;
    int contextTokens_ = 0;
    int maxOutputTokens_ = 0; ///< Requested limit; the actual output may be shorter.
    std::uint64_t digest_ = 0;
    std::set<int> excludedEngines_;
};

/** Outcome of a call at an engine. */
struct CallOutcome {
    enum class Kind { Answered, Unreachable, ConnectionLost, Hung, Cancelled };
    Kind kind_ = Kind::Answered;
    int promptTokens_ = 0;
    int cachedTokens_ = 0;
    int outputTokens_ = 0;
};

/** A call that is sent to an engine now. */
struct Assignment {
    std::uint64_t id_ = 0;
    int engine_ = 0;
};

/** A cached prefix that the scheduler has released. */
struct ReleasedPrefix {
    int program_ = 0;
    int engine_ = 0;
};

/** The scheduler refused a call; nothing was sent to an engine. */
struct Refusal {
    Seconds retryAfter_ = 0;
    bool isFinal_ = false; ///< The request is quarantined.
};

/** Callbacks through which the simulation drives the scheduler of one VM. */
struct VmScheduler {
    std::function<std::optional<Refusal>(const WaitingCall&, Seconds)> enqueue_;
    std::function<std::vector<Assignment>(Seconds)> nextAssignments_;
    std::function<void(std::uint64_t, const CallOutcome&, Seconds)> onCallEnded_;
    std::function<void(std::uint64_t, Seconds)> onOutput_;
    std::function<void(int, const EngineLoad&, Seconds)> onLoadReport_;
    std::function<void(int program, int engine, Seconds)> onEviction_;
    std::function<void(int program)> onProgramEnded_;
    std::function<bool(std::uint64_t)> removeQueued_;
    std::function<std::vector<std::uint64_t>(Seconds)> hungCalls_;
    std::function<std::vector<ReleasedPrefix>(Seconds)> removeStalePrefixes_;
    std::function<bool(Seconds)> tryConsumeRetry_;
    bool releasesOnEnd_ = false;
};

/** Zones of a VM and of all engines. */
struct Topology {
    int zone_ = 0;
    std::vector<int> engineZones_;
    std::uint64_t seed_ = 0;
};

/** Makes the scheduler of one VM. */
using MakeScheduler = std::function<VmScheduler(const Topology&)>;

/** Fault that is injected between `faultFrom` and `faultTo`. */
enum class Fault { None, EnginesLost, SlowEngine, HungEngine, ZonePartitioned, CrashingRequest };

constexpr int zoneCount = 3;
constexpr Seconds warmUpEnd = 150;
constexpr Seconds faultFrom = 300;
constexpr Seconds faultTo = 390;
constexpr Seconds lastArrival = 600;
constexpr Seconds runEnd = 1800;

/** Parameters of one run. */
struct Scenario {
    Mix mix_;
    double load_ = 1; ///< Fraction of the capacity of the mix, see `capacityOf`.
    Fault fault_ = Fault::None;
    std::uint64_t seed_ = 1;
};

/** Result of a finished or abandoned program. */
struct ProgramResult {
    int turns_ = 0;
    Seconds latency_ = std::numeric_limits<Seconds>::infinity(); ///< Infinite if it was abandoned.
};

/** Results of one run. */
struct SimulationResult {
    /** Top-level programs that arrived between `warmUpEnd` and `lastArrival`; looping and crashing programs
     * are left out. */
    std::vector<ProgramResult> programs_;
    std::vector<std::pair<Seconds, Seconds>> calls_; ///< Answer time and latency of each call.
    double promptTokens_ = 0;
    double wastedTokens_ = 0; ///< Recomputed although another engine had them cached.
    double endedProgramTokenSeconds_ = 0; ///< Cache tokens times seconds held for ended programs.
    double goodputTokens_ = 0; ///< Output between `warmUpEnd` and `lastArrival` of programs that finished.
    std::uint64_t requests_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t refusals_ = 0;
    std::uint64_t crashes_ = 0;
};

SimulationResult simulate(const Scenario& scenario, const MakeScheduler& make);

} // namespace fescue::bench
