#include "Metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <mutex>

namespace fescue {

namespace {

    namespace bh = boost::histogram;

    constexpr double minLatencySeconds = 0.0001;
    constexpr double maxLatencySeconds = 1000;
    constexpr unsigned bucketCount = 42;

    using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

    struct Latency {
        bh::histogram<std::tuple<LogAxis>> histogram_
            = bh::make_histogram(LogAxis(bucketCount, minLatencySeconds, maxLatencySeconds));
        double sum_ = 0;
        std::uint64_t count_ = 0;
    };

    struct Registry {
        std::mutex mutex_;
        using Series = std::pair<std::string, std::string>; ///< Name and label.
        std::map<Series, std::unique_ptr<std::atomic<std::uint64_t>>> counters_;
        std::map<std::string, Latency> latencies_;
    };

    Registry& registry()
    {
        static Registry instance;
        return instance;
    }

    std::string labelText(const MetricLabel& label)
    {
        if (label.name_.empty())
            return {};
        std::string value;
        for (char c : label.value_) {
            if (c == '\\' || c == '"')
                value += '\\';
            value += c == '\n' ? ' ' : c;
        }
        return fmt::format("{{{}=\"{}\"}}", label.name_, value);
    }

    // Writes the type once for all series of a name.
    void writeType(std::string& text, std::string& lastName, const std::string& name, const char* type)
    {
        if (name != lastName)
            text += fmt::format("# TYPE fescue_{} {}\n", name, type);
        lastName = name;
    }

    void writeLatency(std::string& text, const std::string& name, const Latency& latency)
    {
        text += fmt::format("# TYPE fescue_{} histogram\n", name);
        auto cumulative = static_cast<std::uint64_t>(latency.histogram_.at(-1));
        for (unsigned bucket = 0; bucket < bucketCount; ++bucket) {
            cumulative += static_cast<std::uint64_t>(latency.histogram_.at(static_cast<int>(bucket)));
            double upper = latency.histogram_.axis().bin(static_cast<int>(bucket)).upper();
            text += fmt::format("fescue_{}_bucket{{le=\"{:.6g}\"}} {}\n", name, upper, cumulative);
        }
        text += fmt::format(
            "fescue_{0}_bucket{{le=\"+Inf\"}} {1}\nfescue_{0}_sum {2:.6f}\nfescue_{0}_count {1}\n", name,
            latency.count_, latency.sum_);
    }

} // namespace

Counter::Counter(const char* name, const MetricLabel& label)
{
    std::lock_guard<std::mutex> lock(registry().mutex_);
    auto& value = registry().counters_[{ name, labelText(label) }];
    if (!value)
        value = std::make_unique<std::atomic<std::uint64_t>>(0);
    value_ = value.get();
}

std::chrono::microseconds Stopwatch::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start_);
}

void observeLatency(const char* name, std::chrono::microseconds duration)
{
    double seconds = std::chrono::duration<double>(duration).count();
    std::lock_guard<std::mutex> lock(registry().mutex_);
    Latency& latency = registry().latencies_[name];
    latency.histogram_(seconds);
    latency.sum_ += seconds;
    ++latency.count_;
}

std::string metricsText(const std::vector<Gauge>& gauges)
{
    std::lock_guard<std::mutex> lock(registry().mutex_);
    std::string text;
    std::string lastName;
    for (const auto& [series, value] : registry().counters_) {
        writeType(text, lastName, series.first, "counter");
        text += fmt::format("fescue_{}{} {}\n", series.first, series.second, value->load());
    }
    for (const Gauge& gauge : gauges) {
        writeType(text, lastName, gauge.name_, "gauge");
        text += fmt::format("fescue_{}{} {}\n", gauge.name_, labelText(gauge.label_), gauge.value_);
    }
    for (const auto& [name, latency] : registry().latencies_)
        writeLatency(text, name, latency);
    return text;
}

} // namespace fescue
