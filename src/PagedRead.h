#pragma once

/** \file
 * PagedRead: a read of the newest records of a partition, page by page.
 *
 * Each page tells whether there are more. A read that believed this without a check would not end if the
 * pages repeat, so it is held to what a partition can have: pages that all end with other keys, and one
 * record for each offset.
 */

#include "StoreClient.h"

#include <set>
#include <string>

namespace fescue {

/** Progress of the read. */
struct PagedRead {
    std::string after_; ///< The last key of the last page; empty for the first page.
    std::set<std::string> lastKeys_; ///< Of all pages so far.
    std::uint64_t records_ = 0; ///< On all pages so far.
};

/** What follows a page. */
enum class PageOutcome {
    Last, ///< It was the last one.
    More, ///< The next page begins after `after_`.
    Repeated, ///< Pages come again, so the read has no end.
};

/** Records a page. Thread safety: that of the caller. */
inline PageOutcome takePage(PagedRead& read, const platform::NewestPage& page)
{
    read.records_ += page.records_.size();
    if (!page.hasMore_ || page.records_.empty())
        return PageOutcome::Last;
    const std::string& last = page.records_.back().key_;
    if (!read.lastKeys_.insert(last).second || read.records_ > page.end_)
        return PageOutcome::Repeated;
    read.after_ = last;
    return PageOutcome::More;
}

} // namespace fescue
