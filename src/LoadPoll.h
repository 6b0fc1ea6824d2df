#pragma once

/** \file
 * LoadPoll: which engines are asked for their load, and how their answer reads.
 *
 * Only engines of the own zone are asked, one after another at a bounded rate, so that the traffic of a VM
 * does not grow with the number of engines. Without I/O; CallRunner sends the requests.
 *
 *     GET <target>/v1/load -> {"running": 3, "waiting": 0, "queued_tokens": 1200}
 */

#include "TargetPool.h"

#include <optional>
#include <string>

namespace fescue {

/** Whose next it is. */
struct LoadPoll {
    TargetId lastPolled_;
    MonotonicTime nextPollAt_;
    Milliseconds interval_ { 1000 };
    std::size_t maxTargetsPerPoll_ = 16;
};

/** The engines to ask now; none before the interval has passed. Thread safety: none. */
std::vector<Target> nextPolls(LoadPoll& poll, const TargetPool& pool, MonotonicTime now);

/** Reads a load document; nothing when it is not one. Pure. */
std::optional<LoadReport> parseLoad(const std::string& body);

} // namespace fescue
