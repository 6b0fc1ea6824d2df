#include "Recorder.h"

#include <fmt/format.h>
#include <stdexcept>

namespace fescue::review {

Recorder::Recorder(const std::string& file)
    : file_(file)
{
    if (!file_)
        throw std::runtime_error("cannot write " + file);
}

void Recorder::write(const std::string& line)
{
    std::lock_guard<std::mutex> lock(mutex_);
    file_ << fmt::format("{:9.4f} {}\n", secondsSinceStart(), line) << std::flush;
}

double Recorder::secondsSinceStart() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt_).count();
}

} // namespace fescue::review
