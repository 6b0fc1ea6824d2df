#include "Process.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
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

    Child startChild(const std::string& program, const std::vector<std::string>& arguments,
        bool capturesStderr, const std::string& outputFile = {})
    {
        std::string path = programPath(program);
        std::vector<char*> argv { path.data() };
        std::vector<std::string> ownedArguments = arguments;
        for (std::string& argument : ownedArguments)
            argv.push_back(argument.data());
        argv.push_back(nullptr);
        std::array<int, 2> pipeEnds {};
        if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0)
            throw std::runtime_error("could not create a pipe");
        pid_t parent = getpid();
        pid_t id = fork();
        if (id == 0) {
            // The kernel kills the child when the test process ends, also after a crash.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                _exit(127);
            int file
                = outputFile.empty() ? -1 : open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(file >= 0 ? file : pipeEnds[1], STDOUT_FILENO);
            if (capturesStderr)
                dup2(pipeEnds[1], STDERR_FILENO);
            // An inherited listener would keep its port open after the test has closed it.
            close_range(STDERR_FILENO + 1, ~0U, 0);
            execv(path.c_str(), argv.data());
            _exit(127);
        }
        close(pipeEnds[1]);
        return { id, pipeEnds[0] };
    }

    int exitStatusOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

    std::string readChunk(int output)
    {
        std::array<char, 4096> buffer {};
        ssize_t size = read(output, buffer.data(), buffer.size());
        return { buffer.data(), static_cast<std::size_t>(size > 0 ? size : 0) };
    }

} // namespace

std::string programPath(const std::string& program)
{
    bool isAbsolute = !program.empty() && program.front() == '/';
    return isAbsolute ? program : std::string(FESCUE_PROGRAMS) + "/" + program;
}

std::string makeEventsFolder()
{
    const char* parent = std::getenv("FESCUE_TEST_EVENTS");
    if (!parent)
        return {};
    static int folders = 0;
    std::string folder
        = std::string(parent) + "/" + std::to_string(getpid()) + "-" + std::to_string(++folders);
    std::filesystem::create_directories(folder);
    return folder;
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments, std::size_t ports,
    const std::string& outputFile)
{
    Child child = startChild(program, arguments, false, outputFile);
    id_ = child.id_;
    readPorts(child.output_, ports);
    close(child.output_);
    if (ports_.size() >= ports)
        return;
    int status = signalAndWait(SIGKILL);
    throw std::runtime_error(program + " exited before it was ready, status " + std::to_string(status));
}

Process::~Process()
{
    if (isRunning())
        signalAndWait(SIGKILL);
}

void Process::readPorts(int output, std::size_t count)
{
    std::string text;
    while (ports_.size() < count) {
        std::string chunk = readChunk(output);
        if (chunk.empty())
            return;
        text += chunk;
        std::istringstream lines(text.substr(0, text.rfind('\n') + 1));
        std::string name;
        int port = 0;
        while (lines >> name >> port)
            ports_[name] = port;
    }
}

void Process::pause()
{
    kill(id_, SIGSTOP);
    int status = 0;
    if (waitpid(id_, &status, WUNTRACED) != id_ || WIFSTOPPED(status))
        return;
    id_ = 0;
    throw std::runtime_error(
        "the process ended while it was paused, status " + std::to_string(exitStatusOf(status)));
}

void Process::signal(int number) const { kill(id_, number); }

bool Process::tryReap()
{
    int status = 0;
    if (id_ == 0 || waitpid(id_, &status, WNOHANG) != id_)
        return id_ == 0;
    id_ = 0;
    exitStatus_ = exitStatusOf(status);
    return true;
}

int Process::signalAndWait(int number)
{
    kill(id_, number);
    int status = 0;
    waitpid(id_, &status, 0);
    id_ = 0;
    exitStatus_ = exitStatusOf(status);
    return exitStatus_;
}

ProcessResult runProcess(const std::string& program, const std::vector<std::string>& arguments)
{
    Child child = startChild(program, arguments, true);
    ProcessResult result;
    for (std::string chunk = readChunk(child.output_); !chunk.empty(); chunk = readChunk(child.output_))
        result.output_ += chunk;
    close(child.output_);
    int status = 0;
    waitpid(child.id_, &status, 0);
    result.status_ = exitStatusOf(status);
    return result;
}

} // namespace fescue::test
