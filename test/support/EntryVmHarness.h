#pragma once

/** \file
 * EntryVmHarness: one entry VM as a real process, before a stand-in of the platform's store and scripted
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

/** What a target does with a request. */
struct TargetAction {
    std::string bytes_; ///< Sent as they are.
    bool closes_ = false; ///< Afterwards.
};

/** A target that answers with scripted bytes. Counts what it is sent. */
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

/** A whole answer of a target to a request, with its stamp. */
std::string stampedResponse(const HttpHead& request, const std::string& body);
/** The answer of a target that has not run the request. */
std::string targetRefusal(const HttpHead& request);

/** The vm. Its functions are called from the test's thread. */
class EntryVmHarness {
public:
    explicit EntryVmHarness(std::vector<ScriptedTarget::Script> scripts, bool hasConfig = true);
    ~EntryVmHarness();

    /** Runs something on the thread of the stand-ins. */
    void onStore(const std::function<void(standin::PlatformStore&)>& action);
    ScriptedTarget& target(std::size_t index) { return *targets_[index]; }
    Process& process() { return *process_; }
    int port() const { return callerPort_; }
    /** Sends a request and reads to the end of the connection; `Connection: close` is added. */
    std::string request(const std::string& method, const std::string& path, const std::string& headers = "",
        const std::string& body = "") const;
    /** Status of the answer to a health check; 0 when there is none. */
    int readinessStatus() const;
    void waitUntil(const std::string& what, const std::function<bool()>& holds) const;

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

/** Status of an HTTP answer; 0 when it is none. */
int statusOf(const std::string& answer);

} // namespace fescue::test
