#pragma once

/** \file
 * ShardManager: the shards of a VM, each under its own lock, and their log operations.
 *
 * A decision (a function described in Shard.h) runs under the lock of its shard, and its effects are handled
 * in order. Each shard has one log operation in flight at a time:
 *
 *     not owned --read--> up to date --claim--> owned --append batch--> ...
 *
 * An append without an answer is followed by a read, which shows whether it took effect.
 */

#include "LogClient.h"
#include "ProgramLifecycle.h"
#include "Shard.h"

#include <functional>
#include <memory>

namespace fescue {

/** Settings of a `ShardManager`. */
struct ShardManagerOptions {
    VmId vm_;
    WriterId writer_;
    LogAddress log_;
    ShardLimits limits_;
    Milliseconds flushInterval_ { 500 }; ///< Maximum delay of records that no call waits for.
    /** Maximum time that a request waits for its shard to be taken over. */
    Milliseconds claimTimeout_ { 3000 };
};

/** Status of a shard, for operators. */
struct ShardStatus {
    ShardKey shard_;
    Epoch epoch_;
    VmId owner_;
    std::size_t programs_ = 0;
    std::size_t running_ = 0;
    std::size_t unconfirmed_ = 0;
    bool isLogDown_ = false;
};

/** The shards of a VM. All functions are thread-safe and do not block. */
class ShardManager {
public:
    using Decision = std::function<Effects(Shard&, const ShardContext&)>;
    using EffectHandler = std::function<void(const ShardKey&, const Effect&)>;
    /** Reads a shard under its lock. */
    using Inspect = std::function<void(const Shard&)>;

    /** `handleEffect` is called under the shard's lock and must not call back into this object. */
    ShardManager(const ShardManagerOptions& options, HttpClient& client, EffectHandler handleEffect);
    ~ShardManager();

    /** Whether an owner should read the log before it decides; see `isPossiblyStale` in AdmitCall.h. */
    using StalenessCheck = std::function<bool(const Shard&)>;

    /** Runs the decision once this VM owns the shard, taking over the shard if needed.
     *
     * If that exceeds `claimTimeout_` the request is refused. An owner for which `isPossiblyStale` returns
     * true reads the log first, so that it does not refuse a call because of a takeover that it has not seen;
     * while the log is down it decides on the state it has. */
    void submit(
        const ShardKey& shard, RequestId request, Decision decision, const StalenessCheck& isPossiblyStale);

    /** Runs the decision immediately, whether or not this VM owns the shard. */
    void applyDecision(const ShardKey& shard, const Decision& decision);

    /** Takes over a shard without a request, so that the programs of a failed owner still time out. */
    void takeOver(const ShardKey& shard);

    /** Reads the log of an owned shard, to detect a takeover by another VM. */
    void verifyOwnership(const ShardKey& shard);

    /** Calls `inspection` once a read that starts after this call has reached the end of the shard's stream;
     * not while the log is down. `inspection` runs under the shard's lock and must not call back into this
     * object. */
    void inspectAfterRead(const ShardKey& shard, Inspect inspection);
    /** Progress of releasing a shard. */
    enum class ReleaseState {
        Busy, ///< Requests, calls or records are in flight, or the log is down.
        Releasing, ///< It returns its unspent tranches to the log; it should get no new calls.
        NotOwned, ///< This VM does not, or no longer, own it.
    };
    /** Releases the shard if nothing is in flight, so that it moves without interrupting calls. */
    ReleaseState release(const ShardKey& shard);
    bool isOwned(const ShardKey& shard) const;

    /** Flushes due records and handles timeouts. Call periodically. */
    void tick();
    /** Appends pending records without waiting for the flush interval. */
    void flushNow();

    void inspect(const ShardKey& shard, const Inspect& inspection) const;
    /** Status of every shard that this VM has used. */
    std::vector<ShardStatus> status() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
