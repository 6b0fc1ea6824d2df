#include "SmallFleet.h"

#include "BootClock.h"
#include "Client.h"
#include "FreePort.h"

#include <asio/post.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <stdexcept>
#include <unistd.h>

namespace fescue::review {

namespace {

    constexpr std::chrono::milliseconds heartbeat { 1200 };

    std::string makeFolder()
    {
        const char* kept = std::getenv("REVIEW_LOGS");
        std::string folder = fmt::format("{}/fescue-review-{}", kept ? kept : "/tmp", ::getpid());
        std::filesystem::create_directories(folder);
        return folder;
    }

} // namespace

bool isCalm()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble && std::string(trouble) == "0";
}

long long unixMs()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

SmallFleet::SmallFleet(const std::string& config, const std::vector<std::string>& zones)
    : store_(std::make_unique<standin::PlatformStore>(io_))
    , folder_(makeFolder())
{
    store_->put("keyed.op", "config", config);
    for (const std::string& zone : zones)
        addVm(zone, zones);
    thread_ = std::thread([this] {
        auto nextBeat = std::chrono::steady_clock::now();
        while (!isStopped_) {
            io_.run_for(std::chrono::milliseconds(2));
            io_.restart();
            store_->tick(bootNow());
            if (std::chrono::steady_clock::now() < nextBeat)
                continue;
            nextBeat += heartbeat;
            beat();
        }
    });
}

SmallFleet::~SmallFleet()
{
    for (Vm& vm : vms_) {
        if (vm.process_ && vm.process_->isRunning())
            vm.process_->signalAndWait(SIGKILL);
    }
    isStopped_ = true;
    thread_.join();
    if (!std::getenv("REVIEW_LOGS"))
        std::filesystem::remove_all(folder_);
}

void SmallFleet::run(const std::function<void()>& action)
{
    std::promise<void> done;
    asio::post(io_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

Runner& SmallFleet::addRunner(RunnerEntry entry, Runner::Handler handler)
{
    Runner* added = nullptr;
    run([&] {
        runners_.push_back(std::make_unique<Runner>(io_, entry.instance_, std::move(handler)));
        added = runners_.back().get();
        entry.port_ = added->port();
        entry.born_ = unixMs();
        RunnerEntry& known = entries_[entry.instance_] = entry;
        put(known);
    });
    return *added;
}

void SmallFleet::announce(const std::string& instance, const std::function<void(RunnerEntry&)>& change)
{
    RunnerEntry& entry = entries_.at(instance);
    change(entry);
    put(entry);
}

void SmallFleet::silence(const std::string& instance) { entries_.erase(instance); }

void SmallFleet::withdraw(const std::string& instance)
{
    entries_.erase(instance);
    store_->put("keyed.servers", instance, "");
}

void SmallFleet::put(RunnerEntry& entry)
{
    store_->put("keyed.servers", entry.instance_,
        fmt::format(
            R"({{"service":"{}","address":"127.0.0.1:{}","zone":"{}","version":"{}","slots":{},"state":"{}",)"
            R"("cold-remaining-ms":0,"seq":{},"born":{}}})",
            entry.service_, entry.port_, entry.zone_, entry.version_, entry.slots_, entry.state_,
            ++entry.seq_, entry.born_));
}

void SmallFleet::beat()
{
    for (auto& [instance, entry] : entries_)
        put(entry);
}

void SmallFleet::addVm(const std::string& zone, const std::vector<std::string>& zones)
{
    Vm vm;
    vm.name_ = fmt::format("frontend-{}-{}", zone, vms_.size() + 1);
    vm.port_ = test::findFreePort(io_);
    vm.readyPort_ = test::findFreePort(io_);
    vm.metricsPort_ = test::findFreePort(io_);
    int peerPort = test::findFreePort(io_);
    vm.storePort_ = store_->addView([](const std::string&, const std::string& value) { return value; });
    vm.settingsFile_ = fmt::format("{}/{}.yaml", folder_, vm.name_);
    std::string zoneLines;
    for (const std::string& name : zones)
        if (zoneLines.find("  " + name + ":") == std::string::npos)
            zoneLines += fmt::format("  {}: \"region\"\n", name);
    std::ofstream(vm.settingsFile_) << fmt::format(
        "node-name: \"{}\"\nrole: \"entry\"\nmachine-class: \"frontend\"\nserves:\n  - \"frontend\"\n"
        "ip: \"127.0.0.1\"\nzone: \"{}\"\nregion: \"region\"\nzones:\n{}"
        "listen:\n  frontend: \"127.0.0.1:{}\"\n  ready: \"127.0.0.1:{}\"\n"
        "port-range:\n  - {}\n  - {}\nseeds: []\nbootstrap: true\nfault-counted: false\n"
        "limits:\n  cpu-quota: 0.5\n  cpu-cores: 1\n  memory-mb: 120\n  max-fds: 8200\n  link-mbps: 1000.0\n"
        "  disk-mb: 0\ndata-dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat-ms: {}\n"
        "bounds:\n  seed-lag-s: 3\n  addr-reuse-s: 2\n  stable-window-ms: 3000\n  ack-ms: 4000\n"
        "  catch-up-s: 4\n  drain-ms: 2000\n  grace-s: 8\n  loss-slack-ms: 200\n  config-apply-ms: 2000\n"
        "  rollback-slack-ms: 250\n  max-skew-ms: 5000\n  recovery-s: 12\n  event-delay-ms: 120\n"
        "  retry-after-s: 0\n  deadline-s: 10\n  settle-ms: 1000\n"
        "platform:\n  address: \"127.0.0.1:{}\"\n  form: \"log\"\n  writes-per-s: 800\n  reads-per-s: 2000\n"
        "  parts: 12\n  append-ms: 2.0\n  part-bw-s: 20.0\n  read-bw-s: 80.0\n  record-bytes: 262144\n"
        "  call-bytes: 2097152\n  retention-s: 300\n  part-mb: 200\n  ttl-min-ms: 1000\n",
        vm.name_, zone, zoneLines, vm.port_, vm.readyPort_, peerPort, peerPort, heartbeat.count(),
        vm.storePort_);
    vms_.push_back(std::move(vm));
}

void SmallFleet::start()
{
    // The platform starts all machines within 0.3 s of each other.
    const int gapMs = 300 / static_cast<int>(vms_.size());
    for (Vm& vm : vms_) {
        startProcess(vm);
        sleepMs(gapMs);
    }
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
        waitUntilReady(vm);
    // All VMs have found each other by then.
    sleepMs(1000);
}

void SmallFleet::startProcess(Vm& vm)
{
    ::setenv("FESCUEWINCH_NODE_FILE", vm.settingsFile_.c_str(), 1);
    vm.process_ = std::make_unique<test::Process>("fescue-entry",
        std::vector<std::string> { fmt::format("--metrics_port={}", vm.metricsPort_) }, 0,
        fmt::format("{}/{}.log", folder_, vm.name_));
}

void SmallFleet::killAndRestart(std::size_t vm, int downMs)
{
    vms_[vm].process_->signalAndWait(SIGKILL);
    sleepMs(downMs);
    startProcess(vms_[vm]);
    waitUntilReady(vm);
}

standin::StoreFaults& SmallFleet::storeFaults(std::size_t vm)
{
    return store_->faultsAt(vms_[vm].storePort_);
}

bool SmallFleet::isReady(std::size_t vm) const
{
    return sendRequest(vms_[vm].readyPort_, "GET", "/readyz", "", "").status_ == 200;
}

void SmallFleet::waitUntilReady(std::size_t vm) const
{
    constexpr int tries = 1500;
    for (int i = 0; i < tries; ++i) {
        if (isReady(vm))
            return;
        sleepMs(10);
    }
    throw std::runtime_error(vms_[vm].name_ + " is not ready after 15 seconds");
}

} // namespace fescue::review
