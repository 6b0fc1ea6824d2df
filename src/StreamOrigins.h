#pragma once

/** \file
 * StreamOrigins: which service and software version began each recent stream.
 *
 * A caller whose stream broke off takes it up again through any VM and names the attempt that brought its
 * first event. The table is bounded in time and size.
 */

#include "CallTags.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fescue {

/** What began a stream. */
struct StreamOrigin {
    ServiceId service_;
    SoftwareVersion version_;

    friend bool operator==(const StreamOrigin& a, const StreamOrigin& b)
    {
        return a.service_ == b.service_ && a.version_ == b.version_;
    }
};

/** A stream and what began it. */
struct BegunStream {
    AttemptId attempt_; ///< The attempt that brought its first event.
    StreamOrigin origin_;
};

/** The origins of recent streams. */
struct StreamOrigins {
    std::size_t maxStreams_ = 16384; ///< The oldest are dropped beyond.
    std::map<AttemptId, StreamOrigin> origins_;
    std::deque<std::pair<MonotonicTime, AttemptId>> oldestFirst_;
};

/** Records a stream. The first origin of an attempt holds. */
void recordStream(StreamOrigins& streams, const BegunStream& stream, MonotonicTime now);

/** Drops the streams that began before a time. */
void dropStreamsBefore(StreamOrigins& streams, MonotonicTime time);

/** The origin of a stream; nothing if it is not known. Pure. */
std::optional<StreamOrigin> findOrigin(const StreamOrigins& streams, const AttemptId& attempt);

} // namespace fescue
