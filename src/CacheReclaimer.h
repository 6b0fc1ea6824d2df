#pragma once

/** \file
 * CacheReclaimer: frees the engine memory of programs that are gone.
 *
 * An addRelease to free memory is repeated until the engine has confirmed it. Orders can still be lost, since
 * their owner may die, so each engine's own list is compared with the shards from time to time:
 *
 *     engine's list -> programs by shard -> read the shard's stream to its end -> free what has ended
 *
 * Only the owner of a program's shard frees its memory, and only by a ledger that was read up to the end
 * after the list was taken: a program in the list was created before that, so its record, or the claim of
 * the owner that created it, has been read. A program that has ended never lives again, so a late addRelease
 * does no harm.
 */

#include "HttpClient.h"
#include "Manifest.h"
#include "ShardManager.h"

#include <memory>

namespace fescue {

/** What a keeper needs to know of its process. */
struct CacheReclaimerOptions {
    ZoneId zone_;
    Milliseconds listInterval_ { 15000 }; ///< Between two lists of one engine of the own zone, at least.
};

/** Frees engine memory. All functions are safe from any thread and none waits. */
class CacheReclaimer {
public:
    /** Precondition: the keeper outlives the callbacks of `client`. */
    CacheReclaimer(const CacheReclaimerOptions& options, HttpClient& client, ShardManager& homes);
    ~CacheReclaimer();

    void setManifest(const Manifest& manifest);
    /** Orders the engines of the own zone to free what they hold for a program whose end the log has
     * confirmed. May be called under the lock of a shard. */
    void release(const ProgramId& program, Epoch epoch);
    /** Sends what is due; to be called at a steady pace without any lock held. */
    void tick();
    /** Orders that no engine has confirmed yet. */
    std::size_t pendingReleaseCount() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Whether the owner of a shard may have a program's memory freed. Pure.
 *
 * Precondition: the shard's ledger was read to the end of its stream after the program was seen at an engine.
 * False when the shard is not owned, since then nothing is known for certain. */
bool hasProgramEnded(const Shard& shard, const ProgramId& program);

} // namespace fescue
