#include "ProcessTarget.h"

#include <chrono>
#include <fmt/format.h>
#include <thread>

namespace fescue::test {

namespace {

    // A VM reads the list of targets several times within it.
    constexpr std::chrono::milliseconds listReadTime { 1500 };
    constexpr std::uint64_t bornStep = 1000;

} // namespace

ProcessTarget::ProcessTarget(EntryVmHarness& vms, std::string name, std::vector<std::string> flags)
    : vms_(vms)
    , name_(std::move(name))
    , flags_(std::move(flags))
{
    start();
    announce();
    std::this_thread::sleep_for(listReadTime);
}

void ProcessTarget::start()
{
    std::vector<std::string> arguments = flags_;
    arguments.push_back(fmt::format("--listen=127.0.0.1:{}", port_));
    process_ = std::make_unique<Process>("standin-target", arguments, 1);
    port_ = process_->port("http");
    ++starts_;
}

void ProcessTarget::restart()
{
    if (process_->isRunning())
        process_->signalAndWait(SIGKILL);
    start();
}

void ProcessTarget::announce(const Announcement& announcement)
{
    ++reports_;
    vms_.runOnStore([&](standin::PlatformStore& store) {
        for (const char* service : { "app", "llm" })
            store.put("keyed.servers", fmt::format("i-{}-{}", service, name_),
                announcement.isPresent_ ? fmt::format(
                    R"({{"service":"{}","address":"127.0.0.1:{}","zone":"z","version":"{}","slots":12,"state":"{}","seq":{},"born":{}}})",
                    service, port_, announcement.version_, announcement.isLeaving_ ? "draining" : "ready",
                    reports_, starts_ * bornStep)
                                        : "");
    });
}

std::string ProcessTarget::runs() const
{
    RawConnection connection(port_);
    connection.send("GET /runs HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string head = connection.readUntil("\r\n\r\n");
    std::size_t body = head.find("\r\n\r\n") + 4;
    std::size_t length = std::stoul(head.substr(head.find("Content-Length: ") + 16));
    std::string text = head.substr(body);
    while (text.size() < length)
        text += connection.readUntil("\n");
    return text;
}

} // namespace fescue::test
