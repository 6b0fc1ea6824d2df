#pragma once

/** \file
 * PlainService: a small stand-in for a tool service; it counts how often each request was executed.
 *
 *     any  /<path>                    executes the request and answers {"executed": n, "body": ...}
 *     GET  /executions                {"<Idempotency-Key>": times, ...}
 *     GET  /journal                   [{"key", "body", "at_ms": on the machine's monotonic clock}, ...]
 *     POST /faults {"delay_ms": 100, "lose_answers": 1, "refuse": false, "checks_fencing": true}
 *
 * With `lose_answers` a request is executed and its connection then gives no answer. With
 * `checks_fencing` a token older than the newest seen in its scope is refused with 412.
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** A running plain service; ends when it is destroyed. */
class PlainService {
public:
    explicit PlainService(const HttpServerOptions& options);
    ~PlainService();
    std::uint16_t port() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue::standin
