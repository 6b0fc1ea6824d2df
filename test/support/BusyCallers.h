#pragma once

/** \file
 * BusyCallers: many callers that keep one port of a VM busy without a pause, on a thread of their own.
 */

#include "Types.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fescue::test {

/** What busy callers do. They read nothing, and connect again at once when their connection is closed. */
enum class CallerHabit {
    SendAhead, ///< Send one request after another on each connection.
    Reconnect, ///< Send a request, and reset the connection as soon as it is sent.
};

/** Callers that are busy until destroyed. Thread-safe. */
class BusyCallers {
public:
    /** Connects `count` callers, which send `request` again and again. Throws if this process may not open
     * so many sockets. */
    BusyCallers(int port, std::size_t count, CallerHabit habit, const std::string& request);
    ~BusyCallers();
    BusyCallers(const BusyCallers&) = delete;
    BusyCallers& operator=(const BusyCallers&) = delete;

    std::uint64_t connections() const { return connections_; }
    std::uint64_t bytesSent() const { return bytesSent_; }

private:
    struct Caller;
    void run();
    bool connect(Caller& caller);
    void disconnect(Caller& caller);
    void act(Caller& caller);

    int port_;
    CallerHabit habit_;
    std::string text_; ///< Of one write.
    int poller_ = -1;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::atomic<std::uint64_t> connections_ { 0 };
    std::atomic<std::uint64_t> bytesSent_ { 0 };
    std::atomic<bool> isStopped_ { false };
    std::thread thread_;
};

/** What has come of an exchange in time. */
struct TimedExchange {
    /** Not if the queue of the listening socket was full: then the kernel drops opening packets, and repeats
     * them after a second. */
    bool isConnectedAtOnce_ = false;
    std::string answer_;
};

/** Sends a request on a connection of its own and reads until the connection ends, or until `timeout`, which
 * includes the time to connect. */
TimedExchange exchangeWithin(Milliseconds timeout, int port, const std::string& request);

} // namespace fescue::test
