#pragma once

/** \file
 * LogService: a small stand-in for the platform's append-only log, in memory.
 *
 *     POST /streams/<name>                          append, see src/LogClient.h
 *     GET  /streams/<name>?from=N&wait_ms=M         read
 *     POST /faults {"down": true}                   switch faults; members that are left out stay as they are
 *     GET  /stats                                   appends and bytes so far
 *
 * It can listen on several ports that share the streams. Each has its own faults, so that one availability
 * zone can be cut off while another is not.
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** Faults of the log service that can be switched while it runs. */
struct LogFaults {
    bool isDown_ = false; ///< Everything is answered with 503 and has no effect.
    std::int64_t delayMs_ = 0; ///< Each answer comes this much later.
    std::int64_t loseAnswers_ = 0; ///< So many appends take effect and are answered with 504.
    std::int64_t hangAnswers_ = 0; ///< So many appends take effect and are never answered.
};

/** A running log service; ends when it is destroyed. Safe from any thread. */
class LogService {
public:
    /** `retention` is how many entries a stream keeps; ports after the first are free ones. Throws
     * `std::system_error` when it cannot bind. */
    LogService(const HttpServerOptions& options, std::size_t retention, std::size_t ports = 1);
    ~LogService();

    std::uint16_t port(std::size_t listener = 0) const;
    void setFaults(const LogFaults& faults, std::size_t listener = 0);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue::standin
