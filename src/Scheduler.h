#pragma once

/** \file
 * Scheduler: the process that is home to program shards, put together from its parts.
 *
 *     frames -> ParseCall -> ShardManager (decide, record) -> CallRunner (targets) -> RequestTable -> frames
 *
 * The platform's list and configuration come through `PlatformView` and go on to the gateways.
 */

#include "ShardManager.h"

#include <memory>
#include <string>

namespace fescue {

/** Settings of a scheduler process, checked by its `main`. */
struct SchedulerOptions {
    VmId vm_;
    ZoneId zone_;
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0; ///< For frames.
    std::uint16_t httpPort_ = 0; ///< For health and metrics.
    std::string logUrl_;
    std::string vmsUrl_;
    std::size_t threads_ = 4;
    std::uint64_t seed_ = 0;
    Milliseconds flushInterval_ { 500 };
    Milliseconds configSnapshotPeriod_ { 600000 }; ///< A third of the log's retention, or less.
    Milliseconds drainGrace_ { 30000 };
    Milliseconds cacheCheckInterval_ { 15000 }; ///< Between two comparisons with an engine's own list.
    ShardLimits limits_;
};

/** A running scheduler; ends at once when it is destroyed. Safe from any thread. */
class Scheduler {
public:
    /** Starts. Throws `std::system_error` when an address cannot be bound. */
    explicit Scheduler(const SchedulerOptions& options);
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    std::uint16_t port() const;
    std::uint16_t httpPort() const;

    /** Takes no new programs or calls, finishes what runs, writes what is unrecorded; at most `drainGrace_`.
     */
    void drain();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
