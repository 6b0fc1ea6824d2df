#pragma once

/** \file
 * TurnArchive: kept turns in the platform's store.
 *
 * A turn is hashed by its id to a partition of one topic. The turns of a partition that come within a short
 * interval are written with one call, since the store limits the calls of all VMs together:
 *
 *     d<writer>.<n>          turn: id, ids of its ancestors, input, output
 *     ...
 *     t<hash of id>.<writer>.<n>   pointer to it, as a distance between offsets
 *     ...
 *
 * A read finds the pointer by the hash and then reads one record at its offset. Pointers sort after all
 * turns, so a page of the store that begins with a pointer has no turns. All turns of a chain but the last
 * can be read at the same time. Each write has its own keys: it may be repeated, and a VM deletes only what
 * it has written itself. Times are measured by this VM's monotonic clock; the store has none.
 */

#include "ConversationMessages.h"
#include "PacedStore.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace fescue {

/** Where the archive is in the store. */
struct TurnArchiveOptions {
    WriterId writer_;
    std::uint32_t partitions_ = 1; ///< Per topic.
};

/** Writes and reads kept turns. Confined to the thread of the event loop. */
class TurnArchive {
public:
    using OnWritten = std::function<void(bool isWritten)>;
    using OnRead = std::function<void(ChainStatus, const KeptTurnPtr&)>;
    using WriteId = Quantity<struct WriteTag, std::uint64_t>;

    /** Precondition: `io` and `store` outlive this object. */
    TurnArchive(asio::io_context& io, PacedStore& store, const TurnArchiveOptions& options);
    ~TurnArchive();

    /** Writes a turn that is to be retained for `life`; retries until the deadline. `done` is called once
     * unless the write is cancelled, and not before this returns. */
    WriteId write(const KeptTurnPtr& turn, Milliseconds life, MonotonicTime deadline, OnWritten done);
    /** Ends the retries of a write; the store may have applied it. */
    void cancel(WriteId write);
    /** Reads a turn; retries until the deadline. `done` is called once, and not before this returns. What is
     * absent was so when the store answered, after this call. */
    void read(const AttemptId& id, MonotonicTime deadline, OnRead done);
    /** Fails calls past their deadline, and deletes expired records. To be called periodically. */
    void tick(MonotonicTime now);
    /** Name of the partition of a turn; writes of one partition are better made by one VM. Pure. */
    std::string partitionOf(const AttemptId& turn) const;
    /** Writes that are queued or in flight. */
    std::size_t pendingWrites() const;
    /** Records of this writer that it has not deleted yet. */
    std::size_t records() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
