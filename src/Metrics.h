#pragma once

/** \file
 * Metrics: counters, gauges and latency histograms of a process, as Prometheus text.
 *
 *     Counter("scheduler_requests_total", { "operation", "model-call" }).add();
 *     observeLatency("gateway_request_seconds", stopwatch.elapsed());
 *     metricsText({ { "gateway_open_requests", {}, 3 } });
 *
 * All functions are thread-safe. Names get the prefix `fescue_`. The values of a label come from a closed
 * list or from the manifest, never from callers, so the number of series is bounded.
 */

#include "Types.h"

#include <atomic>
#include <string>
#include <vector>

namespace fescue {

/** A label of a series; an empty name means no label. */
struct MetricLabel {
    std::string name_;
    std::string value_;
};

/** A named counter of this process; copies share one value. */
class Counter {
public:
    explicit Counter(const char* name, const MetricLabel& label = {});
    void add(std::uint64_t amount = 1) { *value_ += amount; }

private:
    std::atomic<std::uint64_t>* value_;
};

/** A current value. Gauges of one name must be adjacent in a list. */
struct Gauge {
    std::string name_;
    MetricLabel label_;
    double value_ = 0;
};

/** Time since construction, with a finer resolution than `MonotonicTime`. */
class Stopwatch {
public:
    std::chrono::microseconds elapsed() const;

private:
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

/** Records a duration in the named histogram. */
void observeLatency(const char* name, std::chrono::microseconds duration);

/** All metrics of the process and these gauges, in the Prometheus text format. */
std::string metricsText(const std::vector<Gauge>& gauges = {});

} // namespace fescue
