#include "EventLog.h"

#include "Metrics.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <fcntl.h>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace fescue {

using nlohmann::json;

namespace {

    // Buffers lines until standard output accepts them, so that a stalled reader never blocks the process.
    class BufferSink : public spdlog::sinks::base_sink<std::mutex> {
    public:
        void drain()
        {
            std::lock_guard<std::mutex> lock(mutex_);
            while (!buffer_.empty()) {
                ssize_t written = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
                if (written <= 0)
                    return; // The reader is stalled; the lines stay buffered.
                buffer_.erase(0, static_cast<std::size_t>(written));
            }
        }

        // Without the lock, which the interrupted code may hold.
        void drainInSignalHandler()
        {
            ssize_t ignored = ::write(STDOUT_FILENO, buffer_.data() + drainedInSignalHandler_,
                buffer_.size() - drainedInSignalHandler_);
            static_cast<void>(ignored); // The process ends.
            drainedInSignalHandler_ = buffer_.size();
        }

    protected:
        void sink_it_(
            const spdlog::details::log_msg& message) override // NOLINT(readability-identifier-naming)
        {
            if (buffer_.size() + message.payload.size() > maxBufferedBytes)
                return dropped_.add();
            buffer_.append(message.payload.data(), message.payload.size());
            buffer_ += '\n';
        }
        void flush_() override { } // NOLINT(readability-identifier-naming)

    private:
        // Holds several seconds of lines at the maximum load of one VM.
        static constexpr std::size_t maxBufferedBytes = 512 * 1024;
        std::string buffer_;
        std::size_t drainedInSignalHandler_ = 0;
        Counter dropped_ { "log_lines_dropped_total" };
    };

    struct State {
        std::shared_ptr<spdlog::logger> logger_;
        std::shared_ptr<BufferSink> buffer_;
        std::string processField_; ///< As JSON text, like those below.
        std::string commonFields_; ///< Fields of every line.
        std::mutex mutex_; ///< Orders lines by their number and time.
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

    bool needsNoEscaping(const std::string& text)
    {
        return std::all_of(
            text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
    }

    // Almost no value needs escaping; building a JSON value for each would dominate the cost of a line.
    void addMember(std::string& line, const char* name, const std::string& value)
    {
        line += fmt::format(",\"{}\":", name);
        if (needsNoEscaping(value))
            line += fmt::format("\"{}\"", value);
        else
            line += json(value).dump(-1, ' ', false, json::error_handler_t::replace);
    }

    void writeLine(spdlog::level::level_enum level, const char* event, const std::string* message,
        const LogFields& fields)
    {
        if (!state().logger_)
            return;
        std::string members = state().commonFields_;
        addMember(members, "level", level == spdlog::level::warn ? "warning" : "info");
        addMember(members, "event", event);
        if (message)
            addMember(members, "message", *message);
        for (const auto& [name, value] : fields)
            addMember(members, name, value);
        std::lock_guard<std::mutex> lock(state().mutex_);
        state().logger_->log(level, "{{\"time_us\":{},\"line\":{}{}}}", microsecondsSinceEpoch(),
            ++state().lastLine_, members);
    }

    // Passes the digits of a number to `add`. Async-signal-safe if `add` is.
    template <typename Add> void addDecimal(const Add& add, std::uint64_t number)
    {
        constexpr std::uint64_t base = 10;
        std::array<char, 20> digits {};
        std::size_t first = digits.size();
        do {
            digits[--first] = static_cast<char>('0' + number % base);
            number /= base;
        } while (number > 0);
        add(std::string_view(digits.data() + first, digits.size() - first));
    }

} // namespace

void openStandardStreams()
{
    for (int stream : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO }) {
        // The lowest free number is taken, which is that of the stream.
        if (::fcntl(stream, F_GETFD) < 0 && errno == EBADF && ::open("/dev/null", O_RDWR) != stream)
            return; // Without /dev/null there is nothing to protect them with.
    }
}

void openEventLog(const EventLogOptions& options)
{
    std::shared_ptr<spdlog::logger> logger;
    if (options.isBuffered_) {
        ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
        state().buffer_ = std::make_shared<BufferSink>();
        logger = std::make_shared<spdlog::logger>("events", state().buffer_);
    } else if (options.file_.empty()) {
        logger = spdlog::stderr_logger_mt("events");
    } else {
        logger = spdlog::basic_logger_mt("events", options.file_);
    }
    logger->set_pattern("%v");
    // Flush each line, so that it is in the file before its event has an effect in another process, even if
    // this process is killed.
    logger->flush_on(spdlog::level::info);
    addMember(state().processField_, "process", options.process_);
    setEventLogOrigin(options.vm_, options.zone_);
    state().logger_ = std::move(logger);
}

void setEventLogOrigin(const std::string& vm, const std::string& zone)
{
    std::string fields = state().processField_;
    addMember(fields, "vm", vm);
    addMember(fields, "zone", zone);
    state().commonFields_ = std::move(fields);
}

void logEvent(const char* event, const LogFields& fields)
{
    writeLine(spdlog::level::info, event, nullptr, fields);
}

void flushEventLog()
{
    if (state().buffer_)
        state().buffer_->drain();
}

void logWarning(const char* event, const std::string& message, const LogFields& fields)
{
    writeLine(spdlog::level::warn, event, &message, fields);
}

void logFatalSignal(std::initializer_list<std::pair<std::string_view, std::string_view>> fields)
{
    if (!state().buffer_)
        return;
    // No allocation, no locks.
    std::array<char, 4096> line {};
    std::size_t size = 0;
    auto add = [&line, &size](std::string_view text) {
        for (char c : text) {
            if (size < line.size())
                line[size++] = c;
        }
    };
    timespec now {};
    ::clock_gettime(CLOCK_REALTIME, &now);
    constexpr std::int64_t usPerSecond = 1000000;
    constexpr std::int64_t nsPerUs = 1000;
    // The last line may have been written in part.
    add("\n{\"time_us\":");
    addDecimal(add, static_cast<std::uint64_t>(now.tv_sec * usPerSecond + now.tv_nsec / nsPerUs));
    add(",\"line\":");
    addDecimal(add, state().lastLine_ + 1);
    add(state().commonFields_);
    add(",\"level\":\"warning\"");
    for (const auto& [name, value] : fields) {
        add(",\"");
        add(name);
        add("\":\"");
        add(value);
        add("\"");
    }
    add("}\n");
    // When nobody reads standard output any more, standard error may still be read.
    if (::write(STDOUT_FILENO, line.data(), size) != static_cast<ssize_t>(size)) {
        ssize_t ignored = ::write(STDERR_FILENO, line.data(), size);
        static_cast<void>(ignored);
    }
    state().buffer_->drainInSignalHandler();
}

} // namespace fescue
