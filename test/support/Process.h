#pragma once

/** \file
 * Process: starts one of our programs for a test, and ends it by its id.
 */

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fescue::test {

/** A child process whose standard output begins with lines such as `http 41234`. */
class Process {
public:
    /** Starts `program` of the build folder and waits until it has printed `ports` ports. Throws
     * `std::runtime_error` when it ends before that. With `outputFile`, its output is appended there instead;
     * `ports` is 0 then. */
    Process(const std::string& program, const std::vector<std::string>& arguments, std::size_t ports,
        const std::string& outputFile = {});
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /** The port printed under a name. */
    int port(const std::string& name) const { return ports_.at(name); }
    /** Sends a signal, for example SIGSTOP. */
    void signal(int number) const;
    /** Sends a signal and waits for the end; returns the exit status, or -signal. */
    int end(int number);
    /** Takes the exit status of a process that has ended by itself or after `signal`; false while it runs. */
    bool hasEnded();
    bool isRunning() const { return id_ > 0; }
    pid_t id() const { return id_; }

private:
    void readPorts(int output, std::size_t count);

    pid_t id_ = 0;
    std::map<std::string, int> ports_;
};

/** Runs a program to its end and returns its exit status and output. */
struct Finished {
    int status_ = 0;
    std::string output_; ///< Standard output and standard error.
};
Finished runToEnd(const std::string& program, const std::vector<std::string>& arguments);

} // namespace fescue::test
