#pragma once

/** \file
 * Metrics: counters, gauges and latency histograms of a process, as Prometheus text.
 *
 *     Counter("scheduler_requests_total", { "operation", "model-call" }).add();
 *     observeLatency("gateway_request_seconds", stopwatch.elapsed());
 *     metricsText({ { "gateway_open_requests", {}, 3 } });
 *
 * All functions are safe from any thread. Names get the prefix `fescue_`. The values of a label come from a
 * closed list or from the manifest, never from callers, so the number of series is bounded.
 */

#include "Types.h"

#include <atomic>
#include <string>
#include <vector>

namespace fescue {

/** A label of a series; an empty name means none. */
struct MetricLabel {
    std::string name_;
    std::string value_;
};

/** A named counter of this process; copies count the same thing. */
class Counter {
public:
    explicit Counter(const char* name, const MetricLabel& label = {});
    void add(std::uint64_t amount = 1) { *value_ += amount; }

private:
    std::atomic<std::uint64_t>* value_;
};

/** A value as of now. Gauges of one name follow one another in the list. */
struct Gauge {
    std::string name_;
    MetricLabel label_;
    double value_ = 0;
};

/** Time since its construction, finer than `MonotonicTime`. */
class Stopwatch {
public:
    std::chrono::microseconds elapsed() const;

private:
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

/** Enters a duration into the named histogram. */
void observeLatency(const char* name, std::chrono::microseconds duration);

/** All metrics of the process and these gauges, in Prometheus' text format. */
std::string metricsText(const std::vector<Gauge>& gauges = {});

} // namespace fescue
