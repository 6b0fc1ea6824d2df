#pragma once

/** \file
 * EntryVmHarness: runs entry VMs as processes, against a stand-in for the platform's store and scripted
 * targets.
 */

#include "PlatformStore.h"
#include "Process.h"
#include "RawConnection.h"
#include "TcpLink.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace fescue::test {

/** How a scripted target responds to a request. */
struct TargetAction {
    std::string bytes_; ///< Sent unchanged.
    bool closesConnection_ = false; ///< After the bytes have been sent.
    bool crashes_ = false; ///< Resets all connections, and refuses new ones until the target is back.
    bool comesAgain_ = false; ///< `bytes_` are sent once more when the next request comes on the connection.
    std::string endless_; ///< Sent again and again after `bytes_` until the other side closes the connection.
    bool resetsConnection_ = false; ///< After the bytes have been sent.
};

/** A target that responds with scripted bytes. Counts requests and closed connections.
 *
 * Each start has a new id; requests for another id are refused with 421, and do not count. */
class ScriptedTarget {
public:
    using Script = std::function<TargetAction(const HttpHead&, const std::string& body)>;

    ScriptedTarget(asio::io_context& io, Script script);
    std::uint16_t port() const { return port_; }
    int requests() const { return requests_; }
    /** Connections that the other side has closed. */
    int closedConnections() const { return closedConnections_; }
    int crashes() const { return crashes_; }
    /** Ends the target, which comes back after a while. To be called on the thread of the stand-ins. */
    void crash();
    /** Name of the current start; empty for the first one. */
    const std::string& startName() const { return startName_; }
    bool isRunning() const { return acceptor_.is_open(); }
    MonotonicTime crashedAt() const { return crashedAt_; }
    /** Sends more of the responses that have no end. To be called periodically. */
    void sendEndless();
    /** Starts a crashed target again once its downtime is over. Returns whether it did. */
    bool restartIfDue(MonotonicTime now);

private:
    void listen();
    void accept();
    void resetConnections();
    bool isForOtherStart(const HttpHead& head) const;

    asio::ip::tcp::acceptor acceptor_;
    Script script_;
    std::uint16_t port_ = 0;
    std::string startName_;
    std::vector<std::weak_ptr<TcpLink>> links_;
    std::vector<std::pair<std::weak_ptr<TcpLink>, std::string>> endless_;
    MonotonicTime crashedAt_;
    std::atomic<int> requests_ { 0 };
    std::atomic<int> closedConnections_ { 0 };
    std::atomic<int> crashes_ { 0 };
};

/** The head of a target's response, with its response stamp; `framing` are header lines that each end in
 * CRLF. */
std::string stampedHead(const HttpHead& request, const std::string& framing, int status = 200);
/** A complete response of a target, with its response stamp. */
std::string stampedResponse(const HttpHead& request, const std::string& body);
/** The response of a target that has refused to run the request. */
std::string targetRefusal(const HttpHead& request);

/** Headers of a request with a deadline of 1.2 s. */
inline const std::string requestHeaders = "Fescuewinch-Request-Id: r1\r\nFescuewinch-Deadline-Ms: 1200\r\n";
/** Headers of a turn of a program, which may use 300 tokens. */
std::string programHeaders(const std::string& program, const std::string& budget);

/** A port at which connections are never established. */
class BlackHole {
public:
    explicit BlackHole(asio::io_context& io);
    int port() const { return acceptor_.local_endpoint().port(); }

private:
    asio::ip::tcp::acceptor acceptor_;
    std::vector<asio::ip::tcp::socket> waiting_; ///< They fill the queue of the listening socket.
};

/** What a target states about itself in the store. */
struct Announcement {
    std::string version_ = "v1";
    bool isLeaving_ = false;
    bool isPresent_ = true;
};

/** Limits of the VMs' machines, and of what callers may send. */
struct VmLimits {
    int memoryMb_ = 100;
    int maxFds_ = 0; ///< 0 leaves the setting out.
    std::size_t maxBodyBytes_ = 65536;
};

/** The running entry VMs and their environment. Must be used on the test's thread. */
class EntryVmHarness {
public:
    /** VMs beyond those in `zones` are in the zone of the targets, "z". */
    explicit EntryVmHarness(std::vector<ScriptedTarget::Script> scripts, bool hasConfig = true,
        std::size_t vms = 1, const VmLimits& limits = {}, std::vector<std::string> zones = {});
    ~EntryVmHarness();

    /** Runs `action` on the thread of the stand-ins and waits for it. */
    void runOnStore(const std::function<void(standin::PlatformStore&)>& action);
    /** Changes what a target states about itself from now on. */
    void announce(std::size_t target, const Announcement& announcement);
    ScriptedTarget& target(std::size_t index) const { return *targets_[index]; }
    /** Starts one more VM and waits until it is ready. */
    void addVm();
    /** How a VM's new connections to targets fail. */
    enum class LinkFault { None, Refused, Hanging };
    /** From now on a VM's new connections to all targets fail, or work again; it notices within a heartbeat
     * of the targets. Those that it has are not used any more. */
    void setLinks(std::size_t vm, LinkFault fault);
    /** From now on the store refuses all calls of a VM, or answers them again. */
    void setStoreRefuses(std::size_t vm, bool isRefusing)
    {
        setStoreFault(vm, &standin::StoreFaults::isDown_, isRefusing);
    }
    /** From now on the store leaves all calls of a VM without an answer, or answers them again. */
    void setStoreSilent(std::size_t vm, bool isSilent)
    {
        setStoreFault(vm, &standin::StoreFaults::isSilent_, isSilent);
    }
    /** Writes another grace period into a VM's settings, which it reads at SIGHUP. */
    void setGrace(std::size_t vm, int seconds);
    /** From now on the store leaves a VM's long polls without an answer, or answers them again. */
    void setStoreHoldsLongPolls(std::size_t vm, bool isHolding)
    {
        setStoreFault(vm, &standin::StoreFaults::holdsLongPolls_, isHolding);
    }
    /** Kills a VM unless it has ended, and starts it again without waiting until it is ready. */
    void replaceProcess(std::size_t vm);
    /** The same, and waits until it is ready. */
    void restartVm(std::size_t vm);
    std::size_t vmCount() const { return vms_.size(); }
    Process& process(std::size_t vm = 0) { return *vms_[vm].process_; }
    pid_t processId(std::size_t vm = 0) const { return vms_[vm].process_->id(); }
    /** Resident memory of a VM's process. */
    ByteCount residentMemory(std::size_t vm = 0) const;
    /** The most that it has been since its start. */
    ByteCount peakResidentMemory(std::size_t vm = 0) const;
    int port(std::size_t vm = 0) const { return vms_[vm].callerPort_; }
    /** Port for other VMs. */
    int peerPort(std::size_t vm = 0) const { return vms_[vm].peerPort_; }
    int readinessPort(std::size_t vm = 0) const { return vms_[vm].readyPort_; }
    /** All ports that a VM listens at. */
    std::set<int> listeningPorts(std::size_t vm = 0) const
    {
        return { port(vm), peerPort(vm), readinessPort(vm) };
    }
    /** Sends a request to the first VM with `Connection: close` and reads until the connection ends. */
    std::string request(const std::string& method, const std::string& path, const std::string& headers = "",
        const std::string& body = "") const;
    /** The same at any VM. */
    std::string requestAt(std::size_t vm, const std::string& method, const std::string& path,
        const std::string& headers = "", const std::string& body = "") const;
    /** Runs of requests at all targets. */
    int targetRequests() const;
    /** Crashes of all targets. */
    int targetCrashes() const;
    /** Status of the response to /readyz; 0 when the VM does not accept connections. */
    int readinessStatus(std::size_t vm = 0) const;
    void waitUntil(const std::string& what, const std::function<bool()>& condition) const;

private:
    struct Vm {
        std::string name_;
        std::string settingsFile_;
        int callerPort_ = 0;
        int readyPort_ = 0;
        int peerPort_ = 0;
        std::uint16_t storePort_ = 0;
        std::shared_ptr<LinkFault> links_; ///< Used on the thread of the stand-ins.
        std::unique_ptr<Process> process_;
    };

    void setStoreFault(std::size_t vm, bool standin::StoreFaults::*fault, bool isSet);
    void publish();
    void publishTarget(std::size_t index, const std::string& startName, bool isPresent);
    void tickTargets(MonotonicTime now);
    /** While the stand-ins run, to be called on their thread. */
    Vm makeVm();
    void startProcess(Vm& vm);
    void stop();

    VmLimits limits_;
    asio::io_context io_ { 1 };
    std::string viewWith(const std::string& targetEntry, LinkFault fault) const;

    std::unique_ptr<standin::PlatformStore> store_;
    int closedPort_ = 0; ///< Nobody listens there.
    std::unique_ptr<BlackHole> blackHole_;
    std::string eventsFolder_;
    std::vector<std::unique_ptr<ScriptedTarget>> targets_;
    std::vector<Announcement> announcements_; ///< Used on the thread of the stand-ins.
    std::vector<std::string> publishedStarts_; ///< Start of each target that is in the store.
    std::uint64_t heartbeats_ = 0;
    MonotonicTime nextHeartbeat_;
    std::atomic<bool> isStopped_ { false };
    std::thread thread_;
    std::vector<std::string> zones_; ///< Of the first VMs.
    std::vector<Vm> vms_;
};

/** Status of an HTTP response; 0 when the text is not one. */
int statusOf(const std::string& response);

} // namespace fescue::test
