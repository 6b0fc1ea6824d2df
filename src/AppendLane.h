#pragma once

/** \file
 * AppendLane: when the records that wait for a partition of the store may be appended.
 *
 * Answers the pattern of many small durable writes under a limit on calls: records that come within an
 * interval share a call, so the calls are bounded by the number of lanes, whatever the number of records. A
 * record that comes alone does not wait. A lost answer does not stop the lane.
 */

#include "Types.h"

namespace fescue {

/** Least time between two appends of a lane; 12 partitions make at most 480 appends a second. */
constexpr Milliseconds appendInterval { 25 };
/** Bounds the appends without an answer; at 10 ms an append, more than the interval needs. */
constexpr std::uint32_t maxAppendsInFlight = 4;

/** The appends to one partition. */
struct AppendLane {
    std::uint32_t inFlight_ = 0;
    MonotonicTime nextAt_; ///< Of the next append.
};

/** Whether an append may start once the interval has passed. Pure. None of these functions is thread-safe. */
inline bool hasRoom(const AppendLane& lane) { return lane.inFlight_ < maxAppendsInFlight; }

/** Whether an append may start now. Pure. */
inline bool canAppend(const AppendLane& lane, MonotonicTime now)
{
    return hasRoom(lane) && now >= lane.nextAt_;
}

/** Records the start of an append. */
inline void onAppendStarted(AppendLane& lane, MonotonicTime now)
{
    ++lane.inFlight_;
    lane.nextAt_ = now + appendInterval;
}

/** Records the end of an append. Precondition: one is in flight. */
inline void onAppendEnded(AppendLane& lane) { --lane.inFlight_; }

} // namespace fescue
