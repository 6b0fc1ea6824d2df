#pragma once

/** \file
 * ListenLog: logs that an address cannot be bound yet, and that it has been.
 */

#include "FrontServer.h"

namespace fescue {

/** What was logged of one address. */
struct ListenLog {
    std::optional<ListenWait> wait_; ///< As last seen.
    MonotonicTime nextAt_;
};

/** Takes over whether a server waits for its address. Logs a wait once in some seconds, and its end. Not
 * thread-safe. */
void logListenWait(ListenLog& log, const std::optional<ListenWait>& wait, MonotonicTime now);

} // namespace fescue
