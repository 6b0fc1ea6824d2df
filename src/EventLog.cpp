#include "EventLog.h"

#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace fescue {

using nlohmann::json;

namespace {

    struct State {
        std::shared_ptr<spdlog::logger> logger_;
        json common_;
        std::mutex mutex_; ///< Lines stand in the file in the order of their numbers and times.
        std::uint64_t lastLine_ = 0;
    };

    State& state()
    {
        static State instance;
        return instance;
    }

    std::int64_t microsecondsSinceEpoch()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    }

    void writeLine(
        spdlog::level::level_enum level, const char* event, const std::string* message, const Facts& facts)
    {
        if (!state().logger_)
            return;
        json line = state().common_;
        line["level"] = level == spdlog::level::warn ? "warning" : "info";
        line["event"] = event;
        if (message)
            line["message"] = *message;
        for (const auto& [name, value] : facts)
            line[name] = value;
        std::lock_guard<std::mutex> lock(state().mutex_);
        line["time_us"] = microsecondsSinceEpoch();
        line["line"] = ++state().lastLine_;
        state().logger_->log(level, line.dump(-1, ' ', false, json::error_handler_t::replace));
    }

} // namespace

void openEventLog(const EventLogOptions& options)
{
    auto logger = options.file_.empty() ? spdlog::stderr_logger_mt("events")
                                        : spdlog::basic_logger_mt("events", options.file_);
    logger->set_pattern("%v");
    // A line is in the file before what it tells has any effect elsewhere, also when the process is killed.
    logger->flush_on(spdlog::level::info);
    state().common_ = { { "process", options.process_ }, { "vm", options.vm_ }, { "zone", options.zone_ } };
    state().logger_ = std::move(logger);
}

void logEvent(const char* event, const Facts& facts)
{
    writeLine(spdlog::level::info, event, nullptr, facts);
}

void logWarning(const char* event, const std::string& message, const Facts& facts)
{
    writeLine(spdlog::level::warn, event, &message, facts);
}

} // namespace fescue
