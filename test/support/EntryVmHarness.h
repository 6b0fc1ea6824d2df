#pragma once

/** \file
 * EntryVmHarness: runs one entry VM as a process, against a stand-in for the platform's store and scripted
 * targets.
 */

#include "PlatformStore.h"
#include "Process.h"
#include "RawConnection.h"
#include "TcpLink.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace fescue::test {

/** How a scripted target responds to a request. */
struct TargetAction {
    std::string bytes_; ///< Sent unchanged.
    bool closesConnection_ = false; ///< After the bytes have been sent.
};

/** A target that responds with scripted bytes. Counts requests and closed connections. */
class ScriptedTarget {
public:
    using Script = std::function<TargetAction(const HttpHead&, const std::string& body)>;

    ScriptedTarget(asio::io_context& io, Script script);
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int requests() const { return requests_; }
    /** Connections that the other side has closed. */
    int closedConnections() const { return closedConnections_; }

private:
    void accept();

    asio::ip::tcp::acceptor acceptor_;
    Script script_;
    std::atomic<int> requests_ { 0 };
    std::atomic<int> closedConnections_ { 0 };
};

/** A complete response of a target, with its response stamp. */
std::string stampedResponse(const HttpHead& request, const std::string& body);
/** The response of a target that has refused to run the request. */
std::string targetRefusal(const HttpHead& request);

/** The running entry VM and its environment. Must be used on the test's thread. */
class EntryVmHarness {
public:
    explicit EntryVmHarness(std::vector<ScriptedTarget::Script> scripts, bool hasConfig = true);
    ~EntryVmHarness();

    /** Runs `action` on the thread of the stand-ins and waits for it. */
    void runOnStore(const std::function<void(standin::PlatformStore&)>& action);
    ScriptedTarget& target(std::size_t index) { return *targets_[index]; }
    Process& process() { return *process_; }
    int port() const { return callerPort_; }
    /** Sends a request with `Connection: close` and reads until the connection ends. */
    std::string request(const std::string& method, const std::string& path, const std::string& headers = "",
        const std::string& body = "") const;
    /** Status of the response to /readyz; 0 when the VM does not accept connections. */
    int readinessStatus() const;
    void waitUntil(const std::string& what, const std::function<bool()>& condition) const;

private:
    void publish();
    void stop();

    asio::io_context io_ { 1 };
    std::unique_ptr<standin::PlatformStore> store_;
    std::vector<std::unique_ptr<ScriptedTarget>> targets_;
    std::atomic<bool> isStopped_ { false };
    std::thread thread_;
    std::string settingsFile_;
    int callerPort_ = 0;
    int readyPort_ = 0;
    std::unique_ptr<Process> process_;
};

/** Status of an HTTP response; 0 when the text is not one. */
int statusOf(const std::string& response);

} // namespace fescue::test
