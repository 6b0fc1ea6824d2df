#pragma once

/** \file
 * MemoryWatch: how much of its VM's memory the process uses.
 *
 * A process that exceeds the memory of its VM is killed and can log nothing then, so each further tenth of
 * the limit is reported before. What was received and is still in the buffers of sockets counts, too.
 */

#include "TcpLink.h"
#include "Types.h"

#include <optional>

namespace fescue {

/** Returns the resident memory of this process; nothing if the system does not tell. Thread-safe. */
std::optional<ByteCount> residentMemory();

/** What counts towards the limit. */
struct MemoryUse {
    ByteCount resident_;
    SocketBytes sockets_;

    std::int64_t total() const { return resident_.value_ + static_cast<std::int64_t>(sockets_.unread_); }
};

/** What was last read and reported. Not thread-safe, like the functions below. */
struct MemoryWatch {
    ByteCount limit_; ///< Of the VM; 0 if it is not known.
    MemoryUse use_;
    int reportedTenths_ = 0; ///< Of the limit.
    MonotonicTime readAt_; ///< When to read it next.
};

/** Whether it is time to read the memory again; sets the time of the next read. */
bool isReadDue(MemoryWatch& watch, MonotonicTime now);

/** Takes over what is used now. Returns whether it is to be reported: it has reached a tenth of the limit,
 * from the fifth up, that has not been reported since it was last well below it. */
bool takeUse(MemoryWatch& watch, const MemoryUse& use);

} // namespace fescue
