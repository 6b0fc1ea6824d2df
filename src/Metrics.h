#pragma once

/** \file
 * Metrics: counters and latency histograms of a process, as Prometheus text.
 *
 *     Counter("scheduler_requests_total").add();
 *     observeLatency("gateway_first_byte_seconds", Milliseconds { 12 });
 *
 * All functions are safe from any thread. Names get the prefix `fescue_`.
 */

#include "Types.h"

#include <atomic>
#include <string>

namespace fescue {

/** A named counter of this process; copies count the same thing. */
class Counter {
public:
    explicit Counter(const char* name);
    void add(std::uint64_t amount = 1) { *value_ += amount; }

private:
    std::atomic<std::uint64_t>* value_;
};

/** Enters a duration into the named histogram. */
void observeLatency(const char* name, std::chrono::microseconds duration);

/** All metrics of the process in Prometheus' text format. */
std::string metricsText();

} // namespace fescue
