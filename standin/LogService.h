#pragma once

/** \file
 * LogService: a minimal in-memory fake of the platform's append-only log.
 *
 *     POST /streams/<name>                          append, see src/LogClient.h
 *     GET  /streams/<name>?from=N&wait_ms=M         read
 *     POST /faults {"down": true}                   set faults; omitted members keep their value
 *     GET  /stats                                   number and bytes of appends and reads
 *
 * It can listen on several ports that share the streams. Each port has faults of its own, so that a test can
 * partition a single availability zone from the log.
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** Injected faults of the log service; they can change while it runs. */
struct LogFaults {
    bool isDown_ = false; ///< Every request fails with 503 and has no effect.
    std::int64_t delayMs_ = 0; ///< Delay added to each answer.
    std::int64_t answersToDrop_ = 0; ///< Number of upcoming appends that take effect but return 504.
    std::int64_t answersToHang_ = 0; ///< Number of upcoming appends that take effect but get no answer.
};

/** A running log service; the destructor stops it. Thread-safe. */
class LogService {
public:
    /** A stream keeps its newest `retention` entries. Ports after the first are ephemeral. Throws
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
