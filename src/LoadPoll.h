#pragma once

/** \file
 * LoadPoll: selects the engines to poll for their load and parses their reports.
 *
 * Only engines of the own zone are polled, round-robin at a bounded rate, so that the traffic of a VM does
 * not grow with the number of engines. Does no I/O; CallRunner sends the requests.
 *
 *     GET <target>/v1/load -> {"running": 3, "waiting": 0, "queued_tokens": 1200}
 */

#include "TargetPool.h"

#include <optional>
#include <string>

namespace fescue {

/** State of the round-robin polling. */
struct LoadPoll {
    TargetId lastPolled_;
    MonotonicTime nextPollAt_;
    Milliseconds interval_ { 1000 };
    std::size_t maxTargetsPerPoll_ = 16;
};

/** Returns the engines to poll now; none before the interval has passed. Not thread-safe. */
std::vector<Target> nextPolls(LoadPoll& poll, const TargetPool& pool, MonotonicTime now);

/** Parses a load report; returns nothing when the body is not one. Pure. */
std::optional<LoadReport> parseLoad(const std::string& body);

} // namespace fescue
