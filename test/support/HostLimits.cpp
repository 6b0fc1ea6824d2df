#include "HostLimits.h"

#include "Suite.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace fescue::test {

namespace {

    // Time on a processor that a process has used.
    std::chrono::milliseconds processorTime(pid_t process)
    {
        std::ifstream file("/proc/" + std::to_string(process) + "/stat");
        std::string text;
        std::getline(file, text);
        unsigned long user = 0;
        unsigned long system = 0;
        constexpr int fields = 2;
        CHECK_EQUAL(fields,
            std::sscanf(text.c_str() + text.rfind(')') + 2,
                "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system));
        return std::chrono::milliseconds(
            (user + system) * 1000 / static_cast<unsigned long>(::sysconf(_SC_CLK_TCK)));
    }

} // namespace

void limit(pid_t process, __rlimit_resource resource, rlim_t value)
{
    rlimit limits {};
    CHECK_EQUAL(0, ::prlimit(process, resource, nullptr, &limits));
    limits.rlim_cur = std::min(value, limits.rlim_max);
    CHECK_EQUAL(0, ::prlimit(process, resource, &limits, nullptr));
}

rlim_t descriptorsOf(pid_t process)
{
    auto all = std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd");
    return static_cast<rlim_t>(std::distance(begin(all), end(all)));
}

rlim_t statusBytes(pid_t process, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    constexpr rlim_t bytesPerUnit = 1024;
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(name + ":", 0) == 0)
            return std::stoull(line.substr(name.size() + 1)) * bytesPerUnit;
    }
    return 0;
}

void checkIsCalm(pid_t process)
{
    auto before = processorTime(process);
    std::this_thread::sleep_for(wantTime);
    auto used = processorTime(process) - before;
    CHECK(used < wantTime / 2);
}

ScriptedTarget::Script answering(std::size_t bytes)
{
    return [bytes](const HttpHead& head, const std::string&) {
        return TargetAction { stampedResponse(head, std::string(bytes, 'a')) };
    };
}

std::string post(std::size_t bytes, const std::string& id)
{
    return "POST /read/x HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: " + id
        + "\r\nFescuewinch-Deadline-Ms: 1200\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

bool isServed(const EntryVmHarness& vms)
{
    return statusOf(vms.request("POST", "/read/x", requestHeaders, "body")) == 200;
}

} // namespace fescue::test
