#include "BusyCallers.h"

#include "BootClock.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fescue::test {

namespace {

    // Requests that one write of a caller that sends ahead has.
    constexpr std::size_t bytesOfWrite = 16 * 1024;

    // Returns a socket that connects; nothing, as -1, if it cannot.
    int startConnecting(int port)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (socket < 0)
            return -1;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int result = ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        if (result == 0 || errno == EINPROGRESS)
            return socket;
        ::close(socket);
        return -1;
    }

    // Leaves no port in TIME_WAIT, since a busy caller would soon use up all of them.
    void reset(int socket)
    {
        linger atOnce { 1, 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        ::close(socket);
    }

    bool awaitEvent(int socket, short event, MonotonicTime deadline)
    {
        Milliseconds left = deadline - bootNow();
        pollfd entry { socket, event, 0 };
        return left.count() > 0 && ::poll(&entry, 1, static_cast<int>(left.count())) > 0;
    }

    void raiseDescriptorLimit()
    {
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }

} // namespace

struct BusyCallers::Caller {
    int socket_ = -1;
};

BusyCallers::BusyCallers(int port, std::size_t count, CallerHabit habit, const std::string& request)
    : port_(port)
    , habit_(habit)
    , text_(request)
{
    raiseDescriptorLimit();
    while (habit == CallerHabit::SendAhead && text_.size() < bytesOfWrite)
        text_ += request;
    poller_ = ::epoll_create1(EPOLL_CLOEXEC);
    for (std::size_t i = 0; i < count; ++i) {
        callers_.push_back(std::make_unique<Caller>());
        if (!connect(*callers_.back()))
            throw std::runtime_error("cannot open a socket for each caller; raise the limit of open files");
    }
    thread_ = std::thread([this] { run(); });
}

BusyCallers::~BusyCallers()
{
    isStopped_ = true;
    if (thread_.joinable())
        thread_.join();
    for (const auto& caller : callers_)
        disconnect(*caller);
    ::close(poller_);
}

bool BusyCallers::connect(Caller& caller)
{
    caller.socket_ = startConnecting(port_);
    if (caller.socket_ < 0)
        return false;
    ++connections_;
    epoll_event event {};
    event.events = EPOLLOUT;
    event.data.ptr = &caller;
    return ::epoll_ctl(poller_, EPOLL_CTL_ADD, caller.socket_, &event) == 0;
}

void BusyCallers::disconnect(Caller& caller)
{
    if (caller.socket_ >= 0)
        reset(caller.socket_);
    caller.socket_ = -1;
}

void BusyCallers::act(Caller& caller)
{
    ssize_t sent = ::send(caller.socket_, text_.data(), text_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0)
        bytesSent_ += static_cast<std::uint64_t>(sent);
    bool isWaiting = sent < 0 && (errno == EAGAIN || errno == EINTR);
    if (isWaiting || (sent > 0 && habit_ == CallerHabit::SendAhead))
        return;
    disconnect(caller);
}

void BusyCallers::run()
{
    constexpr int waitMs = 10;
    std::array<epoll_event, 256> events {};
    std::vector<Caller*> unconnected;
    while (!isStopped_) {
        int count = ::epoll_wait(poller_, events.data(), static_cast<int>(events.size()), waitMs);
        for (int i = 0; i < count; ++i) {
            auto* caller = static_cast<Caller*>(events.at(static_cast<std::size_t>(i)).data.ptr);
            act(*caller);
            if (caller->socket_ < 0)
                unconnected.push_back(caller);
        }
        unconnected.erase(std::remove_if(unconnected.begin(), unconnected.end(),
                              [this](Caller* caller) { return connect(*caller); }),
            unconnected.end());
    }
}

TimedExchange exchangeWithin(Milliseconds timeout, int port, const std::string& request)
{
    constexpr Milliseconds openingRepeat { 1000 };
    MonotonicTime begin = bootNow();
    MonotonicTime deadline = begin + timeout;
    TimedExchange exchange;
    int socket = startConnecting(port);
    if (socket < 0)
        return exchange;
    bool isConnected = awaitEvent(socket, POLLOUT, deadline);
    exchange.isConnectedAtOnce_ = isConnected && bootNow() < begin + openingRepeat;
    if (isConnected && ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
        std::array<char, 4096> buffer {};
        while (awaitEvent(socket, POLLIN, deadline)) {
            ssize_t size = ::recv(socket, buffer.data(), buffer.size(), 0);
            if (size <= 0)
                break;
            exchange.answer_.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    ::close(socket);
    return exchange;
}

} // namespace fescue::test
