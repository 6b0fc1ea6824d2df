#pragma once

/** \file
 * CaseKit: what the scripts of the review's cases share: entry VMs as processes, runners, the platform's
 * store, clients, and a record of what was sent, answered and run.
 */

#include "../../standin/PlatformStore.h"
#include "HttpWire.h"
#include "TcpLink.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using fescue::HttpHead;
using fescue::TcpLink;

/** Writes a line with the time since the start into record.txt. Thread-safe. */
void record(const std::string& line);
/** Opens record.txt in the folder of the case. */
void openRecord(const std::string& folder);
/** Milliseconds since the start of the case. */
std::int64_t nowMs();
void sleepMs(int milliseconds);
/** Whether the case is played with its disruption: unless TROUBLE is 0. */
bool hasTrouble();

class World;

/** What a runner says of itself in the store. */
struct RunnerEntry {
    std::string id_;
    std::string service_;
    std::string version_ = "v1";
    std::string zone_ = "z1";
    int slots_ = 6;
    std::string state_ = "ready";
};

/** A stand-in for a runner. Its functions run on the thread of the stand-ins. */
class Runner {
public:
    using Answer
        = std::function<void(Runner&, const std::shared_ptr<TcpLink>&, const HttpHead&, const std::string&)>;

    Runner(World& world, RunnerEntry entry, Answer answer);
    /** Writes its entry now, and again with each heartbeat. */
    void report();
    /** Writes its entry with another state. */
    void setState(const std::string& state);
    /** Removes its entry and reports no more. */
    void removeEntry();
    /** Ends like a process that exits: closes the socket on which it listens and all connections. */
    void stop();
    /** Falls silent like a machine without power: its connections hang, and new ones are refused. */
    void goDark();
    bool isDark() const { return isDark_; }
    const RunnerEntry& entry() const { return entry_; }
    std::uint16_t port() const { return port_; }
    World& world() { return world_; }
    /** The value of its entry; fields whose names are in `without` are left out. */
    std::string entryValue(const std::vector<std::string>& without = {}) const;

private:
    void accept();

    World& world_;
    RunnerEntry entry_;
    Answer answer_;
    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::uint64_t reports_ = 0;
    std::int64_t born_ = 0;
    bool isReporting_ = true;
    bool isDark_ = false;
    std::vector<std::weak_ptr<TcpLink>> links_;
};

/** Settings of an entry VM that differ between cases. */
struct VmOptions {
    std::string zone_ = "z1";
    int memoryMb_ = 260;
    std::uint16_t storePort_ = 0; ///< 0 for the store's own.
};

/** A process of the project on its VM. */
class Vm {
public:
    Vm(World& world, std::string name, VmOptions options);
    ~Vm();
    Vm(const Vm&) = delete;
    Vm& operator=(const Vm&) = delete;

    void start();
    void signal(int number) const;
    /** Sends SIGKILL and waits for the end. */
    void kill();
    bool isRunning();
    int port() const { return callerPort_; }
    bool isReady() const;
    const std::string& name() const { return name_; }
    /** The most memory that its process has had, in megabytes. */
    double peakMemoryMb() const;

private:
    World& world_;
    std::string name_;
    VmOptions options_;
    std::string settingsFile_;
    std::string logFile_;
    int callerPort_ = 0;
    int readyPort_ = 0;
    int controlPort_ = 0;
    int peerPort_ = 0;
    int metricsPort_ = 0;
    pid_t process_ = 0;
};

/** The store and the runners on their thread, and the VMs. */
class World {
public:
    /** `config` is the value of op/config. */
    explicit World(const std::string& config);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    asio::io_context& io() { return io_; }
    fescue::standin::PlatformStore& store() { return *store_; }
    /** Runs `action` on the thread of the stand-ins and waits for it. */
    void run(const std::function<void()>& action);
    Runner& addRunner(const RunnerEntry& entry, const Runner::Answer& answer);
    /** The same on the thread of the stand-ins. */
    Runner& addRunnerHere(const RunnerEntry& entry, const Runner::Answer& answer);
    Vm& addVm(const VmOptions& options = {});
    Vm& vm(std::size_t index) { return *vms_[index]; }
    /** Waits until all VMs are ready; ends the case with status 2 after 20 s. */
    void awaitReady();
    const std::string& folder() const { return folder_; }
    int freePort();

private:
    asio::io_context io_ { 1 };
    std::string folder_;
    std::unique_ptr<fescue::standin::PlatformStore> store_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<Vm>> vms_;
    std::int64_t nextReport_ = 0;
    std::atomic<bool> isStopped_ { false };
    std::thread thread_;
};

/** The result of a client attempt. */
struct Attempt {
    int status_ = 0; ///< 0 without a complete head.
    bool hasStamp_ = false;
    bool isComplete_ = false; ///< The body came to its end.
    std::string body_; ///< Decoded, as far as it came.
};

/** A request of a client. */
struct ClientRequest {
    std::string method_ = "POST";
    std::string path_;
    std::string id_;
    int deadlineMs_ = 2000;
    int breakMs_ = 0; ///< The channel breaks after this time; 0 for never.
    std::vector<std::string> headers_; ///< Further lines.
    std::string body_;
};

/** Sends a request on a new connection and reads the answer, until the deadline has passed. */
Attempt attempt(int port, const ClientRequest& request);

/** An answer of a runner with its stamp. */
std::string stamped(const HttpHead& request, const std::string& body, const std::string& more = "");

/** Exit status of a case. */
constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

} // namespace review
