#pragma once

/** \file
 * TurnArchive: kept turns in the platform's store.
 *
 * A turn is hashed by its id to one of many partitions, so that a read of one turn returns few others. Its
 * record has the turn's whole text and the ids of its ancestors, so all turns of a chain but the last can be
 * read at the same time. Each write of a turn has its own key: it may be repeated, and a VM deletes only what
 * it has written itself. Times are measured by this VM's monotonic clock; the store has none.
 */

#include "ConversationMessages.h"
#include "PacedStore.h"

#include <functional>
#include <memory>

namespace fescue {

/** Where the archive is in the store. */
struct TurnArchiveOptions {
    WriterId writer_;
    std::uint32_t partitions_ = 1; ///< Per topic.
    std::size_t maxRecordBytes_ = 0;
};

/** Writes and reads kept turns. Confined to the thread of the event loop. */
class TurnArchive {
public:
    using OnWritten = std::function<void(bool isWritten)>;
    using OnRead = std::function<void(ChainStatus, const KeptTurnPtr&)>;
    using WriteId = Quantity<struct WriteTag, std::uint64_t>;

    /** Precondition: `store` outlives this object. */
    TurnArchive(PacedStore& store, const TurnArchiveOptions& options);
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
    /** Writes that are queued or in flight. */
    std::size_t pendingWrites() const;
    /** Records of this writer that it has not deleted yet. */
    std::size_t records() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
