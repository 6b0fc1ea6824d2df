#include "LoneVm.h"

#include "FreePort.h"
#include "RawConnection.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace fescue::test {

namespace {

    bool waitUntil(const std::function<bool()>& condition)
    {
        constexpr int maxTries = 2000;
        for (int i = 0; i < maxTries; ++i) {
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return false;
    }

} // namespace

VmAddresses findFreeAddresses()
{
    asio::io_context io;
    VmAddresses addresses;
    for (int* port :
        { &addresses.callerPort_, &addresses.readyPort_, &addresses.peerPort_, &addresses.metricsPort_ })
        *port = findFreePort(io);
    return addresses;
}

std::string settingsText(const VmAddresses& addresses, int memoryMb)
{
    // Nothing listens on port 1, so the store cannot be reached.
    return fmt::format(R"(node-name: vm-a
ip: {0}
zone: z
port-range:
  - {1}
  - {1}
heartbeat-ms: 1200
listen:
  frontend: "{0}:{2}"
  ready: "{0}:{3}"
limits:
  cpu-quota: 1
  memory-mb: {4}
bounds:
  drain-ms: 2000
  grace-s: 3
  config-apply-ms: 2000
platform:
  address: "127.0.0.1:1"
  record-bytes: 262144
  parts: 12
)",
        addresses.host_, addresses.peerPort_, addresses.callerPort_, addresses.readyPort_, memoryMb);
}

LoneVm::LoneVm(const VmAddresses& addresses, int memoryMb)
    : addresses_(addresses)
    , settings_(settingsText(addresses, memoryMb))
{
    static int vms = 0;
    std::string name = fmt::format("/tmp/fescue-lone-vm-{}-{}", ::getpid(), ++vms);
    settingsFile_ = name + ".yaml";
    logFile_ = name + ".log";
    writeSettings(settings_);
}

LoneVm::~LoneVm()
{
    process_.reset();
    std::remove(settingsFile_.c_str());
    std::remove(logFile_.c_str());
}

void LoneVm::writeSettings(const std::string& text) const { std::ofstream(settingsFile_) << text; }

void LoneVm::start(const std::string& redirections, const std::string& limits)
{
    const char* otherBuild = std::getenv("FESCUE_TEST_ENTRY");
    std::string program = programPath(otherBuild ? otherBuild : "fescue-entry");
    std::vector<std::string> flags { "--settings=" + settingsFile_,
        fmt::format("--metrics_port={}", addresses_.metricsPort_) };
    process_.reset();
    if (redirections.empty() && limits.empty()) {
        process_.emplace(program, flags, 0, logFile_);
        return;
    }
    std::string command = fmt::format(
        "{}; exec '{}' {} {} {}", limits.empty() ? ":" : limits, program, flags[0], flags[1], redirections);
    process_.emplace("/bin/sh", std::vector<std::string> { "-c", command }, 0, logFile_);
}

bool LoneVm::waitUntilServing()
{
    bool isServing = false;
    waitUntil([this, &isServing] {
        if (!isRunning())
            return true;
        try {
            RawConnection connection(addresses_.readyPort_, 0, addresses_.host_);
            connection.send("GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            isServing = connection.readAll().rfind("HTTP/1.1 ", 0) == 0;
        } catch (const std::runtime_error&) {
            return false; // It does not listen yet.
        }
        return isServing;
    });
    return isServing;
}

std::string LoneVm::log() const
{
    std::ostringstream text;
    text << std::ifstream(logFile_).rdbuf();
    return text.str();
}

bool LoneVm::waitForLog(const std::string& text) const
{
    return waitUntil([this, &text] { return log().find(text) != std::string::npos; });
}

bool LoneVm::waitForEnd()
{
    return waitUntil([this] { return !isRunning(); });
}

} // namespace fescue::test
