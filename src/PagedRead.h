#pragma once

/** \file
 * PagedRead: a read of the newest records of a partition, page by page.
 *
 * Each page tells whether there are more. A read that believed this without a check would not end if the
 * pages repeat, so it is held to what a partition can have: pages that all end with other keys, and one
 * record for each offset; and to a number of pages far above that of a deployment.
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
    Endless, ///< Pages come again, are empty, or are too many, so the read has no end.
};

/** Records a page. Thread safety: that of the caller. */
inline PageOutcome takePage(PagedRead& read, const platform::NewestPage& page)
{
    read.records_ += page.records_.size();
    if (!page.hasMore_)
        return PageOutcome::Last;
    constexpr std::size_t maxPages = 400;
    if (page.records_.empty() || read.records_ > page.end_ || read.lastKeys_.size() >= maxPages)
        return PageOutcome::Endless;
    const std::string& last = page.records_.back().key_;
    if (!read.lastKeys_.insert(last).second)
        return PageOutcome::Endless;
    read.after_ = last;
    return PageOutcome::More;
}

} // namespace fescue
