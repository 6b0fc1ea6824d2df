#pragma once

/** \file
 * CallRunner: runs admitted calls at targets and passes their output on.
 *
 * It puts each call into the `TargetPool`, sends it when the pool says so, forwards a model's events to
 * every caller that waits, and reports one `ExecutionResult`. What may be handleResult again after a
 * failureProblem is decided here: a repeatable call, as long as no output of it has been passed on, and any
 * call that certainly never left this process.
 */

#include "HttpClient.h"
#include "Manifest.h"
#include "RequestTable.h"
#include "TargetPool.h"

#include <functional>
#include <memory>

namespace fescue {

/** How busy the pool is. */
struct PoolLoad {
    std::size_t queued_ = 0;
    std::map<TargetId, std::uint32_t> inFlight_;
};

/** What a runner needs from its process. */
struct CallRunnerOptions {
    ZoneId zone_;
    std::uint64_t seed_ = 0;
    Milliseconds modelTimeout_ { 600000 };
    std::uint32_t maxAttempts_ = 3; ///< Most targets that one call is tried at.
};

/** Runs calls. All functions are safe from any thread and none waits, so a shard's lock may be held. */
class CallRunner {
public:
    using OnResult = std::function<void(const ProgramId&, ExecutionId, const ExecutionResult&)>;
    /** Reserves a further attempt of a model call; see `reserveAnotherAttempt`. */
    using Reserve = std::function<bool(const ProgramId&, ExecutionId)>;
    using Post = std::function<void(std::function<void()>)>;

    /** `onResult` and `reserve` are called on a thread that holds no lock; `post` runs a task on such a
     * thread. */
    CallRunner(const CallRunnerOptions& options, HttpClient& client, RequestTable& requests, Post post,
        OnResult onResult, Reserve reserve);
    ~CallRunner();

    void setManifest(const Manifest& manifest);
    void run(const ExecuteCall& execute);
    /** Runs a repeatable call that belongs to no program, and answers it. */
    void runWithoutProgram(const Call& call);
    /** Lets a further caller see the output of a program's running call, from its start. */
    void attach(const ProgramId& program, RequestId request);
    void cancel(const ProgramId& program, ExecutionId execution);
    /** Forgets where a program that has ended ran. */
    void forget(const ProgramId& program);
    /** Sends what can be handleResult now; to be called at a steady pace. */
    void tick();
    PoolLoad load() const;
    /** Calls that wait or run. */
    std::size_t size() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
