#include "Process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fescue::test {

namespace {

    struct Child {
        pid_t id_ = 0;
        int output_ = -1;
    };

    Child startChild(const std::string& program, const std::vector<std::string>& arguments, bool withErrors,
        const std::string& outputFile = {})
    {
        std::string path = std::string(FESCUE_PROGRAMS) + "/" + program;
        std::vector<char*> words { path.data() };
        std::vector<std::string> kept = arguments;
        for (std::string& argument : kept)
            words.push_back(argument.data());
        words.push_back(nullptr);
        std::array<int, 2> ends {};
        if (pipe2(ends.data(), O_CLOEXEC) != 0)
            throw std::runtime_error("no pipe");
        pid_t parent = getpid();
        pid_t id = fork();
        if (id == 0) {
            // The child goes when the test goes, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                _exit(127);
            int file
                = outputFile.empty() ? -1 : open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(file >= 0 ? file : ends[1], STDOUT_FILENO);
            if (withErrors)
                dup2(ends[1], STDERR_FILENO);
            execv(path.c_str(), words.data());
            _exit(127);
        }
        close(ends[1]);
        return { id, ends[0] };
    }

    int statusOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

    std::string readSome(int output)
    {
        std::array<char, 4096> buffer {};
        ssize_t size = read(output, buffer.data(), buffer.size());
        return { buffer.data(), static_cast<std::size_t>(size > 0 ? size : 0) };
    }

} // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments, std::size_t ports,
    const std::string& outputFile)
{
    Child child = startChild(program, arguments, false, outputFile);
    id_ = child.id_;
    readPorts(child.output_, ports);
    close(child.output_);
    if (ports_.size() >= ports)
        return;
    int status = end(SIGKILL);
    throw std::runtime_error(program + " ended before it was ready, status " + std::to_string(status));
}

Process::~Process()
{
    if (isRunning())
        end(SIGKILL);
}

void Process::readPorts(int output, std::size_t count)
{
    std::string text;
    while (ports_.size() < count) {
        std::string more = readSome(output);
        if (more.empty())
            return;
        text += more;
        std::istringstream lines(text.substr(0, text.rfind('\n') + 1));
        std::string name;
        int port = 0;
        while (lines >> name >> port)
            ports_[name] = port;
    }
}

void Process::signal(int number) const { kill(id_, number); }

bool Process::hasEnded()
{
    int status = 0;
    if (id_ == 0 || waitpid(id_, &status, WNOHANG) != id_)
        return id_ == 0;
    id_ = 0;
    return true;
}

int Process::end(int number)
{
    kill(id_, number);
    int status = 0;
    waitpid(id_, &status, 0);
    id_ = 0;
    return statusOf(status);
}

Finished runToEnd(const std::string& program, const std::vector<std::string>& arguments)
{
    Child child = startChild(program, arguments, true);
    Finished finished;
    for (std::string more = readSome(child.output_); !more.empty(); more = readSome(child.output_))
        finished.output_ += more;
    close(child.output_);
    int status = 0;
    waitpid(child.id_, &status, 0);
    finished.status_ = statusOf(status);
    return finished;
}

} // namespace fescue::test
