#pragma once

/** \file
 * ToolService: a minimal fake of a tool service that counts the executions of each request.
 *
 *     any  /<path>                    executes the request and answers {"executed": n, "body": ...}
 *     GET  /executions                {"<Idempotency-Key>": times, ...}
 *     GET  /journal                   [{"key", "body", "at_ms": time on the monotonic clock}, ...]
 *     POST /faults {"delay_ms": 100, "lose_answers": 1, "refuse": false, "checks_fencing": true}
 *
 * With `lose_answers`, the next requests are executed but get no answer. With `checks_fencing`, a request
 * whose fencing token is lower than the highest seen in its scope is rejected with 412.
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** A running service; the destructor stops it. */
class ToolService {
public:
    explicit ToolService(const HttpServerOptions& options);
    ~ToolService();
    std::uint16_t port() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue::standin
