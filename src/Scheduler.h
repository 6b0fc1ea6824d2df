#pragma once

/** \file
 * Scheduler: the process that owns program shards and serves the gateways.
 *
 *     frames -> ParseCall -> ShardManager (decide, record) -> CallRunner (targets) -> RequestTable -> frames
 *
 * `PlatformView` supplies the list of VMs and the configuration; the scheduler forwards both to the gateways.
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
    std::uint16_t port_ = 0; ///< Port for frames from gateways and peers.
    std::uint16_t httpPort_ = 0; ///< Port for health checks and metrics.
    std::string logUrl_;
    std::string vmsUrl_;
    std::size_t threads_ = 4;
    std::uint64_t seed_ = 0;
    Milliseconds flushInterval_ { 500 };
    Milliseconds configSnapshotPeriod_ { 600000 }; ///< A third of the log's retention, or less.
    Milliseconds drainGrace_ { 30000 };
    /** Interval between comparisons with an engine's own list of cached programs. */
    Milliseconds cacheCheckInterval_ { 15000 };
    ShardLimits limits_;
};

/** A running scheduler. Destruction stops it immediately, without draining. Thread-safe. */
class Scheduler {
public:
    /** Starts the scheduler. Throws `std::system_error` when an address cannot be bound. */
    explicit Scheduler(const SchedulerOptions& options);
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    std::uint16_t port() const;
    std::uint16_t httpPort() const;

    /** Rejects new programs and calls, finishes running calls and writes pending records. Returns after at
     * most `drainGrace_`. */
    void drain();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
