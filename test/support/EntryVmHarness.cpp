#include "EntryVmHarness.h"

#include "BootClock.h"
#include "FreePort.h"

#include <asio/post.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <stdexcept>
#include <unistd.h>

namespace fescue::test {

namespace {

    using asio::ip::tcp;

    constexpr const char* config = R"({"version":5,"routes":[
{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":3000,"service":"llm",
 "max-attempts":1,"retained":false,"retention-s":60.0,"resumable":true,"priority":1},
{"name":"reads","host":"h.example","path-prefix":"/read/","type":"idempotent","timeout-ms":2000,"service":"app",
 "max-attempts":2},
{"name":"calls","host":"h.example","path-prefix":"/call/","type":"non_idempotent","timeout-ms":1500,"service":"app",
 "max-attempts":2}],
"services":[{"name":"llm","engine":{"slots":12,"tokens-per-event":100}},{"name":"app"}],
"limits":{"max-header-bytes":8192,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

    std::string targetEntry(const std::string& service, int port)
    {
        return fmt::format(
            R"({{"service":"{}","address":"127.0.0.1:{}","zone":"z","slots":12,"state":"ready"}})", service,
            port);
    }

} // namespace

ScriptedTarget::ScriptedTarget(asio::io_context& io, Script script)
    : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , script_(std::move(script))
{
    accept();
}

void ScriptedTarget::accept()
{
    acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
        if (error)
            return;
        auto link = TcpLink::accepted(std::move(socket));
        auto reader = std::make_shared<HttpReader>(HttpReader::Side::Requests, HttpLimits {});
        auto onData = [this, link, reader](std::string_view data) {
            while (!data.empty()) {
                data.remove_prefix(reader->feed(data));
                if (!reader->isComplete())
                    return;
                ++requests_;
                TargetAction action = script_(reader->head(), reader->takeBody());
                reader->next();
                link->send(action.bytes_);
                if (action.closesConnection_)
                    return link->closeAfterFlush();
            }
        };
        link->setCallbacks({ nullptr, onData, [this](CloseReason) { ++closedConnections_; } });
        link->start();
        accept();
    });
}

std::string stampedResponse(const HttpHead& request, const std::string& body)
{
    const std::string* id = findHeader(request, "Fescuewinch-Request-Id");
    return fmt::format(
        "HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: {}\r\nFescuewinch-Response-Stamp: stamp\r\n"
        "Content-Length: {}\r\n\r\n{}",
        id ? *id : "", body.size(), body);
}

std::string targetRefusal(const HttpHead& request)
{
    const std::string* id = findHeader(request, "Fescuewinch-Request-Id");
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\nFescuewinch-Request-Id: {}\r\n"
                       "Fescuewinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        id ? *id : "");
}

EntryVmHarness::EntryVmHarness(std::vector<ScriptedTarget::Script> scripts, bool hasConfig)
    : store_(std::make_unique<standin::PlatformStore>(io_))
    , callerPort_(findFreePort(io_))
    , readyPort_(findFreePort(io_))
{
    for (auto& script : scripts)
        targets_.push_back(std::make_unique<ScriptedTarget>(io_, std::move(script)));
    if (hasConfig)
        publish();
    settingsFile_ = fmt::format("/tmp/fescue-entry-test-{}-{}.yaml", ::getpid(), callerPort_);
    std::ofstream(settingsFile_) << fmt::format(
        "node-name: vm-a\nip: 127.0.0.1\nzone: z\nport-range: [ {}, 0 ]\nheartbeat-ms: 1000\n"
        "listen: {{ frontend: '127.0.0.1:{}', ready: '127.0.0.1:{}' }}\n"
        "limits: {{ cpu-quota: 1, memory-mb: 100 }}\n"
        "bounds: {{ drain-ms: 2000, grace-s: 6, config-apply-ms: 2000, settle-ms: 1000 }}\n"
        "platform: {{ address: '127.0.0.1:{}', parts: 2 }}\n",
        findFreePort(io_), callerPort_, readyPort_, store_->port());
    thread_ = std::thread([this] {
        while (!isStopped_) {
            io_.run_for(std::chrono::milliseconds(2));
            io_.restart();
            store_->tick(bootNow());
        }
    });
    try {
        process_ = std::make_unique<Process>(
            "fescue-entry", std::vector<std::string> { "--settings=" + settingsFile_ }, 0);
        if (hasConfig)
            waitUntil("the VM is ready", [this] { return readinessStatus() == 200; });
    } catch (const std::exception&) {
        stop();
        throw;
    }
}

EntryVmHarness::~EntryVmHarness() { stop(); }

void EntryVmHarness::stop()
{
    if (process_ && process_->isRunning())
        process_->signalAndWait(SIGKILL);
    isStopped_ = true;
    thread_.join();
    std::remove(settingsFile_.c_str());
}

void EntryVmHarness::publish()
{
    store_->put("keyed.op", "config", config);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        store_->put("keyed.servers", fmt::format("i-app-{}", i), targetEntry("app", targets_[i]->port()));
        store_->put("keyed.servers", fmt::format("i-llm-{}", i), targetEntry("llm", targets_[i]->port()));
    }
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
    RawConnection connection(callerPort_);
    connection.send(fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n{}{}\r\n{}",
        method, path, headers,
        body.empty() ? std::string() : fmt::format("Content-Length: {}\r\n", body.size()), body));
    return connection.readAll();
}

int EntryVmHarness::readinessStatus() const
{
    try {
        RawConnection connection(readyPort_);
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
