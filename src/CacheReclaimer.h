#pragma once

/** \file
 * CacheReclaimer: releases the prompt cache that engines hold for programs that have ended.
 *
 * A release request is retried until the engine confirms it. Pending requests are lost when their VM fails,
 * so the list of cache entries of each engine is also reconciled with the shards periodically:
 *
 *     engine's list -> group programs by shard -> read the shard's stream to its end -> release ended
 * programs
 *
 * Only the owner of a program's shard releases its cache, and only from a ledger that was read to the end of
 * the stream after the list was fetched. Each program in the list was created before that, so the ledger
 * contains its record or the claim of the owner that created it. An ended program never resumes, so a late
 * release is harmless.
 */

#include "HttpClient.h"
#include "Manifest.h"
#include "ShardManager.h"

#include <memory>

namespace fescue {

/** Options of a `CacheReclaimer`. */
struct CacheReclaimerOptions {
    ZoneId zone_;
    Milliseconds listInterval_ { 15000 }; ///< Minimum time between two lists of one engine in the own zone.
};

/** Releases the cache of ended programs. All functions are thread-safe and none blocks. */
class CacheReclaimer {
public:
    /** Precondition: the reclaimer outlives the callbacks of `client`. */
    CacheReclaimer(const CacheReclaimerOptions& options, HttpClient& client, ShardManager& shardManager);
    ~CacheReclaimer();

    void setManifest(const Manifest& manifest);
    /** Asks the engines of the own zone to release the cache of a program whose end the log has confirmed.
     * May be called while a shard's lock is held. */
    void release(const ProgramId& program, Epoch epoch);
    /** Sends requests that are due. To be called periodically, without any lock held. */
    void tick();
    /** Number of releases that no engine has confirmed yet. */
    std::size_t pendingReleaseCount() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Whether the program has certainly ended, so that the owner of its shard may release its cache. Pure.
 *
 * Precondition: the shard's ledger was read to the end of its stream after the program was listed by an
 * engine. Returns false when this VM does not own the shard, since its ledger may then be stale. */
bool hasProgramEnded(const Shard& shard, const ProgramId& program);

} // namespace fescue
