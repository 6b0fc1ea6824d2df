#pragma once

/** \file
 * Simulation: a deterministic event loop that drives schedulers and engine models from a seed.
 *
 * Several VMs choose at once. Each sees load reports and evictions late, and some evictions never. The
 * loop knows what each engine holds, so it can count the tokens that were computed again needlessly.
 */

#include "Workload.h"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>

namespace fescue::bench {

/** A call as a scheduler sees it. */
struct WaitingCall {
    std::uint64_t id_ = 0;
    int program_ = 0;
    int workspace_ = 0;
    int prompt_ = 0;
    int contextTokens_ = 0;
    int output_ = 0; ///< The most that was asked for, not what comes.
    std::uint64_t digest_ = 0;
    std::set<int> avoid_;
};

/** How a call ended at an engine. */
struct CallEnd {
    enum class Kind { Answered, Unreachable, BrokenOff, Hung, Cancelled };
    Kind kind_ = Kind::Answered;
    int prompt_ = 0;
    int cached_ = 0;
    int output_ = 0;
};

/** A call that goes to an engine now. */
struct Placed {
    std::uint64_t id_ = 0;
    int engine_ = 0;
};

/** A prefix that a scheduler has released. */
struct StaleCopy {
    int program_ = 0;
    int engine_ = 0;
};

/** A refusal; nothing of the call was sent. */
struct Refusal {
    Seconds retryAfter_ = 0;
    bool isFinal_ = false; ///< The request is quarantined.
};

/** The scheduler of one VM, as the loop drives it. */
struct VmScheduler {
    std::function<std::optional<Refusal>(const WaitingCall&, Seconds)> enqueue_;
    std::function<std::vector<Placed>(Seconds)> next_;
    std::function<void(std::uint64_t, const CallEnd&, Seconds)> ended_;
    std::function<void(std::uint64_t, Seconds)> output_;
    std::function<void(int, const EngineLoad&, Seconds)> loadReported_;
    std::function<void(int program, int engine, Seconds)> evicted_;
    std::function<void(int program)> programEnded_;
    std::function<bool(std::uint64_t)> removeQueued_;
    std::function<std::vector<std::uint64_t>(Seconds)> overdue_;
    std::function<std::vector<StaleCopy>(Seconds)> stale_;
    std::function<bool(Seconds)> mayRetry_;
    bool releasesOnEnd_ = false;
};

/** Where a VM and the engines stand. */
struct Surroundings {
    int zone_ = 0;
    std::vector<int> engineZones_;
    std::uint64_t seed_ = 0;
};

/** Makes the scheduler of one VM. */
using MakeScheduler = std::function<VmScheduler(const Surroundings&)>;

/** What goes wrong between `faultFrom` and `faultTo`. */
enum class Fault { None, ThirdLost, SlowEngine, HungEngine, ZoneCut, CrashingRequest };

constexpr int zones = 3;
constexpr Seconds warmUp = 150;
constexpr Seconds faultFrom = 300;
constexpr Seconds faultTo = 390;
constexpr Seconds lastArrival = 600;
constexpr Seconds runEnd = 1800;

/** One run. */
struct Scenario {
    Mix mix_;
    double load_ = 1; ///< Share of the capacity.
    Fault fault_ = Fault::None;
    std::uint64_t seed_ = 1;
};

/** A finished or lost program. */
struct ProgramTime {
    int turns_ = 0;
    Seconds latency_ = std::numeric_limits<Seconds>::infinity(); ///< Infinite when it was given up.
};

/** What a run came to. */
struct Measures {
    std::vector<ProgramTime> programs_; ///< Those that arrived between `warmUp` and `lastArrival`.
    std::vector<std::pair<Seconds, Seconds>> calls_; ///< Time of the answer and latency of the call.
    double promptTokens_ = 0;
    double wastedTokens_ = 0; ///< Computed again although an engine held them.
    double deadTokenSeconds_ = 0;
    double goodTokens_ = 0; ///< Output between `warmUp` and `lastArrival` of programs that came to their end.
    std::uint64_t requests_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t refusals_ = 0;
    std::uint64_t crashes_ = 0;
};

Measures simulate(const Scenario& scenario, const MakeScheduler& make);

} // namespace fescue::bench
