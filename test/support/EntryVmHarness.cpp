#include "EntryVmHarness.h"

#include "BootClock.h"
#include "FreePort.h"

#include <asio/post.hpp>
#include <cerrno>
#include <chrono>
#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <numeric>
#include <stdexcept>
#include <unistd.h>

namespace fescue::test {

namespace {

    using asio::ip::tcp;

    constexpr const char* config = R"({"version":5,"routes":[
{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":3000,"service":"llm",
 "max-attempts":1,"retained":false,"retention-s":60.0,"resumable":true,"priority":1},
{"name":"conversations","host":"h.example","path-prefix":"/kept/","type":"streaming","timeout-ms":3000,"service":"llm",
 "max-attempts":1,"retained":true,"retention-s":60.0,"priority":1},
{"name":"resumable-conversations","host":"h.example","path-prefix":"/again/","type":"streaming","timeout-ms":3000,
 "service":"llm","max-attempts":1,"retained":true,"retention-s":60.0,"resumable":true,"priority":1},
{"name":"reads","host":"h.example","path-prefix":"/read/","type":"idempotent","timeout-ms":2000,"service":"app",
 "max-attempts":2},
{"name":"calls","host":"h.example","path-prefix":"/call/","type":"non_idempotent","timeout-ms":1500,"service":"app",
 "max-attempts":2}],
"services":[{"name":"llm","engine":{"slots":12,"tokens-per-event":100}},{"name":"app"}],
"limits":{"max-header-bytes":8192,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

    // The settings name the interval of the platform; the stand-ins report more often, which keeps tests
    // short.
    constexpr Milliseconds namedHeartbeatInterval { 1200 };
    constexpr Milliseconds heartbeatInterval { 300 };
    // Longer than three heartbeats, so that the entry of a crashed target is gone before it is back.
    constexpr Milliseconds downtime { 1500 };
    constexpr Milliseconds entryLapse { 3 * heartbeatInterval };

    std::string targetEntry(const std::string& service, int port, const std::string& startName,
        std::uint64_t heartbeat, const Announcement& announcement)
    {
        return fmt::format(
            R"({{"service":"{}","address":"127.0.0.1:{}","zone":"z","version":"{}","slots":12,"state":"{}","seq":{},"born":{}}})",
            service, port, announcement.version_, announcement.isLeaving_ ? "draining" : "ready", heartbeat,
            1000 + startName.size());
    }

    std::string refusalOf(const HttpHead& request, const char* status, const char* headers)
    {
        const std::string* id = findHeader(request, "Fescuewinch-Request-Id");
        return fmt::format("HTTP/1.1 {}\r\nFescuewinch-Request-Id: {}\r\n{}Content-Length: 0\r\n\r\n", status,
            id ? *id : "", headers);
    }

} // namespace

ScriptedTarget::ScriptedTarget(asio::io_context& io, Script script)
    : acceptor_(io)
    , script_(std::move(script))
    , port_(static_cast<std::uint16_t>(findFreePort(io)))
{
    listen();
}

void ScriptedTarget::listen()
{
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(tcp::endpoint(asio::ip::address_v4::loopback(), port_));
    acceptor_.listen();
    accept();
}

void ScriptedTarget::accept()
{
    acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
        if (error)
            return;
        auto link = TcpLink::accepted(std::move(socket));
        links_.push_back(link);
        auto reader = std::make_shared<HttpReader>(HttpReader::Side::Requests, HttpLimits {});
        auto late = std::make_shared<std::string>();
        auto onData = [this, link, reader, late](std::string_view data) {
            while (!data.empty()) {
                data.remove_prefix(reader->feed(data));
                if (!reader->isComplete())
                    return;
                if (isForOtherStart(reader->head())) {
                    link->send(refusalOf(reader->head(), "421 Misdirected Request", ""));
                    reader->takeBody();
                    reader->next();
                    continue;
                }
                ++requests_;
                link->send(std::exchange(*late, {}));
                TargetAction action = script_(reader->head(), reader->takeBody());
                reader->next();
                if (action.crashes_)
                    return crash();
                link->send(action.bytes_);
                if (action.comesAgain_)
                    *late = action.bytes_;
                if (!action.endless_.empty())
                    endless_.emplace_back(link, action.endless_);
                if (action.resetsConnection_)
                    return link->close(true);
                if (action.closesConnection_)
                    return link->closeAfterFlush();
            }
        };
        link->setCallbacks({ nullptr, onData, [this](CloseReason) { ++closedConnections_; } });
        link->start();
        accept();
    });
}

bool ScriptedTarget::isForOtherStart(const HttpHead& head) const
{
    const std::string* expected = findHeader(head, "Fescuewinch-Expect-Instance");
    if (!expected)
        return false;
    std::size_t dot = expected->find('.');
    return (dot == std::string::npos ? std::string() : expected->substr(dot)) != startName_;
}

void ScriptedTarget::sendEndless()
{
    // Enough to keep the connection busy between two calls.
    constexpr std::size_t bytesPerCall = 256 * 1024;
    for (auto& [weak, bytes] : endless_) {
        auto link = weak.lock();
        std::size_t sent = 0;
        while (link && link->isOpen() && link->queuedBytes() == 0 && sent < bytesPerCall) {
            link->send(bytes);
            sent += bytes.size();
        }
    }
}

void ScriptedTarget::resetConnections()
{
    for (const auto& weak : links_) {
        if (auto link = weak.lock())
            link->close(true);
    }
    links_.clear();
}

void ScriptedTarget::crash()
{
    ++crashes_;
    acceptor_.close();
    resetConnections();
    startName_ = fmt::format(".{}", crashes_.load());
    crashedAt_ = bootNow();
}

bool ScriptedTarget::restartIfDue(MonotonicTime now)
{
    if (isRunning() || now < crashedAt_ + downtime)
        return false;
    listen();
    return true;
}

BlackHole::BlackHole(asio::io_context& io)
    : acceptor_(io)
{
    acceptor_.open(tcp::v4());
    acceptor_.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    acceptor_.listen(0);
    constexpr int queued = 4; // The queue of a listening socket holds one connection more than its size.
    for (int i = 0; i < queued; ++i) {
        waiting_.emplace_back(io);
        waiting_.back().open(tcp::v4());
        waiting_.back().native_non_blocking(true);
        // Not through Asio, which would wait until the connection is established.
        auto address = acceptor_.local_endpoint();
        int result = ::connect(
            waiting_.back().native_handle(), address.data(), static_cast<socklen_t>(address.size()));
        if (result != 0 && errno != EINPROGRESS)
            throw std::runtime_error("cannot fill the queue of a listening socket");
    }
}

std::string stampedHead(const HttpHead& request, const std::string& framing, int status)
{
    const std::string* id = findHeader(request, "Fescuewinch-Request-Id");
    return fmt::format("HTTP/1.1 {} {}\r\nFescuewinch-Request-Id: {}\r\n"
                       "Fescuewinch-Response-Stamp: stamp\r\n{}\r\n",
        status, reasonPhraseOf(status), id ? *id : "", framing);
}

std::string stampedResponse(const HttpHead& request, const std::string& body)
{
    return stampedHead(request, fmt::format("Content-Length: {}\r\n", body.size())) + body;
}

std::string targetRefusal(const HttpHead& request)
{
    return refusalOf(request, "503 Service Unavailable", "Fescuewinch-Not-Executed: 1\r\n");
}

std::string programHeaders(const std::string& program, const std::string& budget)
{
    return fmt::format("Fescuewinch-Program-Id: {}\r\nFescuewinch-Token-Budget: {}\r\n"
                       "Fescuewinch-Token-Count: 100,300\r\n",
        program, budget);
}

EntryVmHarness::EntryVmHarness(std::vector<ScriptedTarget::Script> scripts, bool hasConfig, std::size_t vms,
    const VmLimits& limits, std::vector<std::string> zones)
    : limits_(limits)
    , store_(std::make_unique<standin::PlatformStore>(io_))
    , closedPort_(findFreePort(io_))
    , blackHole_(std::make_unique<BlackHole>(io_))
    , eventsFolder_(makeEventsFolder())
    , zones_(std::move(zones))
{
    for (auto& script : scripts)
        targets_.push_back(std::make_unique<ScriptedTarget>(io_, std::move(script)));
    announcements_.resize(targets_.size());
    if (hasConfig)
        publish();
    for (std::size_t i = 0; i < vms; ++i)
        vms_.push_back(makeVm());
    thread_ = std::thread([this, hasConfig] {
        while (!isStopped_) {
            io_.run_for(std::chrono::milliseconds(2));
            io_.restart();
            store_->tick(bootNow());
            if (hasConfig)
                tickTargets(bootNow());
        }
    });
    try {
        for (Vm& vm : vms_)
            startProcess(vm);
        for (std::size_t i = 0; hasConfig && i < vms; ++i)
            waitUntil("the VM is ready", [this, i] { return readinessStatus(i) == 200; });
    } catch (const std::exception&) {
        stop();
        throw;
    }
}

EntryVmHarness::~EntryVmHarness() { stop(); }

EntryVmHarness::Vm EntryVmHarness::makeVm()
{
    Vm vm;
    vm.name_ = fmt::format("vm-{}", static_cast<char>('a' + vms_.size()));
    vm.callerPort_ = findFreePort(io_);
    vm.readyPort_ = findFreePort(io_);
    vm.peerPort_ = findFreePort(io_);
    vm.links_ = std::make_shared<LinkFault>(LinkFault::None);
    vm.storePort_
        = store_->addView([this, links = vm.links_](const std::string& topic, const std::string& value) {
              return topic == "keyed.servers" ? viewWith(value, *links) : value;
          });
    vm.settingsFile_ = fmt::format("/tmp/fescue-entry-test-{}-{}.yaml", ::getpid(), vm.callerPort_);
    std::ofstream(vm.settingsFile_) << fmt::format(
        "node-name: {}\nip: 127.0.0.1\nzone: {}\nport-range: [ {}, 0 ]\nheartbeat-ms: {}\n"
        "listen: {{ frontend: '127.0.0.1:{}', ready: '127.0.0.1:{}' }}\n"
        "limits: {{ cpu-quota: 1, memory-mb: {}{} }}\n"
        "bounds: {{ drain-ms: 2000, grace-s: 6, config-apply-ms: 2000, settle-ms: 1000 }}\n"
        "platform: {{ address: '127.0.0.1:{}', parts: 2 }}\n",
        vm.name_, vms_.size() < zones_.size() ? zones_[vms_.size()] : "z", vm.peerPort_,
        namedHeartbeatInterval.count(), vm.callerPort_, vm.readyPort_, limits_.memoryMb_,
        limits_.maxFds_ > 0 ? fmt::format(", max-fds: {}", limits_.maxFds_) : std::string(), vm.storePort_);
    return vm;
}

// The entry of a target as a VM sees it whose connections fail.
std::string EntryVmHarness::viewWith(const std::string& targetEntry, LinkFault fault) const
{
    if (fault == LinkFault::None)
        return targetEntry;
    constexpr std::string_view host = "127.0.0.1:";
    std::size_t port = targetEntry.find(host) + host.size();
    std::size_t end = targetEntry.find('"', port);
    int failing = fault == LinkFault::Refused ? closedPort_ : blackHole_->port();
    return targetEntry.substr(0, port) + std::to_string(failing) + targetEntry.substr(end);
}

void EntryVmHarness::setLinks(std::size_t vm, LinkFault fault)
{
    runOnStore([&](standin::PlatformStore&) {
        *vms_[vm].links_ = fault;
        for (std::size_t i = 0; i < targets_.size(); ++i)
            publishTarget(i, targets_[i]->startName(), true);
    });
}

void EntryVmHarness::setStoreFault(std::size_t vm, bool standin::StoreFaults::*fault, bool isSet)
{
    runOnStore([&](standin::PlatformStore& store) { store.faultsAt(vms_[vm].storePort_).*fault = isSet; });
}

void EntryVmHarness::startProcess(Vm& vm)
{
    std::string output
        = eventsFolder_.empty() ? std::string() : fmt::format("{}/{}.events", eventsFolder_, vm.name_);
    const char* otherBuild = std::getenv("FESCUE_TEST_ENTRY");
    vm.process_ = std::make_unique<Process>(otherBuild ? otherBuild : "fescue-entry",
        std::vector<std::string> { "--settings=" + vm.settingsFile_ }, 0, output);
}

ByteCount EntryVmHarness::residentMemory(std::size_t vm) const
{
    std::ifstream file("/proc/" + std::to_string(vms_[vm].process_->id()) + "/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return { resident * ::sysconf(_SC_PAGESIZE) };
}

ByteCount EntryVmHarness::peakResidentMemory(std::size_t vm) const
{
    std::ifstream file("/proc/" + std::to_string(vms_[vm].process_->id()) + "/status");
    constexpr std::int64_t bytesPerUnit = 1024;
    std::int64_t peak = 0;
    for (std::string line; std::getline(file, line);) {
        if (std::sscanf(line.c_str(), "VmHWM: %" SCNd64, &peak) == 1)
            break;
    }
    return { peak * bytesPerUnit };
}

void EntryVmHarness::addVm()
{
    runOnStore([this](standin::PlatformStore&) { vms_.push_back(makeVm()); });
    startProcess(vms_.back());
    waitUntil("the VM is ready", [this] { return readinessStatus(vms_.size() - 1) == 200; });
}

void EntryVmHarness::setGrace(std::size_t vm, int seconds)
{
    std::ifstream file(vms_[vm].settingsFile_);
    std::string settings((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    constexpr std::string_view name = "grace-s: ";
    std::size_t at = settings.find(name) + name.size();
    settings.replace(at, settings.find(',', at) - at, std::to_string(seconds));
    std::ofstream(vms_[vm].settingsFile_) << settings;
}

void EntryVmHarness::replaceProcess(std::size_t vm)
{
    if (vms_[vm].process_->isRunning())
        vms_[vm].process_->signalAndWait(SIGKILL);
    startProcess(vms_[vm]);
}

void EntryVmHarness::restartVm(std::size_t vm)
{
    replaceProcess(vm);
    waitUntil("the VM is ready again", [this, vm] { return readinessStatus(vm) == 200; });
}

void EntryVmHarness::stop()
{
    for (Vm& vm : vms_) {
        if (vm.process_ && vm.process_->isRunning())
            vm.process_->signalAndWait(SIGKILL);
    }
    isStopped_ = true;
    thread_.join();
    for (const Vm& vm : vms_)
        std::remove(vm.settingsFile_.c_str());
}

void EntryVmHarness::publish()
{
    std::string text = config;
    constexpr std::string_view bodyLimit = "65536";
    text.replace(text.find(bodyLimit), bodyLimit.size(), std::to_string(limits_.maxBodyBytes_));
    store_->put("keyed.op", "config", text);
    publishedStarts_.resize(targets_.size());
    for (std::size_t i = 0; i < targets_.size(); ++i)
        publishTarget(i, "", true);
}

void EntryVmHarness::publishTarget(std::size_t index, const std::string& startName, bool isPresent)
{
    for (const char* service : { "app", "llm" })
        store_->put("keyed.servers", fmt::format("i-{}-{}{}", service, index, startName),
            isPresent && announcements_[index].isPresent_
                ? targetEntry(service, targets_[index]->port(), startName, heartbeats_, announcements_[index])
                : "");
}

// Running targets report themselves; the entry of a crashed one lapses, and it comes back under a new id.
void EntryVmHarness::tickTargets(MonotonicTime now)
{
    bool isHeartbeatDue = now >= nextHeartbeat_;
    if (isHeartbeatDue) {
        nextHeartbeat_ = now + heartbeatInterval;
        ++heartbeats_;
    }
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        ScriptedTarget& target = *targets_[i];
        target.sendEndless();
        bool isRestarted = target.restartIfDue(now);
        if (publishedStarts_[i] != target.startName() && now >= target.crashedAt() + entryLapse) {
            publishTarget(i, publishedStarts_[i], false);
            publishedStarts_[i] = target.startName();
        }
        // Targets report to the same store.
        bool isReporting = target.isRunning() && !store_->faults().isDown_;
        if (isReporting && (isHeartbeatDue || isRestarted))
            publishTarget(i, target.startName(), true);
    }
}

void EntryVmHarness::announce(std::size_t target, const Announcement& announcement)
{
    runOnStore([&](standin::PlatformStore&) {
        announcements_[target] = announcement;
        publishTarget(target, targets_[target]->startName(), true);
    });
}

void EntryVmHarness::runOnStore(const std::function<void(standin::PlatformStore&)>& action)
{
    std::promise<void> done;
    asio::post(io_, [&] {
        action(*store_);
        done.set_value();
    });
    done.get_future().wait();
}

std::string EntryVmHarness::request(const std::string& method, const std::string& path,
    const std::string& headers, const std::string& body) const
{
    return requestAt(0, method, path, headers, body);
}

std::string EntryVmHarness::requestAt(std::size_t vm, const std::string& method, const std::string& path,
    const std::string& headers, const std::string& body) const
{
    RawConnection connection(port(vm));
    connection.send(fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n{}{}\r\n{}",
        method, path, headers,
        body.empty() ? std::string() : fmt::format("Content-Length: {}\r\n", body.size()), body));
    return connection.readAll();
}

int EntryVmHarness::targetRequests() const
{
    return std::accumulate(targets_.begin(), targets_.end(), 0,
        [](int sum, const auto& target) { return sum + target->requests(); });
}

int EntryVmHarness::targetCrashes() const
{
    return std::accumulate(targets_.begin(), targets_.end(), 0,
        [](int sum, const auto& target) { return sum + target->crashes(); });
}

int EntryVmHarness::readinessStatus(std::size_t vm) const
{
    try {
        RawConnection connection(vms_[vm].readyPort_);
        connection.send("GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return statusOf(connection.readAll());
    } catch (const std::runtime_error&) {
        return 0; // The VM does not listen yet or no longer.
    }
}

void EntryVmHarness::waitUntil(const std::string& what, const std::function<bool()>& condition) const
{
    constexpr int maxTries = 3000;
    for (int i = 0; i < maxTries; ++i) {
        if (condition())
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    throw std::runtime_error("timed out waiting until " + what);
}

int statusOf(const std::string& response)
{
    int status = 0;
    return std::sscanf(response.c_str(), "HTTP/1.1 %d", &status) == 1 ? status : 0;
}

} // namespace fescue::test
