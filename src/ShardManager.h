#pragma once

/** \file
 * ShardManager: a VM's shards, each under its own lock, and their traffic with the log.
 *
 * A decision (a function of Shard.h's family) is handed in, run under the lock of its shard, and its
 * effects are carried out in the same order. Towards the log each shard has one operation at a time:
 *
 *     not owned --read--> up to date --claim--> owned --append batch--> ...
 *
 * An append without an answer is followed by a read, which tells whether it took effect.
 */

#include "LogClient.h"
#include "ProgramLifecycle.h"
#include "Shard.h"

#include <functional>
#include <memory>

namespace fescue {

/** What the shards of a VM need. */
struct ShardManagerOptions {
    VmId vm_;
    WriterId writer_;
    LogAddress log_;
    ShardLimits limits_;
    Milliseconds flushInterval_ { 500 }; ///< How long records that nobody waits for are gathered.
    Milliseconds claimTimeout_ { 3000 }; ///< How long a request waits for its shard to be taken over.
};

/** How a shard stands, for operators. */
struct ShardStatus {
    ShardKey shard_;
    Epoch epoch_;
    VmId owner_;
    std::size_t programs_ = 0;
    std::size_t running_ = 0;
    std::size_t unconfirmed_ = 0;
    bool isLogDown_ = false;
};

/** The shards of a VM. All functions are safe from any thread and none waits. */
class ShardManager {
public:
    using Decision = std::function<Effects(Shard&, const ShardContext&)>;
    using EffectHandler = std::function<void(const ShardKey&, const Effect&)>;
    /** Reads a shard under its lock. */
    using Inspect = std::function<void(const Shard&)>;

    /** `handleEffect` is called under the shard's lock and must not call back into this object. */
    ShardManager(const ShardManagerOptions& options, HttpClient& client, EffectHandler handleEffect);
    ~ShardManager();

    /** Says whether an owner should inspection into the log before it decides; see `isPossiblyStale`. */
    using StalenessCheck = std::function<bool(const Shard&)>;

    /** Runs the decision once this VM owns the shard, taking it over if need be. When that takes too long
     * the request gets its final answer as a problem. An owner that `isPossiblyStale` holds of reads the log
     * first, so that it does not refuse by what was true before it was overtaken; while the log is down it
     * decides by what it knows. */
    void submit(
        const ShardKey& shard, RequestId request, Decision decision, const StalenessCheck& isPossiblyStale);

    /** Runs the decision now, whether or not the shard is owned. */
    void applyDecision(const ShardKey& shard, const Decision& decision);

    /** Takes a shard over without a request, so that programs of a dead owner are looked after. */
    void takeOver(const ShardKey& shard);

    /** Reads what the log holds of an owned shard, to find out whether another VM has taken it over. */
    void verifyOwnership(const ShardKey& shard);

    /** Looks at a shard after its stream was read to the end by a read that begins after this call; never
     * while the log is down. `inspection` is called under the shard's lock and must not call back. */
    void inspectAfterRead(const ShardKey& shard, Inspect inspection);
    /** How far a shard is on its way to another VM. */
    enum class ReleaseState {
        Busy, ///< Something is under way, or the log is down.
        Releasing, ///< It gives back to the log what it may still spend; it should get no new calls.
        NotOwned, ///< It is not owned here, or not any more.
    };
    /** Gives up a shard that has nothing under way, so that it moves without loss. */
    ReleaseState release(const ShardKey& shard);
    bool isOwned(const ShardKey& shard) const;

    /** Flushes what is due and gives up on what waited too long; to be called at a steady pace. */
    void tick();
    /** Appends what is gathered without waiting for the flush interval. */
    void flushNow();

    void inspect(const ShardKey& shard, const Inspect& inspection) const;
    /** Status of every shard that this VM has dealt with. */
    std::vector<ShardStatus> status() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
