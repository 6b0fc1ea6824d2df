#pragma once

/** \file
 * Process: runs one of the project's programs as a child process of a test.
 */

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fescue::test {

/** A child process that prints its ports first, in lines such as `http 41234`. The destructor kills it. */
class Process {
public:
    /** Starts `program` from the build directory, unless it is an absolute path, and waits until it has
     * printed `ports` ports. Throws `std::runtime_error` when it exits earlier. With `outputFile`, standard
     * output is appended to that file and `ports` must be 0. */
    Process(const std::string& program, const std::vector<std::string>& arguments, std::size_t ports,
        const std::string& outputFile = {});
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /** Returns the port that the program printed with this name. */
    int port(const std::string& name) const { return ports_.at(name); }
    /** Suspends the process by SIGSTOP and returns once none of its threads runs any more, which can take
     * some milliseconds. Precondition: `isRunning()`, and not paused already. `signal(SIGCONT)` continues it.
     */
    void pause();
    /** Sends a signal, for example SIGTERM. */
    void signal(int number) const;
    /** Sends a signal and waits until the process exits. Returns its exit status, or the negated number of
     * the signal that killed it. */
    int signalAndWait(int number);
    /** Reaps the process if it has exited; does not block. Returns false while it runs. */
    bool tryReap();
    bool isRunning() const { return id_ > 0; }
    /** Exit status, or the negated number of the signal that killed it. Precondition: `tryReap()` has
     * returned true, or `signalAndWait` has returned. */
    int exitStatus() const { return exitStatus_; }
    pid_t id() const { return id_; }

private:
    void readPorts(int output, std::size_t count);

    pid_t id_ = 0;
    int exitStatus_ = 0;
    std::map<std::string, int> ports_;
};

/** Creates a folder for event logs below the one that the environment variable FESCUE_TEST_EVENTS names.
 * Returns its path, or nothing if the variable is not set. */
std::string makeEventsFolder();

/** Path of a program of the build directory; an absolute path is returned unchanged. */
std::string programPath(const std::string& program);

/** Exit status and output of a program. */
struct ProcessResult {
    int status_ = 0;
    std::string output_; ///< Standard output and standard error.
};
/** Runs a program and waits until it exits. */
ProcessResult runProcess(const std::string& program, const std::vector<std::string>& arguments);

} // namespace fescue::test
