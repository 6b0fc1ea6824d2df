#pragma once

/** \file
 * StoreCursor: the read position in one topic of the platform's store.
 *
 * The newest records are read first, in pages, and changes from then on. Of each page only what is used is
 * kept.
 */

#include "PagedRead.h"
#include "StoreClient.h"
#include "TargetList.h"

#include <optional>
#include <vector>

namespace fescue {

/** The read position in one topic, and the state of the read that is under way. */
struct StoreCursor {
    platform::StorePartition partition_;
    std::optional<std::uint64_t> next_; ///< Not set until the newest records have been read.
    std::vector<platform::KeyedRecord>
        pages_; ///< Newest records that were read so far, as far as they are used.
    /** Those of targets instead: records of other writers may be large, and of no use. */
    std::vector<TargetEntry> targets_;
    PagedRead paged_; ///< Of the newest records.
    std::optional<std::uint64_t> pagesEnd_; ///< End of the partition at the time of the first page.
    std::optional<MonotonicTime> currentAsOf_; ///< The last read that reached the end shows this time.
    MonotonicTime startedAt_; ///< Start of the current read; of its first page for the newest records.
    MonotonicTime dueAt_;
    std::uint32_t failures_ = 0;
    std::uint64_t generation_ = 0; ///< Answers to reads of an earlier generation are ignored.
    bool isReading_ = false;
};

/** Lets the next read of the newest records begin with the first page. Thread safety: that of the caller. */
inline void forgetPages(StoreCursor& cursor)
{
    cursor.pages_.clear();
    cursor.targets_.clear();
    cursor.paged_ = {};
    cursor.pagesEnd_.reset();
}

/** Lets the next read begin at once, with the newest records. Thread safety: that of the caller. */
inline void resetCursor(StoreCursor& cursor)
{
    cursor.next_.reset();
    forgetPages(cursor);
    cursor.dueAt_ = {};
}

} // namespace fescue
