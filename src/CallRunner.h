#pragma once

/** \file
 * CallRunner: runs admitted calls on targets and forwards their output.
 *
 * The runner queues each call in the `TargetPool`, sends it when the pool dispatches it, forwards the events
 * of a model call to every waiting caller and reports one `ExecutionResult`. It also decides what may be
 * retried after a failure: a repeatable call while none of its output has been forwarded, and any call that
 * certainly never left this process.
 */

#include "HttpClient.h"
#include "Manifest.h"
#include "RequestTable.h"
#include "TargetPool.h"

#include <functional>
#include <memory>

namespace fescue {

/** Load of the pool. */
struct PoolLoad {
    std::size_t queued_ = 0;
    std::map<TargetId, std::uint32_t> inFlight_;
};

/** Options of a `CallRunner`. */
struct CallRunnerOptions {
    ZoneId zone_;
    std::uint64_t seed_ = 0;
    Milliseconds modelTimeout_ { 600000 };
    std::uint32_t maxAttempts_ = 3; ///< Maximum number of targets on which one call is tried.
};

/** Runs calls. All functions are thread-safe and none blocks, so a shard's lock may be held. */
class CallRunner {
public:
    using OnResult = std::function<void(const ProgramId&, ExecutionId, const ExecutionResult&)>;
    /** Reserves the budget of another attempt of a model call; see `reserveAnotherAttempt`. */
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
    /** Adds a caller that receives the output of a program's running call, from its start. */
    void attach(const ProgramId& program, RequestId request);
    void cancel(const ProgramId& program, ExecutionId execution);
    /** Drops what the pool knows about a program that has ended. */
    void forget(const ProgramId& program);
    /** Cancels hung calls, fails expired ones and dispatches queued ones. To be called periodically. */
    void tick();
    PoolLoad load() const;
    /** Number of calls that are queued or running. */
    std::size_t size() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
