#pragma once

/** \file
 * Recorder: writes what a case sends, answers and runs to `record.txt`.
 */

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace fescue::review {

/** Thread-safe. */
class Recorder {
public:
    /** Precondition: `file` can be written. */
    explicit Recorder(const std::string& file);

    /** Writes one line with the time since the start. */
    void write(const std::string& line);
    double secondsSinceStart() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
};

} // namespace fescue::review
